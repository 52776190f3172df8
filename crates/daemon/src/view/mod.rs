//! The routing state that look-ups and attempts read. It is rebuilt when the instance list, the membership or the
//! policy changes.

mod entries;
mod servers;

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use base::instance::{Instance, Role};
use base::time::Time;
use dispatch::Engine;
use dispatch::backend::{BackendId, Spec};
use dispatch::engine::{Budgets, Remote};
use fleet::replica::Version;
use steer::View;
use steer::grant;
use steer::shift::{Controller, Shares};

use self::servers::Assignments;
pub use self::servers::{known_daemons, settled};
use crate::Context;
use crate::confirmation;
use crate::context::lock;
use crate::decision_log;
use crate::instance_list::Item;
use crate::policies::ActivePolicy;

/// Fraction of the allowed hedges and retries that is used. The rest is a margin, since requests are counted in windows
/// and the daemons' views of the membership differ.
const REPEAT_UTILIZATION: f64 = 0.8;

/// An immutable snapshot of the routing state.
#[derive(Debug, Clone, Default)]
pub struct Steering {
    /// The policy that it was built for; positions of regions are those of this one.
    pub policy: Arc<ActivePolicy>,
    /// Entry instances.
    pub view: Arc<View>,
    /// Shares of each region's callers that are shifted to other regions.
    pub shares: Shares,
    /// Backend servers that this daemon uses, by their ids.
    pub backends: Arc<BTreeMap<BackendId, Arc<Instance>>>,
}

/// Inputs that the current routing state was built from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Inputs {
    /// Version of the policy.
    pub version: Version,
    /// Whether a policy with at least one region was active.
    pub policy: bool,
    /// Whether the instance list had been read.
    pub list: bool,
}

impl Steering {
    /// Returns the address of a backend server; `None` if this daemon does not use it.
    pub fn backend_address(&self, backend: BackendId) -> Option<String> {
        self.backends.get(&backend).map(|instance| instance.address.clone())
    }
}

/// State kept from one refresh to the next.
#[derive(Debug, Default)]
pub struct RefreshState {
    /// Inputs that the current routing state was built from.
    pub inputs: Inputs,
    /// Versions at the last rebuild; `None` forces the next one.
    versions: Option<InputVersions>,
    assignments: Assignments,
    /// Total slots of the backend servers, by region.
    slots: BTreeMap<String, u32>,
}

/// Versions of everything, besides the policy, that backend servers and entry instances are built from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct InputVersions {
    list: u64,
    roster: u64,
    settled: bool,
}

/// Rebuilds what has changed in the instance list, in the membership or with time. Threads that call it at the same
/// time run one after the other.
pub fn refresh(context: &Arc<Context>) {
    let mut state = lock(&context.refresh_state);
    let active = context.policy();
    let changes = update(context, &active, &mut state);
    context.driver.with_engine_mut(context, |engine| changes.apply(engine));
}

/// Makes `next` the active policy. The routing state is rebuilt for it first, so that a request that is handled by the
/// new policy finds its servers. What the engine knows of the policy and the policy in force change together: positions of
/// classes are looked up in the one and used in the other.
pub fn activate(context: &Arc<Context>, next: Arc<ActivePolicy>) {
    let mut state = lock(&context.refresh_state);
    if next.regions != context.policy().regions {
        let answer_ttl = Duration::from_millis(context.settings.callers.answer_kept_ms);
        *lock(&context.shift_controller) = Controller::new(next.regions.len(), answer_ttl, context.now());
    }
    state.versions = None;
    let changes = update(context, &next, &mut state);
    let expiry = confirmation::expiry(context, next.version, context.now());
    context.driver.with_engine_mut(context, |engine| {
        engine.set_policy_expiry(expiry);
        // Before the servers, whose change sends what waits.
        engine.apply_policy(next.class_specs(), &next.engine_accounts(), &context.driver.covering_classes(&next));
        changes.apply(engine);
        *context.active_policy.write().unwrap_or_else(PoisonError::into_inner) = next;
    });
}

/// What changes in the dispatch engine with the routing state.
struct Changes {
    budgets: Budgets,
    /// This daemon's shares of other regions, by position.
    remotes: Vec<(u16, Remote)>,
    /// The servers in use; `None` if they are the same.
    servers: Option<Vec<Spec>>,
    at: Time,
}

impl Changes {
    fn apply(self, engine: &mut Engine) {
        engine.set_budgets(self.budgets);
        for (region, remote) in self.remotes {
            engine.set_remote(region, remote, self.at);
        }
        if let Some(servers) = self.servers {
            engine.set_backends(servers, self.at);
        }
    }
}

