//! Log lines of decisions: where a request is sent, why it waits or is refused, how a server's state changes.
//!
//! A field has the same name in all lines; `docs/OPERATIONS.md` lists them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;
use config::policy::Allowed;
use dispatch::Ending;
use dispatch::backend::BackendId;
use dispatch::engine::{Basis, Candidate, Decision};
use steer::table::RegionId;
use steer::view::Standing;

use crate::backends::attempt::Attempt;
use crate::driver::Outgoing;
use crate::policies::ActivePolicy;
use crate::view::Steering;
use crate::{Context, confirmation, rejection};

/// Maximum number of server names in one line about changes of the list.
const MAX_NAMES: usize = 8;

/// Logs where a request is sent and on what basis; `waited` is the time since it arrived. `active` is the policy that was in force
/// when that was decided.
pub fn attempt_sent(
    context: &Context,
    active: &ActivePolicy,
    outgoing: &Outgoing,
    attempt: Attempt,
    waited: Duration,
    basis: Basis,
) {
    let steering = context.steering();
    let target = steering.backends.get(&attempt.backend);
    let (server, domain) = target.map_or(("gone", ""), |instance| (&instance.name, &instance.domain));
    let region = target.map_or("-", |instance| instance.region.as_str());
    let now = context.now();
    let [policy_ms, agreed_ms] = policy_ms(context, now);
    let warm = warm_label(basis);
    let (host, path) = place(outgoing);
    let (class, allowed) = allowed(active, outgoing);
    log::info!(
        request = outgoing.id.as_str(), object = outgoing.object.as_str(), attempt = attempt.number, server, domain,
        again = attempt.retry, warm, own = basis.own_in_flight, load:% = format_args!("{:.2}", basis.load),
        pace:% = format_args!("{:.2}", basis.pace),
        told_ms:% = basis.reported_at.map_or(-1, |reported_at| now.since(reported_at).as_millis() as i64),
        waited_ms:% = waited.as_millis(), left_ms:% = attempt.deadline.since(now).as_millis(), region,
        class, account = outgoing.account.as_deref().unwrap_or("-"), version:% = active.version,
        policy_ms, agreed_ms, allowed, host, path;
        "dispatch: sent"
    );
}

/// Returns how long ago the policy in force was last known to be the store's, and how long ago instances of all regions agreed on it, in
/// milliseconds; -1 if that is not known.
pub fn policy_ms(context: &Context, now: Time) -> [i64; 2] {
    let version = context.policy().version;
    let ages = [confirmation::policy_age(context, now), confirmation::agreement_age(context, version, now)];
    ages.map(|age| age.map_or(-1, |age| age.as_millis() as i64))
}

/// Returns the class that covers a request in a policy and the regions in which it lets the request run, as fields of a log line.
pub fn allowed<'a>(active: &'a ActivePolicy, outgoing: &Outgoing) -> (&'a str, String) {
    let Some((class, _)) = active.policy.class_of(outgoing.host(), outgoing.path()) else {
        return ("-", "removed".to_owned());
    };
    let allowed = active.allowed(class, outgoing.account.as_deref()).unwrap_or(Allowed::All);
    (class, allowed.to_string())
}

/// Returns host and path of a request as they are logged: what the policies' routes are matched with.
pub fn place(outgoing: &Outgoing) -> (&str, &str) {
    (outgoing.host(), rejection::shortened(outgoing.path()))
}

/// Logs that a look-up names no entry instance of the caller's `region`, with the standing of those that it has; `in_homes` of the
/// `named` ones are where the caller's requests may run.
pub fn lookup_elsewhere(
    context: &Context,
    steering: &Steering,
    region: &str,
    position: RegionId,
    named: usize,
    in_homes: usize,
) {
    context.metrics.lookups_elsewhere.inc();
    let own = steering.view.entries().iter().filter(|entry| entry.region == position);
    let count = |standing: Standing| own.clone().filter(|entry| entry.standing == standing).count();
    let (good, doubtful, out) = (count(Standing::Good), count(Standing::Doubtful), count(Standing::Out));
    let (version, uptime) = (steering.policy.version, context.uptime());
    log::info!(
        region, good, doubtful, out, named, in_homes, stopping = context.stopping(), up_ms:% = uptime.as_millis(),
        version:% = version;
        "callers: look-up names other regions"
    );
}

/// Logs the end of an attempt; `status` is the HTTP status of its answer, zero if it has none.
pub fn attempt_ended(outgoing: &Outgoing, attempt: u64, ending: Ending, status: u16, took: Duration) {
    log::info!(
        request = outgoing.id.as_str(), attempt, ending:% = ending.name(), status, ms:% = took.as_millis();
        "dispatch: attempt ended"
    );
}

