//! Log lines of decisions: where a request goes, why it waits or is refused, what is believed of a server.
//!
//! Field names are the same in all lines; docs/OPERATIONS.md lists them.

use std::collections::BTreeMap;
use std::time::Duration;

use dispatch::Ending;
use dispatch::backend::BackendId;
use dispatch::engine::{Chance, Note, Why};

use crate::Context;
use crate::backends::attempt::Attempt;
use crate::driver::Outgoing;
use crate::view::Steering;

/// Names of servers in one line about changes of the list at most.
const NAMED: usize = 8;

/// Where a request goes and what that rests on; `waited` is the time since it came.
pub fn sent(context: &Context, outgoing: &Outgoing, sending: Attempt, waited: Duration, why: Why) {
    let steering = context.steering();
    let target = steering.backends.get(&sending.backend);
    let (server, domain) = target.map_or(("gone", ""), |instance| (&instance.name, &instance.domain));
    let now = context.now();
    let warm = warm(why);
    log::info!(
        request = outgoing.id.as_str(), object = outgoing.object.as_str(), attempt = sending.number, server, domain,
        again = sending.retry, warm, own = why.own, load:% = format_args!("{:.2}", why.load),
        pace:% = format_args!("{:.2}", why.pace),
        told_ms:% = why.told.map_or(-1, |told| now.since(told).as_millis() as i64),
        waited_ms:% = waited.as_millis(), left_ms:% = sending.deadline.since(now).as_millis();
        "dispatch: sent"
    );
}

/// How an attempt ended; `status` is that of its answer, zero for none.
pub fn ended(outgoing: &Outgoing, attempt: u64, ending: Ending, status: u16, took: Duration) {
    log::info!(
        request = outgoing.id.as_str(), attempt, ending:% = ending.name(), status, ms:% = took.as_millis();
        "dispatch: attempt ended"
    );
}

/// The caller went away before it was answered.
pub fn gone(outgoing: &Outgoing, waited: Duration) {
    log::info!(request = outgoing.id.as_str(), ms:% = waited.as_millis(); "callers: gone");
}

/// Whether the server had handled the object lately, as a word; a dash for a request about none.
pub fn warm(why: Why) -> &'static str {
    why.warm.map_or("-", |warm| if warm { "yes" } else { "no" })
}

/// Writes the line of a note; `id` is the name of the request that it is about, if it is about one.
pub fn write(context: &Context, note: &Note, id: &str) {
    let now = context.now();
    let steering = context.steering();
    let name = |backend: &BackendId| steering.backends.get(backend).map_or("gone", |known| known.name.as_str());
    match note {
        Note::Held { waiting, chances, .. } => {
            let (near, far) = (chance(&steering, chances[0]), chance(&steering, chances[1]));
            log::info!(request = id, waiting, near, far; "dispatch: held");
        }
        Note::Refused { kind, tries, waited, waiting, chances, .. } => {
            let (near, far) = (chance(&steering, chances[0]), chance(&steering, chances[1]));
            log::info!(
                request = id, kind:% = kind.as_str(), tries, waited_ms:% = waited.as_millis(), waiting, near, far;
                "dispatch: refused"
            );
        }
        Note::Ejected { backend, until, in_flight } => {
            context.metrics.ejections.inc();
            log::info!(
                server = name(backend), for_ms:% = until.since(now).as_millis(), own = in_flight;
                "dispatch: server ejected"
            );
        }
        Note::Trusted { backend } => log::info!(server = name(backend); "dispatch: server trusted again"),
        Note::Leaving { backend } => {
            context.metrics.leavings.inc();
            log::info!(server = name(backend); "dispatch: server says it leaves");
        }
        Note::Paused { backend, until } => {
            context.metrics.pauses.inc();
            log::info!(server = name(backend), for_ms:% = until.since(now).as_millis(); "dispatch: server wants nothing");
        }
        Note::Poisonous { fingerprint } => {
            log::warn!(fingerprint:% = format_args!("{fingerprint:016x}"); "dispatch: requests poisonous");
        }
    }
}

/// A server that was considered, as `name/load/pace/ms to the answer`; a dash for none.
fn chance(steering: &Steering, chance: Option<Chance>) -> String {
    let Some(Chance { backend, load, pace, finish }) = chance else {
        return "-".to_owned();
    };
    let name = steering.backends.get(&backend).map_or("gone", |known| known.name.as_str());
    format!("{name}/{load:.1}/{pace:.1}/{}", finish.as_millis())
}

/// What a new view of the world changes: backend servers that came, went or leave, and how entry instances stand.
pub fn changed(before: &Steering, after: &Steering) {
    let news = |one: &Steering, other: &Steering| {
        let added = one.backends.iter().filter(|(id, _)| !other.backends.contains_key(id));
        added.map(|(_, instance)| instance.name.clone()).collect::<Vec<_>>()
    };
    let (added, gone) = (news(after, before), news(before, after));
    let count = after.backends.len();
    if !added.is_empty() {
        log::info!(number = added.len(), names:% = named(&added), now = count; "list: servers added");
    }
    if !gone.is_empty() {
        log::info!(number = gone.len(), names:% = named(&gone), now = count; "list: servers gone");
    }
    for (id, instance) in &*after.backends {
        let state = before.backends.get(id).map(|known| known.state);
        if state.is_some_and(|state| state != instance.state) {
            log::info!(server = instance.name.as_str(), state:? = instance.state; "list: server changed");
        }
    }
    let stood: BTreeMap<_, _> = before.view.entries().iter().map(|entry| (&entry.name, entry.standing)).collect();
    for entry in after.view.entries() {
        let standing = stood.get(&entry.name);
        if standing != Some(&entry.standing) {
            log::info!(entry = entry.name.as_str(), standing:? = entry.standing, before:? = standing; "list: entry stands");
        }
    }
}

fn named(names: &[String]) -> String {
    let more = if names.len() > NAMED { ",..." } else { "" };
    format!("{}{more}", names.iter().take(NAMED).map(String::as_str).collect::<Vec<_>>().join(","))
}
