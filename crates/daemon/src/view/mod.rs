//! What look-ups and attempts read, prepared anew when the list, the membership or the policy has changed.

mod entries;
mod servers;

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use base::instance::{Instance, Role};
use base::time::Time;
use dispatch::backend::{BackendId, Spec};
use dispatch::engine::{Budgets, Remote};
use steer::grant;
use steer::shift::{Controller, Shares};
use steer::{Table, View};

use self::servers::Dealing;
use crate::Context;
use crate::context::lock;
use crate::decision_log;
use crate::instance_list::Item;
use crate::policies::ActivePolicy;

/// Part of the second sends that are allowed which is used: requests are counted in windows, and views differ.
const REPEATS_USED: f64 = 0.8;

/// A prepared state of the world.
#[derive(Debug, Clone, Default)]
pub struct Steering {
    /// Home regions of callers.
    pub table: Arc<Table>,
    /// Entry instances.
    pub view: Arc<View>,
    /// Shifts of callers.
    pub shares: Shares,
    /// Backend servers in use, by number.
    pub backends: Arc<BTreeMap<BackendId, Arc<Instance>>>,
}

/// What the prepared state rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Prepared {
    /// Revision of the policy.
    pub revision: u64,
    /// Whether there was a policy.
    pub policy: bool,
    /// Whether the list of instances was read.
    pub list: bool,
}

impl Steering {
    /// Where a backend server is reached.
    pub fn backend_address(&self, backend: BackendId) -> Option<String> {
        self.backends.get(&backend).map(|instance| instance.address.clone())
    }
}

/// What preparing the state goes by and keeps from one time to the next.
#[derive(Debug, Default)]
pub struct Preparing {
    /// What the prepared state rests on.
    pub rests_on: Prepared,
    basis: Option<Basis>,
    dealing: Dealing,
    /// Slots of the backend servers of each region.
    slots: BTreeMap<String, u32>,
}

/// All that servers and entry instances are prepared from, beside the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Basis {
    list: u64,
    roster: u64,
    settled: bool,
}

/// Prepares anew what has changed in the list, the membership or with time; several threads may ask for it at once.
pub fn refresh(context: &Arc<Context>) {
    let mut preparing = lock(&context.preparing);
    let in_force = context.policy();
    prepare(context, &in_force, &mut preparing);
}

/// Puts `next` into force once everything is prepared for it: what is decided by a policy finds its servers.
pub fn adopt(context: &Arc<Context>, next: Arc<ActivePolicy>) {
    let mut preparing = lock(&context.preparing);
    if next.regions != context.policy().regions {
        let kept = Duration::from_millis(context.settings.callers.answer_kept_ms);
        *lock(&context.shift_controller) = Controller::new(next.regions.len(), kept, context.now());
    }
    context.driver.with_engine_mut(context, |engine| engine.set_classes(next.class_specs()));
    preparing.basis = None;
    prepare(context, &next, &mut preparing);
    *context.active_policy.write().unwrap_or_else(PoisonError::into_inner) = next;
}

/// Time alone changes little: the list and the members are gone through only if they changed.
fn prepare(context: &Arc<Context>, in_force: &ActivePolicy, preparing: &mut Preparing) {
    let now = context.now();
    let list = lock(&context.instance_list).clone();
    let roster = lock(&context.roster).digest();
    let basis = Basis { list: list.version, roster, settled: servers::settled(context) };
    let specs = (preparing.basis != Some(basis)).then(|| rebuild(context, in_force, &list.items, preparing));
    preparing.basis = Some(basis);
    let steering = shift(context, in_force, now);
    context.pool.keep(|backend| steering.backends.contains_key(&backend), now);
    let remotes = remotes(context, &preparing.slots, in_force, now);
    let budgets = budgets(context, lock(&context.roster).live_members().count() + 1);
    context.driver.with_engine_mut(context, |engine| {
        engine.set_budgets(budgets);
        for (region, remote) in remotes {
            engine.set_remote(region, remote, now);
        }
        if let Some(specs) = specs {
            engine.set_backends(specs, now);
        }
    });
    let policy = !in_force.policy.regions.is_empty();
    preparing.rests_on = Prepared { revision: in_force.revision, policy, list: list.read_at.is_some() };
}

