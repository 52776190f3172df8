//! Keeps this daemon's slots of the region's grants in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use steer::grant::{LEASE_TTL, Manager, Plan, SLOTS};
use store::{Change, Commit, Entry, Lease, Store as _, key};

use crate::Context;
use crate::context::lock;
use crate::plugin::{PeriodicThread, Plugin};

/// Time between two looks at the plan.
const TURN: Duration = Duration::from_secs(2);

inventory::submit! {
    Plugin(kernel::Plugin { name: "grants", stage: 50, start })
}

struct Grants {
    running: PeriodicThread,
    context: Arc<Context>,
    lease: Arc<std::sync::Mutex<Option<Lease>>>,
}

impl kernel::Component for Grants {
    /// Gives the slots back, so that the others need not wait for the lease to end.
    fn close(&mut self) {
        self.running.stop();
        let held: Vec<u32> = lock(&self.context.grant_manager).held().collect();
        lock(&self.context.grant_manager).record_lease_lost();
        let lease = lock(&self.lease).take();
        if let Some(lease) = lease {
            give_back(&self.context, lease, &held);
        }
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    if context.catalog.is_some() {
        return Ok(Box::new(kernel::Idle));
    }
    let lease = Arc::new(std::sync::Mutex::new(None));
    let (shared, held_lease) = (Arc::clone(context), Arc::clone(&lease));
    let running = PeriodicThread::start("grants", move || {
        turn(&shared, &held_lease);
        TURN
    })?;
    Ok(Box::new(Grants { running, context: Arc::clone(context), lease }))
}

fn turn(context: &Context, held_lease: &std::sync::Mutex<Option<Lease>>) {
    let in_force = context.policy();
    if in_force.revision == 0 || context.stopping() {
        return;
    }
    let live = region_members(context);
    let now = context.now();
    let plan = lock(&context.grant_manager).plan(live, now);
    let lease = *lock(held_lease);
    match (plan, lease) {
        (Plan::Wait, _) => {}
        (Plan::CreateLease, _) | (_, None) => {
            if let Ok(lease) = context.store.grant(LEASE_TTL) {
                *lock(held_lease) = Some(lease);
                lock(&context.grant_manager).record_lease(now);
            }
        }
        (Plan::RenewLease, Some(lease)) => match context.store.renew(lease) {
            Ok(true) => lock(&context.grant_manager).record_lease(now),
            Ok(false) => lock(&context.grant_manager).record_lease_lost(),
            Err(error) => log::debug!("grants: renewal skipped reason={:?}", error.to_string()),
        },
        (Plan::Acquire(count), Some(lease)) => take(context, lease, count),
        (Plan::Release(slots), Some(_)) => drop_slots(context, &slots),
    }
    context.metrics.grant_slots.set(lock(&context.grant_manager).held().count() as i64);
}

/// Living entry instances of our region.
fn region_members(context: &Context) -> usize {
    let in_force = context.policy();
    let region = in_force.policy.regions.get(&context.settings.region);
    let domains = region.map(|region| region.domains.as_slice()).unwrap_or_default();
    let roster = lock(&context.roster);
    domains.iter().map(|domain| roster.live_members_in(domain).count()).sum::<usize>().max(1)
}

/// Our mark on a slot; it names the lease, so that slots of an earlier lease are not taken for ours.
fn token(context: &Context, lease: Lease) -> Vec<u8> {
    format!("{} {:016x} {}", context.settings.instance, context.incarnation, lease.0).into_bytes()
}

/// Takes up to `count` slots in one call: those under our mark from a lost answer first, then free ones.
///
/// A slot under our mark is written anew: a deletion of ours that is still on its way then misses it.
fn take(context: &Context, lease: Lease, count: u32) {
    let region = &context.settings.region;
    let Ok(entries) = context.store.list(&key::grants(region)) else {
        return;
    };
    let token = token(context, lease);
    let held: BTreeSet<u32> = lock(&context.grant_manager).held().collect();
    let known: BTreeMap<u32, &Entry> =
        entries.iter().filter_map(|entry| Some((slot_number(&entry.key)?, entry))).collect();
    let ours = known.iter().filter(|(number, entry)| entry.value == token && !held.contains(number));
    let ours = ours.map(|(number, entry)| (*number, entry.revision));
    let start = (context.incarnation % u64::from(SLOTS)) as u32;
    let free = (0..SLOTS).map(|step| (start + step) % SLOTS).filter(|number| !known.contains_key(number));
    let wanted: Vec<(u32, u64)> = ours.chain(free.map(|number| (number, 0))).take(count as usize).collect();
    let set = |(number, expect): &(u32, u64)| {
        Change::set(&key::grant(region, *number), *expect, token.clone()).with_lease(lease)
    };
    let changes: Vec<Change> = wanted.iter().map(set).collect();
    if changes.is_empty() {
        let now = context.now();
        return lock(&context.grant_manager).retry_soon(now);
    }
    let commit = context.store.commit(&changes);
    let now = context.now();
    let mut keeper = lock(&context.grant_manager);
    match commit {
        Ok(Commit::Done(revision)) => wanted.iter().for_each(|(number, _)| keeper.record_acquired(*number, revision)),
        Ok(Commit::Conflict) => keeper.retry_soon(now),
        Err(error) => log::debug!("grants: slots not taken reason={:?}", error.to_string()),
    }
}

/// Stops using slots, then deletes them.
fn drop_slots(context: &Context, slots: &[(u32, u64)]) {
    let mut keeper = lock(&context.grant_manager);
    for (number, _) in slots {
        Manager::record_released(&mut keeper, *number);
    }
    drop(keeper);
    let region = &context.settings.region;
    let delete = |(number, revision): &(u32, u64)| Change::delete(&key::grant(region, *number), *revision);
    let changes: Vec<Change> = slots.iter().map(delete).collect();
    if let Err(error) = context.store.commit(&changes) {
        log::debug!("grants: deletion skipped reason={:?}", error.to_string());
    }
}

fn give_back(context: &Context, lease: Lease, held: &[u32]) {
    let region = &context.settings.region;
    let token = token(context, lease);
    let Ok(entries) = context.store.list(&key::grants(region)) else {
        return;
    };
    let ours = entries.iter().filter(|entry| entry.value == token);
    let changes: Vec<Change> = ours.map(|entry| Change::delete(&entry.key, entry.revision)).collect();
    if !changes.is_empty() && context.store.commit(&changes).is_err() {
        log::debug!("grants: {} slots are free when their lease ends", held.len());
    }
}

fn slot_number(key: &str) -> Option<u32> {
    key.rsplit('/').next()?.parse().ok()
}
