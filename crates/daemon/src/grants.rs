//! Holds this daemon's slots of its region's grants in the store, as [`steer::grant`] plans.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fleet::replica::Version;
use steer::grant::{LEASE_TTL, Manager, Plan, SLOTS};
use store::{Change, Commit, Entry, Lease, Store as _, key};

use crate::Context;
use crate::context::lock;
use crate::plugin::{PeriodicThread, Plugin};

/// Time between two steps of the plan.
const STEP_INTERVAL: Duration = Duration::from_secs(2);

inventory::submit! {
    Plugin(kernel::Plugin { name: "grants", stage: 50, start })
}

struct Grants {
    thread: PeriodicThread,
    context: Arc<Context>,
    /// The lease that the slots are attached to; `None` before the first.
    lease: Arc<std::sync::Mutex<Option<Lease>>>,
}

impl kernel::Component for Grants {
    /// Releases the slots, so that other daemons need not wait for the lease to expire.
    fn close(&mut self) {
        self.thread.stop();
        let held: Vec<u32> = lock(&self.context.grant_manager).held().collect();
        lock(&self.context.grant_manager).record_lease_lost();
        let lease = lock(&self.lease).take();
        if let Some(lease) = lease {
            release_all(&self.context, lease, &held);
        }
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    if context.catalog.is_some() {
        return Ok(Box::new(kernel::Idle));
    }
    let lease = Arc::new(std::sync::Mutex::new(None));
    let (shared, current_lease) = (Arc::clone(context), Arc::clone(&lease));
    let thread = PeriodicThread::start("grants", move || {
        step(&shared, &current_lease);
        STEP_INTERVAL
    })?;
    Ok(Box::new(Grants { thread, context: Arc::clone(context), lease }))
}

/// Carries out the next step of the plan.
fn step(context: &Context, current_lease: &std::sync::Mutex<Option<Lease>>) {
    let active = context.policy();
    if active.version == Version::default() || context.stopping() {
        return;
    }
    let live = live_in_region(context);
    let now = context.now();
    let plan = lock(&context.grant_manager).plan(live, now);
    let lease = *lock(current_lease);
    match (plan, lease) {
        (Plan::Wait, _) => {}
        (Plan::CreateLease, _) | (_, None) => {
            if let Ok(lease) = context.store.grant(LEASE_TTL) {
                *lock(current_lease) = Some(lease);
                lock(&context.grant_manager).record_lease(now);
            }
        }
        (Plan::RenewLease, Some(lease)) => match context.store.renew(lease) {
            Ok(true) => lock(&context.grant_manager).record_lease(now),
            Ok(false) => lock(&context.grant_manager).record_lease_lost(),
            Err(error) => log::debug!("grants: renewal failed reason={:?}", error.to_string()),
        },
        (Plan::Acquire(count), Some(lease)) => acquire(context, lease, count),
        (Plan::Release(slots), Some(_)) => release(context, &slots),
    }
    context.metrics.grant_slots.set(lock(&context.grant_manager).held().count() as i64);
}

/// Returns the number of live entry instances in this daemon's region, itself included; at least one.
fn live_in_region(context: &Context) -> usize {
    let active = context.policy();
    let region = active.policy.regions.get(&context.settings.region);
    let domains = region.map(|region| region.domains.as_slice()).unwrap_or_default();
    let roster = lock(&context.roster);
    domains.iter().map(|domain| roster.live_members_in(domain).count()).sum::<usize>().max(1)
}

/// Returns the value that marks a slot as held by this daemon. It names the lease, so that slots under an earlier lease of
/// this daemon do not count as held.
fn token(context: &Context, lease: Lease) -> Vec<u8> {
    format!("{} {:016x} {}", context.settings.instance, context.incarnation, lease.0).into_bytes()
}

/// Acquires up to `count` slots in one transaction: first those that already carry this daemon's token, from a commit
/// whose answer was lost, then free ones.
///
/// A slot that carries the token is written again: a deletion by this daemon that is still in flight then fails, as the
/// revision has changed.
fn acquire(context: &Context, lease: Lease, count: u32) {
    let region = &context.settings.region;
    let Ok(entries) = context.store.list(&key::grants(region)) else {
        return;
    };
    let token = token(context, lease);
    let held: BTreeSet<u32> = lock(&context.grant_manager).held().collect();
    let stored: BTreeMap<u32, &Entry> =
        entries.iter().filter_map(|entry| Some((slot_number(&entry.key)?, entry))).collect();
    let own = stored.iter().filter(|(number, entry)| entry.value == token && !held.contains(number));
    let own = own.map(|(number, entry)| (*number, entry.revision));
    let start = (context.incarnation % u64::from(SLOTS)) as u32;
    let free = (0..SLOTS).map(|step| (start + step) % SLOTS).filter(|number| !stored.contains_key(number));
    let chosen: Vec<(u32, u64)> = own.chain(free.map(|number| (number, 0))).take(count as usize).collect();
    let set = |(number, expect): &(u32, u64)| {
        Change::set(&key::grant(region, *number), *expect, token.clone()).with_lease(lease)
    };
    let changes: Vec<Change> = chosen.iter().map(set).collect();
    if changes.is_empty() {
        let now = context.now();
        return lock(&context.grant_manager).retry_soon(now);
    }
    let commit = context.store.commit(&changes);
    let now = context.now();
    let mut manager = lock(&context.grant_manager);
    match commit {
        Ok(Commit::Done(revision)) => chosen.iter().for_each(|(number, _)| manager.record_acquired(*number, revision)),
        Ok(Commit::Conflict) => manager.retry_soon(now),
        Err(error) => log::debug!("grants: slots not acquired reason={:?}", error.to_string()),
    }
}

/// Stops using slots, then deletes them from the store.
fn release(context: &Context, slots: &[(u32, u64)]) {
    let mut manager = lock(&context.grant_manager);
    for (number, _) in slots {
        Manager::record_released(&mut manager, *number);
    }
    drop(manager);
    let region = &context.settings.region;
    let delete = |(number, revision): &(u32, u64)| Change::delete(&key::grant(region, *number), *revision);
    let changes: Vec<Change> = slots.iter().map(delete).collect();
    if let Err(error) = context.store.commit(&changes) {
        log::debug!("grants: deletion failed reason={:?}", error.to_string());
    }
}

/// Deletes all slots under `lease` from the store; `held` are their numbers as far as known here.
fn release_all(context: &Context, lease: Lease, held: &[u32]) {
    let region = &context.settings.region;
    let token = token(context, lease);
    let Ok(entries) = context.store.list(&key::grants(region)) else {
        return;
    };
    let own = entries.iter().filter(|entry| entry.value == token);
    let changes: Vec<Change> = own.map(|entry| Change::delete(&entry.key, entry.revision)).collect();
    if !changes.is_empty() && context.store.commit(&changes).is_err() {
        log::debug!("grants: {} slots not released, free once their lease expires", held.len());
    }
}

fn slot_number(key: &str) -> Option<u32> {
    key.rsplit('/').next()?.parse().ok()
}
