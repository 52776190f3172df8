//! What look-ups and attempts read, rebuilt whenever the list, the membership or the policy changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base::hash;
use base::instance::{Instance, Role, State as Listed};
use base::time::Time;
use config::policy::Policy;
use dispatch::backend::{BackendId, Place, Spec, Start};
use dispatch::engine::{Extra, Remote};
use dispatch::subset;
use fleet::message::{Record, State};
use fleet::roster::Roster;
use steer::grant;
use steer::shift::{Controller, Load, Shares};
use steer::view::{Entry, Standing};
use steer::{Table, View};

use crate::Context;
use crate::context::lock;
use crate::notes;
use crate::policies::InForce;

/// Part of the second sends that are allowed which is used: requests are counted in windows, and views differ.
const REPEATS_USED: f64 = 0.8;
/// Daemons of a region that may use one backend server, so that its connections are not used up.
const USERS_PER_BACKEND: usize = 64;

/// Time in which a daemon that starts hears of the others: a few exchanges with peers.
const SETTLE: Duration = Duration::from_secs(3);

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
    pub backends: BTreeMap<BackendId, Instance>,
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

/// A backend server's number: its name, address and start together, so that a successor is another one.
pub fn backend_id(instance: &Instance) -> BackendId {
    let Instance { name, address, born, .. } = instance;
    let text = if *born == 0 { format!("{name}\n{address}") } else { format!("{name}\n{address}\n{born}") };
    hash::bytes(text.as_bytes()) as BackendId
}

/// Rebuilds everything from the list, the membership and the policy; several threads may ask for it at once.
pub fn refresh(context: &Arc<Context>) {
    let mut prepared = lock(&context.prepared);
    *prepared = prepare(context, &context.policy());
}

/// Puts `next` into force once everything is prepared for it: what is decided by a policy finds its servers.
pub fn adopt(context: &Arc<Context>, next: Arc<InForce>) {
    let mut prepared = lock(&context.prepared);
    if next.regions != context.policy().regions {
        let kept = Duration::from_millis(context.settings.callers.answer_kept_ms);
        *lock(&context.controller) = Controller::new(next.regions.len(), kept, context.now());
    }
    context.driver.with(context, |engine| engine.set_classes(next.specs()));
    let rests_on = prepare(context, &next);
    *context.in_force.write().unwrap_or_else(std::sync::PoisonError::into_inner) = next;
    *prepared = rests_on;
}

fn prepare(context: &Arc<Context>, in_force: &InForce) -> Prepared {
    let now = context.now();
    let (mut instances, read) = lock(&context.list).clone();
    let roster = lock(&context.roster).clone();
    if context.catalog.is_some() {
        instances.extend(members(&roster, in_force));
    }
    context.metrics.members.set(roster.alive().count() as i64 + 1);
    let view = entry_view(context, entries(&instances, &roster, in_force, context), in_force.regions.len());
    let loads = loads(in_force, &roster, &view);
    let mut controller = lock(&context.controller);
    controller.update(&loads, now);
    let shares = controller.shares().clone();
    drop(controller);
    let used = used_backends(context, &instances, &roster, in_force);
    let specs = specs(context, &used, &roster, in_force);
    let backends: BTreeMap<BackendId, Instance> =
        used.into_iter().map(|instance| (backend_id(instance), instance.clone())).collect();
    context.pool.keep(|backend| backends.contains_key(&backend), now);
    let table = Arc::clone(&in_force.table);
    let steering = Arc::new(Steering { table, view, shares, backends });
    notes::changed(&context.steering(), &steering);
    *context.steering.write().unwrap_or_else(std::sync::PoisonError::into_inner) = steering;
    let remotes = remotes(context, &instances, in_force, now);
    let extra = extra(context, &roster);
    context.driver.with(context, |engine| {
        engine.set_extra(extra);
        for (region, remote) in remotes {
            engine.set_remote(region, remote, now);
        }
        engine.set_backends(specs, now);
    });
    let policy = !in_force.policy.regions.is_empty();
    Prepared { revision: in_force.revision, policy, list: read.is_some() }
}

/// Our part of the second sends that all daemons may cause together; twice as many daemons as are known may be
/// there.
fn extra(context: &Context, roster: &Roster) -> Extra {
    let settings = &context.settings.dispatch;
    let daemons = 2.0 * (roster.alive().count() + 1) as f64;
    Extra {
        repeat_part: settings.repeat_part * REPEATS_USED,
        repeats_saved: settings.repeats_saved / daemons,
        ..Extra::DEFAULT
    }
}

