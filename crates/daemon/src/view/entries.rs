//! Entry instances that look-ups return, and the regional loads by which callers are shifted.

use std::sync::Arc;

use base::instance::{Instance, Role, State as Listed};
use base::time::Time;
use config::configs::Machine;
use config::policy::Policy;
use fleet::message::{Record, State};
use fleet::roster::Roster;
use steer::View;
use steer::shift::Load;
use steer::view::{Entry, Standing};

use crate::Context;
use crate::policies::ActivePolicy;

/// Returns the entry instances among the members, from their own gossip records; used where no instance list names
/// them.
pub fn members(roster: &Roster, active: &ActivePolicy) -> Vec<Instance> {
    let instance = |record: Record| {
        let region = active.policy.region_of(&record.domain)?.to_owned();
        Some(Instance {
            name: record.name,
            role: Role::Entry,
            service: String::new(),
            region,
            domain: record.domain,
            address: record.caller_address,
            peers: record.peer_address,
            operators: String::new(),
            slots: 0,
            connections: 0,
            started_at: record.incarnation,
            state: Listed::Live,
        })
    };
    let entries = roster.records().into_iter().filter(|record| !record.caller_address.is_empty());
    entries.filter_map(instance).collect()
}

/// Returns the ranked lists, rebuilt only if the entry instances or the number of regions changed.
pub fn ranked(before: &Arc<View>, entries: Vec<Entry>, regions: usize) -> Arc<View> {
    if before.regions() == regions && before.entries() == entries {
        return Arc::clone(before);
    }
    Arc::new(View::new(entries, regions))
}

/// Returns the entry instances among `instances`, each with its standing.
pub fn entries(instances: &[&Instance], roster: &Roster, active: &ActivePolicy, context: &Context) -> Vec<Entry> {
    let listed: Vec<&Instance> = instances.iter().copied().filter(|instance| instance.role == Role::Entry).collect();
    let leaving = listed.iter().filter(|instance| instance.state == Listed::Leaving).count();
    // A list in which more than half of the entry instances leave at once is not trusted.
    let suspicious_list = leaving * 2 > listed.len();
    let domains: Vec<&String> = active.policy.regions.values().flat_map(|region| &region.domains).collect();
    let entry = |instance: &&Instance| {
        let region = active.region_position(&instance.region)?;
        let domain = domains.iter().position(|domain| **domain == instance.domain)? as u16;
        let standing = standing(instance, roster, &active.policy, suspicious_list);
        let (name, address) = (instance.name.clone(), instance.address.clone());
        let capacity = capacity(roster, &name);
        Some(Entry { name, address, region, domain, standing, capacity })
    };
    let mut entries: Vec<Entry> = listed.iter().filter_map(entry).collect();
    let settings = &context.settings;
    // Without any known entry instance the daemon returns at least itself.
    if entries.is_empty()
        && let Some(region) = active.region_position(&settings.region)
    {
        let (name, address) = (settings.instance.clone(), settings.callers.address.clone());
        let capacity = settings.machine.capacity();
        entries.push(Entry { name, address, region, domain: 0, standing: Standing::Good, capacity });
    }
    entries
}

/// Returns the requests per second that the machine of an entry instance can carry; as for one of which nothing is known if it
/// has not told.
fn capacity(roster: &Roster, name: &str) -> u32 {
    let own = roster.own();
    let record = if own.name == name { Some(own) } else { roster.member(name) };
    record.and_then(|record| record.capacity).unwrap_or_else(|| Machine::default().capacity())
}

fn standing(instance: &Instance, roster: &Roster, policy: &Policy, suspicious_list: bool) -> Standing {
    if policy.instance_drained(&instance.name) || policy.domain_drained(&instance.domain) {
        return Standing::Out;
    }
    let leaving = instance.state == Listed::Leaving;
    match roster.state(&instance.name) {
        Some(State::Left | State::Dead) => Standing::Out,
        _ if leaving && !suspicious_list => Standing::Out,
        Some(State::Suspect) => Standing::Doubtful,
        _ if roster.is_without_servers(&instance.name) => Standing::Doubtful,
        _ if leaving => Standing::Doubtful,
        Some(State::Alive) | None => Standing::Good,
    }
}

/// Returns the loads of the regions, each summed over its failure domains.
pub fn loads(active: &ActivePolicy, roster: &Roster, view: &View) -> Vec<Load> {
    let policy = &active.policy;
    let load = |name: &String| {
        let reports = policy.regions[name].domains.iter().filter_map(|domain| roster.loads().get(domain));
        let down = active.region_position(name).is_some_and(|region| !view.has_entries(region));
        let drained = policy.region_drained(name);
        let mut load = Load { busy: 0.0, slots: 0.0, at: Time::ZERO, drained, down };
        for domain in reports {
            load.busy += f64::from(domain.busy);
            load.slots += f64::from(domain.slots);
            load.at = load.at.max(domain.at);
        }
        load
    };
    active.regions.iter().map(load).collect()
}
