//! Backend servers that this daemon uses, and its share of their slow start.

use std::collections::BTreeMap;
use std::time::Duration;

use base::hash;
use base::instance::{Instance, Role, State as Listed};
use config::policy::Region;
use dispatch::backend::{BackendId, Place, Position, SlowStart, Spec};
use dispatch::subset;
use fleet::message::State;
use fleet::roster::Roster;

use crate::Context;
use crate::instance_list::Item;
use crate::policies::ActivePolicy;

/// Maximum number of daemons of a region that use one backend server, so that they do not exhaust its connections.
const MAX_DAEMONS_PER_BACKEND: usize = 64;
/// Time after which a starting daemon is assumed to know the others: a few gossip exchanges.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Returns whether the daemon has had time to learn of the others; always true without seeds.
pub fn settled(context: &Context) -> bool {
    context.settings.fleet.seeds.is_empty() || context.uptime() > SETTLE_TIME
}

/// Returns the number of daemons that have not announced their departure, this one included, whether or not it hears
/// them. A daemon that has not met any other yet counts its seeds.
pub fn known_daemons(context: &Context, roster: &Roster) -> usize {
    roster.remaining_members().max(context.settings.fleet.seeds.len())
}

/// This daemon's assignment to one backend server.
#[derive(Debug, Clone, Copy)]
struct Assignment {
    used: bool,
    /// Fraction of the requests that the server takes while it is cold that this daemon may send.
    start_share: f64,
    /// Whether this daemon sends work to the server while it is cold.
    starter: bool,
    /// This daemon's position among those that share the server's rate limit.
    position: Position,
}

/// This daemon's assignments to backend servers. They are computed from the set of live daemons and cached as long as
/// that set stays the same.
#[derive(Debug, Clone, Default)]
pub struct Assignments {
    /// Hash of this daemon's name.
    own: u64,
    /// Hashes of the names of the live daemons of this region, including this daemon.
    region: Vec<u64>,
    /// The same for all regions.
    all: Vec<u64>,
    /// Those of the live daemons that are in other regions than the key.
    elsewhere: BTreeMap<String, Vec<u64>>,
    /// Live daemons as a fraction of all that have not announced their departure.
    coverage: f64,
    /// Number of daemons that send work to a cold server.
    starters: usize,
    settled: bool,
    by_backend: BTreeMap<BackendId, Assignment>,
}

impl Assignments {
    /// Updates the set of live daemons; clears the assignments if it changed.
    pub fn update(&mut self, context: &Context, roster: &Roster, active: &ActivePolicy) {
        let own = hash::bytes(context.settings.instance.as_bytes());
        let members = |region: &Region| {
            let inside = region.domains.iter().flat_map(|domain| roster.live_members_in(domain));
            inside.map(|name| hash::bytes(name.as_bytes())).collect::<Vec<u64>>()
        };
        let by_region: BTreeMap<&String, Vec<u64>> =
            active.policy.regions.iter().map(|(name, region)| (name, members(region))).collect();
        let mut region = by_region.get(&context.settings.region).cloned().unwrap_or_default();
        if !region.contains(&own) {
            region.push(own);
        }
        let all = name_hashes(own, roster.live_members());
        let outside = |inside: &Vec<u64>| all.iter().filter(|member| !inside.contains(member)).copied().collect();
        let elsewhere: BTreeMap<String, Vec<u64>> =
            by_region.iter().map(|(name, inside)| ((*name).clone(), outside(inside))).collect();
        let (starters, settled) = (context.settings.dispatch.starters as usize, settled(context));
        let known = known_daemons(context, roster).max(all.len());
        let in_service = settled && roster.own().state == State::Alive;
        let coverage = if in_service { all.len() as f64 / known as f64 } else { 0.0 };
        if (&self.region, &self.elsewhere, self.coverage, self.settled) != (&region, &elsewhere, coverage, settled) {
            *self = Self { own, region, all, elsewhere, coverage, starters, settled, by_backend: BTreeMap::new() };
        }
    }