/// Entry instances as they tell of themselves, where no list names them.
fn members(roster: &Roster, in_force: &InForce) -> Vec<Instance> {
    let instance = |record: Record| {
        let region = in_force.policy.region_of(&record.domain)?.to_owned();
        Some(Instance {
            name: record.name,
            role: Role::Entry,
            service: String::new(),
            region,
            domain: record.domain,
            address: record.callers,
            peers: record.peers,
            operators: String::new(),
            slots: 0,
            connections: 0,
            born: record.incarnation,
            state: Listed::Live,
        })
    };
    let told = roster.records().into_iter().filter(|record| !record.callers.is_empty());
    told.filter_map(instance).collect()
}

/// The ranked lists, built anew only if something about the entry instances changed.
fn entry_view(context: &Context, entries: Vec<Entry>, regions: usize) -> Arc<View> {
    let before = &context.steering().view;
    if before.regions() == regions && before.entries() == entries {
        return Arc::clone(before);
    }
    Arc::new(View::new(entries, regions))
}

fn entries(instances: &[Instance], roster: &Roster, in_force: &InForce, context: &Context) -> Vec<Entry> {
    let listed: Vec<&Instance> = instances.iter().filter(|instance| instance.role == Role::Entry).collect();
    let leaving = listed.iter().filter(|instance| instance.state == Listed::Leaving).count();
    // A list that takes most entry instances away at once is doubted.
    let doubted = leaving * 2 > listed.len();
    let domains: Vec<&String> = in_force.policy.regions.values().flat_map(|region| &region.domains).collect();
    let entry = |instance: &&Instance| {
        let region = in_force.region(&instance.region)?;
        let domain = domains.iter().position(|domain| **domain == instance.domain)? as u16;
        let standing = standing(instance, roster, &in_force.policy, doubted);
        let (name, address) = (instance.name.clone(), instance.address.clone());
        Some(Entry { name, address, region, domain, standing })
    };
    let mut entries: Vec<Entry> = listed.iter().filter_map(entry).collect();
    let settings = &context.settings;
    // Without a list the daemon can at least name itself.
    if entries.is_empty()
        && let Some(region) = in_force.region(&settings.region)
    {
        let (name, address) = (settings.instance.clone(), settings.callers.address.clone());
        entries.push(Entry { name, address, region, domain: 0, standing: Standing::Good });
    }
    entries
}

fn standing(instance: &Instance, roster: &Roster, policy: &Policy, doubted: bool) -> Standing {
    if policy.instance_drained(&instance.name) || policy.domain_drained(&instance.domain) {
        return Standing::Out;
    }
    let leaving = instance.state == Listed::Leaving;
    match roster.state(&instance.name) {
        Some(State::Left | State::Dead) => Standing::Out,
        _ if leaving && !doubted => Standing::Out,
        Some(State::Suspect) => Standing::Doubtful,
        _ if leaving => Standing::Doubtful,
        Some(State::Alive) | None => Standing::Good,
    }
}

/// Loads of regions, summed over their failure domains.
fn loads(in_force: &InForce, roster: &Roster, view: &View) -> Vec<Load> {
    let policy = &in_force.policy;
    let load = |name: &String| {
        let seen = policy.regions[name].domains.iter().filter_map(|domain| roster.loads().get(domain));
        let gone = in_force.region(name).is_some_and(|region| !view.has(region));
        let drained = policy.region_drained(name);
        let mut load = Load { busy: 0.0, slots: 0.0, at: Time::ZERO, drained, gone };
        for domain in seen {
            load.busy += f64::from(domain.busy);
            load.slots += f64::from(domain.slots);
            load.at = load.at.max(domain.at);
        }
        load
    };
    in_force.regions.iter().map(load).collect()
}

/// Names of the living entry instances of our region, hashed; ourselves among them.
fn region_daemons(context: &Context, roster: &Roster, in_force: &InForce) -> Vec<u64> {
    let region = in_force.policy.regions.get(&context.settings.region);
    let domains = region.map(|region| region.domains.as_slice()).unwrap_or_default();
    let names = domains.iter().flat_map(|domain| roster.alive_in(domain));
    let mut hashed: Vec<u64> = names.map(|name| hash::bytes(name.as_bytes())).collect();
    let own = hash::bytes(context.settings.instance.as_bytes());
    if !hashed.contains(&own) {
        hashed.push(own);
    }
    hashed
}