/// Logs that a request reached another server than the one it was sent to, as with an address that was given to another one. The
/// region is that of the intended server.
pub fn misdirected(context: &Context, outgoing: &Outgoing, attempt: Attempt) {
    context.metrics.misdirected.inc();
    let steering = context.steering();
    let target = steering.backends.get(&attempt.backend);
    let (server, region) = target.map_or(("gone", "-"), |instance| (&instance.name, &instance.region));
    let address = target.map_or("-", |instance| &instance.address);
    let active = context.policy();
    let (class, allowed) = allowed(&active, outgoing);
    log::info!(
        request = outgoing.id.as_str(), attempt = attempt.number, server, region, address, class,
        account = outgoing.account.as_deref().unwrap_or("-"), allowed;
        "dispatch: another server answered"
    );
}

/// Logs that a caller disconnected before it was answered; `waited` is the time since its request arrived.
pub fn caller_disconnected(outgoing: &Outgoing, waited: Duration) {
    log::info!(request = outgoing.id.as_str(), ms:% = waited.as_millis(); "callers: gone");
}

/// Returns whether the server has handled the request's object lately, as `yes` or `no`; a dash for a request without an
/// object.
pub fn warm_label(basis: Basis) -> &'static str {
    basis.warm.map_or("-", |warm| if warm { "yes" } else { "no" })
}

/// Logs a decision and counts it; `id` is the id of the request concerned, a dash for none.
pub fn decision(context: &Context, decision: &Decision, id: &str) {
    let now = context.now();
    let steering = context.steering();
    let name = |backend: &BackendId| steering.backends.get(backend).map_or("gone", |known| known.name.as_str());
    match decision {
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
            log::info!(server = name(backend); "dispatch: server announced that it leaves");
        }
        Decision::Paused { backend, until } => {
            context.metrics.servers_paused.inc();
            log::info!(server = name(backend), for_ms:% = until.since(now).as_millis(); "dispatch: server paused");
        }
        Decision::RateLimited { backend, limit, before, share, position } => {
            context.metrics.servers_rate_limited.inc();
            log::info!(
                server = name(backend), per_second:% = rate(limit.per_second), before:% = rate(*before),
                own:% = format_args!("{share:.2}"), rank = position.rank, daemons = position.daemons,
                coverage:% = format_args!("{:.2}", position.coverage),
                told_ms:% = now.since(limit.observed_at).as_millis();
                "dispatch: server rate limit changed"
            );
        }
        Decision::Corrected { class, before, latency } => {
            let active = context.policy();
            let class = active.classes.get(*class).map_or("-", String::as_str);
            let (before_ms, ms) = (before.as_millis() as u64, latency.as_millis() as u64);
            log::info!(class, before_ms, ms; "dispatch: typical latency corrected by a trial");
        }
        Decision::Quarantined { fingerprint } => {
            log::warn!(fingerprint:% = format_args!("{fingerprint:016x}"); "dispatch: requests poisonous");
        }
    }
}

/// Formats a rate in requests per second; a dash for no limit.
fn rate(per_second: Option<f64>) -> String {
    per_second.map_or_else(|| "-".to_owned(), |per_second| per_second.to_string())
}

/// Formats a server that was considered as `name/load/pace/ms to the answer`; a dash for none.
fn candidate(steering: &Steering, considered: Option<Candidate>) -> String {
    let Some(Candidate { backend, load, pace, expected_latency }) = considered else {
        return "-".to_owned();
    };
    let name = steering.backends.get(&backend).map_or("gone", |known| known.name.as_str());
    format!("{name}/{load:.1}/{pace:.1}/{}", expected_latency.as_millis())
}

/// Logs the changes between two states: backend servers that were added, removed or changed, and entry instances whose
/// standing changed.
pub fn steering_changed(before: &Steering, after: &Steering) {
    let only_in = |one: &Steering, other: &Steering| {
        let found = one.backends.iter().filter(|(id, _)| !other.backends.contains_key(id));
        found.map(|(_, instance)| instance.name.clone()).collect::<Vec<_>>()
    };
    let (added, removed) = (only_in(after, before), only_in(before, after));
    let count = after.backends.len();
    if !added.is_empty() {
        log::info!(number = added.len(), names:% = joined(&added), now = count; "list: servers added");
    }
    if !removed.is_empty() {
        log::info!(number = removed.len(), names:% = joined(&removed), now = count; "list: servers gone");
    }
    for (id, instance) in &*after.backends {
        let state = before.backends.get(id).map(|known| known.state);
        if state.is_some_and(|state| state != instance.state) {
            log::info!(server = instance.name.as_str(), state:? = instance.state; "list: server changed");
        }
    }
    let previous: BTreeMap<_, _> = before.view.entries().iter().map(|entry| (&entry.name, entry.standing)).collect();
    for entry in after.view.entries() {
        let standing = previous.get(&entry.name);
        if standing != Some(&entry.standing) {
            log::info!(
                entry = entry.name.as_str(), standing:? = entry.standing, before:? = standing;
                "list: entry standing changed"
            );
        }
    }
}