    /// Returns the backend servers that this daemon uses. A server whose service is not part of the policy is not used;
    /// any other one, in this region or elsewhere, is used by at most `MAX_DAEMONS_PER_BACKEND` daemons of this region.
    pub fn used<'a>(&mut self, items: &'a [Item], active: &ActivePolicy) -> Vec<&'a Item> {
        let used = |item: &&Item| {
            let instance = &item.instance;
            instance.role == Role::Backend
                && active.service_position(&instance.service).is_some()
                && self.assignment(item).used
        };
        items.iter().filter(used).collect()
    }

    fn assignment(&mut self, item: &Item) -> Assignment {
        let id = item.id;
        if let Some(known) = self.by_backend.get(&id) {
            return *known;
        }
        let used = subset::uses(self.own, &self.region, u64::from(id), MAX_DAEMONS_PER_BACKEND);
        let (start_share, starter) =
            subset::start_share(self.own, &self.all, u64::from(id), self.starters, self.coverage);
        let position = self.position(id, &item.instance.region);
        let assignment = Assignment { used, start_share, starter, position };
        self.by_backend.insert(id, assignment);
        assignment
    }

    /// Returns this daemon's position among those that share the rate limit of the server `id` in `region`. The daemons
    /// of that region come first: they have the requests that the server is near to, and after the region is cut off,
    /// they are the ones that reach it.
    fn position(&self, id: BackendId, region: &str) -> Position {
        let outside = self.elsewhere.get(region).map(Vec::as_slice).unwrap_or_default();
        let rank = if outside.contains(&self.own) {
            self.all.len() - outside.len() + subset::rank(self.own, outside, u64::from(id))
        } else {
            subset::rank(self.own, &self.region, u64::from(id))
        };
        Position { rank: rank as u32, daemons: self.all.len() as u32, coverage: self.coverage }
    }

    /// Returns the specs of the `used` servers for the dispatch engine.
    pub fn specs(&mut self, context: &Context, used: &[&Item], active: &ActivePolicy) -> Vec<Spec> {
        let in_region = used.iter().filter(|item| item.instance.region == context.settings.region);
        let in_region: Vec<u64> = in_region.map(|item| u64::from(item.id)).collect();
        let hosts = subset::hosts(self.own, &self.region, &in_region);
        let hosts: BTreeMap<u64, bool> = in_region.into_iter().zip(hosts).collect();
        let spec = |item: &&Item| {
            let instance = &*item.instance;
            let policy = &active.policy;
            let drained = policy.instance_drained(&instance.name) || policy.servers_drained(&instance.domain);
            let region = active.region_position(&instance.region)?;
            Some(Spec {
                id: item.id,
                service: active.service_position(&instance.service)?,
                place: place(context, instance, region),
                slots: instance.slots,
                leaving: drained || instance.state == Listed::Leaving,
                hosts: hosts.get(&u64::from(item.id)).copied().unwrap_or(false),
                region,
                slow_start: self.slow_start(item, active, context.settings.dispatch.learned_pace),
                position: self.assignment(item).position,
            })
        };
        used.iter().filter_map(spec).collect()
    }

    /// Returns this daemon's share of the server's slow start; `None` if its service has none.
    fn slow_start(&mut self, item: &Item, active: &ActivePolicy, learns_pace: bool) -> Option<SlowStart> {
        let service = active.policy.services.get(&item.instance.service)?;
        let Assignment { start_share, starter, .. } = self.assignment(item);
        let per_second = service.start_per_second * start_share;
        let phase = hash::unit_interval(hash::combine(self.own, item.id.into()));
        (service.start_per_second > 0.0).then_some(SlowStart {
            until: item.cold_until,
            per_second,
            starter,
            phase,
            learns_pace,
        })
    }
}

fn place(context: &Context, instance: &Instance, region: u16) -> Place {
    if instance.domain == context.settings.domain {
        Place::Domain
    } else if instance.region == context.settings.region {
        Place::Region
    } else {
        Place::Remote(region)
    }
}

/// Returns the hashes of the names of daemons, including `own`, the hash of this daemon's name.
fn name_hashes<'a>(own: u64, names: impl Iterator<Item = &'a str>) -> Vec<u64> {
    let mut hashes: Vec<u64> = names.map(|name| hash::bytes(name.as_bytes())).collect();
    if !hashes.contains(&own) {
        hashes.push(own);
    }
    hashes
}
