//! Log lines of decisions: where a request goes, why it waits or is refused, what is believed of a server.
//!
//! Field names are the same in all lines; docs/OPERATIONS.md lists them.

use std::collections::BTreeMap;
use std::time::Duration;

use dispatch::Ending;
use dispatch::backend::BackendId;
use dispatch::engine::{Basis, Candidate, Decision};

use crate::Context;
use crate::backends::attempt::Attempt;
use crate::driver::Outgoing;
use crate::view::Steering;

/// Names of servers in one line about changes of the list at most.
const NAMED: usize = 8;

/// Where a request goes and what that rests on; `waited` is the time since it came.
pub fn attempt_sent(context: &Context, outgoing: &Outgoing, sending: Attempt, waited: Duration, basis: Basis) {
    let steering = context.steering();
    let target = steering.backends.get(&sending.backend);
    let (server, domain) = target.map_or(("gone", ""), |instance| (&instance.name, &instance.domain));
    let now = context.now();
    let warm = warm_label(basis);
    log::info!(
        request = outgoing.id.as_str(), object = outgoing.object.as_str(), attempt = sending.number, server, domain,
        again = sending.retry, warm, own = basis.own_in_flight, load:% = format_args!("{:.2}", basis.load),
        pace:% = format_args!("{:.2}", basis.pace),
        told_ms:% = basis.reported_at.map_or(-1, |told| now.since(told).as_millis() as i64),
        waited_ms:% = waited.as_millis(), left_ms:% = sending.deadline.since(now).as_millis();
        "dispatch: sent"
    );
}

/// How an attempt ended; `status` is that of its answer, zero for none.
pub fn attempt_ended(outgoing: &Outgoing, attempt: u64, ending: Ending, status: u16, took: Duration) {
    log::info!(
        request = outgoing.id.as_str(), attempt, ending:% = ending.name(), status, ms:% = took.as_millis();
        "dispatch: attempt ended"
    );
}

/// The caller went away before it was answered.
pub fn caller_disconnected(outgoing: &Outgoing, waited: Duration) {
    log::info!(request = outgoing.id.as_str(), ms:% = waited.as_millis(); "callers: gone");
}

/// Whether the server had handled the object lately, as a word; a dash for a request about none.
pub fn warm_label(basis: Basis) -> &'static str {
    basis.warm.map_or("-", |warm| if warm { "yes" } else { "no" })
}

/// Writes the line of a note; `id` is the name of the request that it is about, if it is about one.
pub fn decision(context: &Context, note: &Decision, id: &str) {
    let now = context.now();
    let steering = context.steering();
    let name = |backend: &BackendId| steering.backends.get(backend).map_or("gone", |known| known.name.as_str());
    match note {
        Decision::Held { waiting, candidates, .. } => {
            let (near, far) = (candidate(&steering, candidates[0]), candidate(&steering, candidates[1]));
            log::info!(request = id, waiting, near, far; "dispatch: held");
        }
        Decision::Refused { kind, attempts, waited, waiting, candidates, .. } => {
            let (near, far) = (candidate(&steering, candidates[0]), candidate(&steering, candidates[1]));
            log::info!(
                request = id, kind:% = kind.as_str(), tries = attempts, waited_ms:% = waited.as_millis(), waiting, near, far;
                "dispatch: refused"
            );
        }
        Decision::Ejected { backend, until, in_flight } => {
            context.metrics.ejections.inc();
            log::info!(
                server = name(backend), for_ms:% = until.since(now).as_millis(), own = in_flight;
                "dispatch: server ejected"
            );
        }
        Decision::Reinstated { backend } => log::info!(server = name(backend); "dispatch: server trusted again"),
        Decision::Leaving { backend } => {
            context.metrics.servers_leaving.inc();
            log::info!(server = name(backend); "dispatch: server says it leaves");
        }
        Decision::Paused { backend, until } => {
            context.metrics.servers_paused.inc();
            log::info!(server = name(backend), for_ms:% = until.since(now).as_millis(); "dispatch: server wants nothing");
        }
        Decision::Quarantined { fingerprint } => {
            log::warn!(fingerprint:% = format_args!("{fingerprint:016x}"); "dispatch: requests poisonous");
        }
    }
}

/// A server that was considered, as `name/load/pace/ms to the answer`; a dash for none.
fn candidate(steering: &Steering, candidate: Option<Candidate>) -> String {
    let Some(Candidate { backend, load, pace, expected_latency }) = candidate else {
        return "-".to_owned();
    };
    let name = steering.backends.get(&backend).map_or("gone", |known| known.name.as_str());
    format!("{name}/{load:.1}/{pace:.1}/{}", expected_latency.as_millis())
}

/// What a new view of the world changes: backend servers that came, went or leave, and how entry instances stand.
pub fn steering_changed(before: &Steering, after: &Steering) {
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