/// Logs which routes a policy has that the one before it lacked or had for another class, which it lacks, the regions that it
/// changes, and that it is in force. From these lines of any instance it is known which requests a version refuses, and where the
/// others may run.
pub fn policy_changed(before: &ActivePolicy, after: &ActivePolicy) {
    let (known, routes) = (routes(before), routes(after));
    let (version, replaces) = (after.version, before.version);
    let (mut added, mut removed) = (0, 0);
    for ((host, prefix), class) in routes.iter().filter(|(place, class)| known.get(*place) != Some(class)) {
        added += 1;
        log::info!(version:% = version, replaces:% = replaces, host, prefix, class; "policy: route added");
    }
    for (host, prefix) in known.keys().filter(|place| !routes.contains_key(*place)) {
        removed += 1;
        log::info!(version:% = version, replaces:% = replaces, host, prefix; "policy: route removed");
    }
    let moved = regions_changed(before, after);
    let accounts = after.policy.accounts.as_ref().map_or_else(|| "-".to_owned(), |accounts| accounts.len().to_string());
    log::info!(
        version:% = version, source = after.provenance.source.as_str(), replaces:% = replaces, routes = routes.len(), added,
        removed, accounts, moved;
        "policy: in force"
    );
}

/// Logs the regions of each class and account whose regions differ between two policies; returns how many there are. A class or an
/// account that a policy does not have allows all regions, so only those with regions have a line at first.
fn regions_changed(before: &ActivePolicy, after: &ActivePolicy) -> usize {
    let (version, replaces) = (after.version, before.version);
    let (earlier, later) = (regions_of_classes(before), regions_of_classes(after));
    let classes = differing(&earlier, &later);
    for (class, allowed) in &classes {
        log::info!(version:% = version, replaces:% = replaces, class, allowed:% = allowed; "policy: class regions");
    }
    let (earlier, later) = (regions_of_accounts(before), regions_of_accounts(after));
    let accounts = differing(&earlier, &later);
    for (account, allowed) in &accounts {
        log::info!(version:% = version, replaces:% = replaces, account, allowed:% = allowed; "policy: account regions");
    }
    classes.len() + accounts.len()
}

fn regions_of_classes(active: &ActivePolicy) -> BTreeMap<&str, Allowed> {
    active.policy.classes.iter().map(|(name, class)| (name.as_str(), Allowed::by_class(class))).collect()
}

fn regions_of_accounts(active: &ActivePolicy) -> BTreeMap<&str, Allowed> {
    let accounts = active.policy.accounts.iter().flatten();
    accounts.map(|(name, account)| (name.as_str(), Allowed::by_account(account))).collect()
}

/// Returns what `later` allows each of those that it allows other regions than `earlier` does.
fn differing<'a>(
    earlier: &BTreeMap<&'a str, Allowed>,
    later: &BTreeMap<&'a str, Allowed>,
) -> BTreeMap<&'a str, Allowed> {
    let of = |regions: &BTreeMap<&'a str, Allowed>, name: &str| regions.get(name).cloned().unwrap_or(Allowed::All);
    let names: BTreeSet<&'a str> = earlier.keys().chain(later.keys()).copied().collect();
    let changed = names.into_iter().filter(|name| of(earlier, name) != of(later, name));
    changed.map(|name| (name, of(later, name))).collect()
}

/// Returns host and prefix of each route of a policy, with the name of its class.
fn routes(active: &ActivePolicy) -> BTreeMap<(&str, &str), &str> {
    let classes = active.policy.classes.iter();
    let places = classes.flat_map(|(name, class)| class.paths.iter().map(move |path| (name, &class.host, path)));
    places.map(|(name, host, path)| ((host.as_str(), path.as_str()), name.as_str())).collect()
}

/// Joins the first [`MAX_NAMES`] names by commas; `,...` stands for any further ones.
fn joined(names: &[String]) -> String {
    let more = if names.len() > MAX_NAMES { ",..." } else { "" };
    format!("{}{more}", names.iter().take(MAX_NAMES).map(String::as_str).collect::<Vec<_>>().join(","))
}
