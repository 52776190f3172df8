//! Entry instances as look-ups name them, and the loads that shift callers between regions.

use std::sync::Arc;

use base::instance::{Instance, Role, State as Listed};
use base::time::Time;
use config::policy::Policy;
use fleet::message::{Record, State};
use fleet::roster::Roster;
use steer::View;
use steer::shift::Load;
use steer::view::{Entry, Standing};

use crate::Context;
use crate::policies::ActivePolicy;

/// Entry instances as they tell of themselves, where no list names them.
pub fn members(roster: &Roster, in_force: &ActivePolicy) -> Vec<Instance> {
    let instance = |record: Record| {
        let region = in_force.policy.region_of(&record.domain)?.to_owned();
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
    let told = roster.records().into_iter().filter(|record| !record.caller_address.is_empty());
    told.filter_map(instance).collect()
}

/// The ranked lists, built anew only if something about the entry instances changed.
pub fn ranked(before: &Arc<View>, entries: Vec<Entry>, regions: usize) -> Arc<View> {
    if before.regions() == regions && before.entries() == entries {
        return Arc::clone(before);
    }
    Arc::new(View::new(entries, regions))
}

/// Entry instances that the list or members tell of, each with how it stands.
pub fn entries(instances: &[&Instance], roster: &Roster, in_force: &ActivePolicy, context: &Context) -> Vec<Entry> {
    let listed: Vec<&Instance> = instances.iter().copied().filter(|instance| instance.role == Role::Entry).collect();
    let leaving = listed.iter().filter(|instance| instance.state == Listed::Leaving).count();
    // A list that takes most entry instances away at once is doubted.
    let doubted = leaving * 2 > listed.len();
    let domains: Vec<&String> = in_force.policy.regions.values().flat_map(|region| &region.domains).collect();
    let entry = |instance: &&Instance| {
        let region = in_force.region_position(&instance.region)?;
        let domain = domains.iter().position(|domain| **domain == instance.domain)? as u16;
        let standing = standing(instance, roster, &in_force.policy, doubted);
        let (name, address) = (instance.name.clone(), instance.address.clone());
        Some(Entry { name, address, region, domain, standing })
    };
    let mut entries: Vec<Entry> = listed.iter().filter_map(entry).collect();
    let settings = &context.settings;
    // Without a list the daemon can at least name itself.
    if entries.is_empty()
        && let Some(region) = in_force.region_position(&settings.region)
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
pub fn loads(in_force: &ActivePolicy, roster: &Roster, view: &View) -> Vec<Load> {
    let policy = &in_force.policy;
    let load = |name: &String| {
        let seen = policy.regions[name].domains.iter().filter_map(|domain| roster.loads().get(domain));
        let down = in_force.region_position(name).is_some_and(|region| !view.has_entries(region));
        let drained = policy.region_drained(name);
        let mut load = Load { busy: 0.0, slots: 0.0, at: Time::ZERO, drained, down };
        for domain in seen {
            load.busy += f64::from(domain.busy);
            load.slots += f64::from(domain.slots);
            load.at = load.at.max(domain.at);
        }
        load
    };
    in_force.regions.iter().map(load).collect()
}