/// The backend servers that this daemon uses: its share of those in its region, and all elsewhere.
fn used_backends<'a>(
    context: &Context,
    instances: &'a [Instance],
    roster: &Roster,
    in_force: &InForce,
) -> Vec<&'a Instance> {
    let daemons = region_daemons(context, roster, in_force);
    let own = hash::bytes(context.settings.instance.as_bytes());
    let used = |instance: &&Instance| {
        let backend = instance.role == Role::Backend && in_force.service(&instance.service).is_some();
        let id = u64::from(backend_id(instance));
        backend && subset::uses(own, &daemons, id, USERS_PER_BACKEND)
    };
    instances.iter().filter(used).collect()
}

fn specs(context: &Context, used: &[&Instance], roster: &Roster, in_force: &InForce) -> Vec<Spec> {
    let settings = &context.settings;
    let daemons = region_daemons(context, roster, in_force);
    let own = hash::bytes(settings.instance.as_bytes());
    let near: Vec<u64> = used
        .iter()
        .filter(|instance| instance.region == settings.region)
        .map(|instance| u64::from(backend_id(instance)))
        .collect();
    let hosts = subset::hosts(own, &daemons, &near);
    let hosted = |id: BackendId| near.iter().position(|near| *near == u64::from(id)).is_some_and(|at| hosts[at]);
    let members = all_daemons(&roster.records(), own);
    let starters = settings.dispatch.starters as usize;
    let settled = settings.fleet.seeds.is_empty() || context.age() > SETTLE;
    let starts = lock(&context.servers).starts.clone();
    let start = |instance: &&Instance| {
        let service = in_force.policy.services.get(&instance.service)?;
        let id = backend_id(instance);
        let (part, starter) = subset::start_part(own, &members, u64::from(id), starters, settled);
        let per_second = service.start_per_second * part;
        let phase = hash::unit(hash::pair(own, id.into()));
        let until = starts.get(&id).copied().unwrap_or(Time::ZERO);
        (service.start_per_second > 0.0).then_some(Start { until, per_second, starter, phase })
    };
    let spec = |instance: &&Instance| {
        let id = backend_id(instance);
        let policy = &in_force.policy;
        let drained = policy.instance_drained(&instance.name) || policy.servers_drained(&instance.domain);
        let place = if instance.domain == settings.domain {
            Place::Domain
        } else if instance.region == settings.region {
            Place::Region
        } else {
            Place::Remote(in_force.region(&instance.region)?)
        };
        Some(Spec {
            id,
            service: in_force.service(&instance.service)?,
            place,
            slots: instance.slots,
            leaving: drained || instance.state == Listed::Leaving,
            hosts: hosted(id),
            region: in_force.region(&instance.region)?,
            start: start(instance),
        })
    };
    used.iter().filter_map(spec).collect()
}

/// All living entry instances, hashed; ourselves among them.
fn all_daemons(records: &[Record], own: u64) -> Vec<u64> {
    let living = records.iter().filter(|record| record.state <= State::Suspect);
    let mut hashed: Vec<u64> = living.map(|record| hash::bytes(record.name.as_bytes())).collect();
    if !hashed.contains(&own) {
        hashed.push(own);
    }
    hashed
}

/// What we may use of other regions: our part of a part that is split between all regions that might.
fn remotes(context: &Context, instances: &[Instance], in_force: &InForce, now: Time) -> Vec<(u16, Remote)> {
    if context.settings.dispatch.open_links {
        let open = Remote { limit: u32::MAX, bytes_per_second: f64::from(u32::MAX) };
        return (0..in_force.regions.len() as u16).map(|region| (region, open)).collect();
    }
    let share = lock(&context.keeper).share(now);
    let own = &context.settings.region;
    let sources = in_force.regions.len().saturating_sub(1);
    let remote = |name: &String| {
        let backends = instances.iter().filter(|instance| instance.role == Role::Backend && instance.region == *name);
        let slots: u32 = backends.map(|instance| instance.slots).sum();
        let cap = in_force.policy.link_cap(own, name).unwrap_or(0.0);
        let allowed = grant::allowance(slots, sources, cap, share);
        Remote { limit: allowed.requests, bytes_per_second: allowed.bytes_per_second }
    };
    let others = in_force.regions.iter().enumerate().filter(|(_, name)| *name != own);
    others.map(|(position, name)| (position as u16, remote(name))).collect()
}