/// Updates the routing state for the policy `active`; returns what changes in the engine. Goes through the list and the members
/// only if they changed, since time alone changes little.
fn update(context: &Context, active: &Arc<ActivePolicy>, state: &mut RefreshState) -> Changes {
    let now = context.now();
    let list = lock(&context.instance_list).clone();
    let roster = lock(&context.roster).digest();
    let versions = InputVersions { list: list.version, roster, settled: servers::settled(context) };
    let servers = (state.versions != Some(versions)).then(|| rebuild(context, active, &list.items, state));
    state.versions = Some(versions);
    let steering = shift_callers(context, active, now);
    context.pool.retain(|backend| steering.backends.contains_key(&backend), now);
    let remotes = remotes(context, &state.slots, active, now);
    let budgets = budgets(context, servers::known_daemons(context, &lock(&context.roster)));
    let policy = !active.policy.regions.is_empty();
    state.inputs = Inputs { version: active.version, policy, list: list.read_at.is_some() };
    Changes { budgets, remotes, servers, at: now }
}

/// Rebuilds backend servers and entry instances from the list and the members; returns the specs of the used servers
/// for the dispatch engine.
fn rebuild(context: &Context, active: &Arc<ActivePolicy>, items: &[Item], state: &mut RefreshState) -> Vec<Spec> {
    let roster = lock(&context.roster).clone();
    let members = if context.catalog.is_some() { entries::members(&roster, active) } else { Vec::new() };
    let instances: Vec<&Instance> = items.iter().map(|item| &*item.instance).chain(&members).collect();
    context.metrics.members.set(roster.live_members().count() as i64 + 1);
    let before = context.steering();
    let entry_instances = entries::entries(&instances, &roster, active, context);
    let view = entries::ranked(&before.view, entry_instances, active.regions.len());
    state.assignments.update(context, &roster, active);
    let used = state.assignments.used(items, active);
    let specs = state.assignments.specs(context, &used, active);
    let backends = used.into_iter().map(|item| (item.id, Arc::clone(&item.instance))).collect();
    state.slots.clear();
    for server in instances.iter().filter(|instance| instance.role == Role::Backend) {
        let slots = state.slots.entry(server.region.clone()).or_default();
        *slots = slots.saturating_add(server.slots);
    }
    let policy = Arc::clone(active);
    let steering = Steering { policy, view, shares: before.shares.clone(), backends: Arc::new(backends) };
    decision_log::steering_changed(&before, &steering);
    context.set_steering(steering);
    specs
}

/// Updates the shifts of callers by the loads that are known now; returns the routing state then current.
fn shift_callers(context: &Context, active: &ActivePolicy, now: Time) -> Arc<Steering> {
    let steering = context.steering();
    let loads = entries::loads(active, &lock(&context.roster), &steering.view);
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

/// Returns this daemon's budgets. Its share of the accumulated hedges and retries that all daemons may cause together
/// assumes twice as many daemons as are known, since there may be others that this one has not seen yet. Daemons that it
/// does not hear count, since they may have retries saved up as well.
fn budgets(context: &Context, daemons: usize) -> Budgets {
    let settings = &context.settings.dispatch;
    let daemons = 2.0 * daemons as f64;
    Budgets {
        retry_ratio: settings.retry_ratio,
        repeat_ratio: settings.repeat_ratio * REPEAT_UTILIZATION,
        repeat_burst: settings.repeat_burst / daemons,
        ..Budgets::DEFAULT
    }
}

/// Returns what this daemon may use of each other region. The capacity of a region that others may use is divided
/// equally among all other regions, and this region's share among its daemons by their grants. The setting
/// `dispatch.open_links` lifts all limits.
fn remotes(context: &Context, slots: &BTreeMap<String, u32>, active: &ActivePolicy, now: Time) -> Vec<(u16, Remote)> {
    if context.settings.dispatch.open_links {
        return (0..active.regions.len() as u16).map(|region| (region, Remote::UNLIMITED)).collect();
    }
    let share = lock(&context.grant_manager).share(now);
    let own = &context.settings.region;
    let sources = active.regions.len().saturating_sub(1);
    let remote = |name: &String| {
        let slots = slots.get(name).copied().unwrap_or(0);
        let cap = active.policy.link_cap(own, name).unwrap_or(0.0);
        let allowance = grant::allowance(slots, sources, cap, share);
        Remote { max_in_flight: allowance.max_requests, bytes_per_second: allowance.bytes_per_second }
    };
    let others = active.regions.iter().enumerate().filter(|(_, name)| *name != own);
    others.map(|(position, name)| (position as u16, remote(name))).collect()
}