/// Goes through the list and the members; gives what dispatch needs of the servers.
fn rebuild(context: &Context, in_force: &ActivePolicy, items: &[Item], preparing: &mut Preparing) -> Vec<Spec> {
    let roster = lock(&context.roster).clone();
    let told = if context.catalog.is_some() { entries::members(&roster, in_force) } else { Vec::new() };
    let instances: Vec<&Instance> = items.iter().map(|item| &*item.instance).chain(&told).collect();
    context.metrics.members.set(roster.live_members().count() as i64 + 1);
    let before = context.steering();
    let standing = entries::entries(&instances, &roster, in_force, context);
    let view = entries::ranked(&before.view, standing, in_force.regions.len());
    preparing.dealing.update(context, &roster, in_force);
    let used = preparing.dealing.used(items, in_force);
    let specs = preparing.dealing.specs(context, &used, in_force);
    let backends = used.into_iter().map(|item| (item.id, Arc::clone(&item.instance))).collect();
    preparing.slots.clear();
    for server in instances.iter().filter(|instance| instance.role == Role::Backend) {
        *preparing.slots.entry(server.region.clone()).or_default() += server.slots;
    }
    let table = Arc::clone(&in_force.table);
    let steering = Steering { table, view, shares: before.shares.clone(), backends: Arc::new(backends) };
    decision_log::steering_changed(&before, &steering);
    context.set_steering(steering);
    specs
}

/// Shifts callers by the loads that are known now; gives the state then in force.
fn shift(context: &Context, in_force: &ActivePolicy, now: Time) -> Arc<Steering> {
    let steering = context.steering();
    let loads = entries::loads(in_force, &lock(&context.roster), &steering.view);
    let mut controller = lock(&context.shift_controller);
    controller.update(&loads, now);
    if *controller.shares() == steering.shares {
        return steering;
    }
    let shares = controller.shares().clone();
    drop(controller);
    context.set_steering(Steering { shares, ..Steering::clone(&steering) });
    context.steering()
}

/// Our part of the second sends that all daemons may cause together; twice as many daemons as are known may be
/// there.
fn budgets(context: &Context, daemons: usize) -> Budgets {
    let settings = &context.settings.dispatch;
    let daemons = 2.0 * daemons as f64;
    Budgets {
        retry_ratio: settings.retry_ratio,
        repeat_ratio: settings.repeat_ratio * REPEATS_USED,
        repeat_burst: settings.repeat_burst / daemons,
        ..Budgets::DEFAULT
    }
}

/// What we may use of other regions: our part of a part that is split between all regions that might.
fn remotes(context: &Context, slots: &BTreeMap<String, u32>, in_force: &ActivePolicy, now: Time) -> Vec<(u16, Remote)> {
    if context.settings.dispatch.open_links {
        return (0..in_force.regions.len() as u16).map(|region| (region, Remote::UNLIMITED)).collect();
    }
    let share = lock(&context.grant_manager).share(now);
    let own = &context.settings.region;
    let sources = in_force.regions.len().saturating_sub(1);
    let remote = |name: &String| {
        let slots = slots.get(name).copied().unwrap_or(0);
        let cap = in_force.policy.link_cap(own, name).unwrap_or(0.0);
        let allowed = grant::allowance(slots, sources, cap, share);
        Remote { max_in_flight: allowed.max_requests, bytes_per_second: allowed.bytes_per_second }
    };
    let others = in_force.regions.iter().enumerate().filter(|(_, name)| *name != own);
    others.map(|(position, name)| (position as u16, remote(name))).collect()
}
