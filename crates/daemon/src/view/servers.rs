//! Backend servers that this daemon uses, and how it starts them.

use std::collections::BTreeMap;
use std::time::Duration;

use base::hash;
use base::instance::{Instance, Role, State as Listed};
use dispatch::backend::{BackendId, Place, SlowStart, Spec};
use dispatch::subset;
use fleet::roster::Roster;

use crate::Context;
use crate::instance_list::Item;
use crate::policies::ActivePolicy;

/// Daemons of a region that may use one backend server, so that its connections are not used up.
const USERS_PER_BACKEND: usize = 64;
/// Time in which a daemon that starts hears of the others: a few exchanges with peers.
const SETTLE: Duration = Duration::from_secs(3);

/// Whether the daemon has had time to hear of the others.
pub fn settled(context: &Context) -> bool {
    context.settings.fleet.seeds.is_empty() || context.uptime() > SETTLE
}

/// What falls to this daemon of one server.
#[derive(Debug, Clone, Copy)]
struct Dealt {
    used: bool,
    /// Part of the requests that the server bears while it starts, and whether we send it any meanwhile.
    part: f64,
    starter: bool,
}

/// What falls to this daemon of each server, as long as the daemons are the same: it is worked out from all of them.
#[derive(Debug, Clone, Default)]
pub struct Dealing {
    own: u64,
    /// Living daemons of our region and of all regions, hashed, ourselves among them.
    region: Vec<u64>,
    all: Vec<u64>,
    starters: usize,
    settled: bool,
    dealt: BTreeMap<BackendId, Dealt>,
}

impl Dealing {
    /// Takes the daemons that live now; forgets what was dealt if they are others than before.
    pub fn update(&mut self, context: &Context, roster: &Roster, in_force: &ActivePolicy) {
        let own = hash::bytes(context.settings.instance.as_bytes());
        let domains = in_force.policy.regions.get(&context.settings.region);
        let domains = domains.map(|region| region.domains.as_slice()).unwrap_or_default();
        let region = hashed(own, domains.iter().flat_map(|domain| roster.live_members_in(domain)));
        let all = hashed(own, roster.live_members());
        let (starters, settled) = (context.settings.dispatch.starters as usize, settled(context));
        if (&self.region, &self.all, self.settled) != (&region, &all, settled) {
            *self = Self { own, region, all, starters, settled, dealt: BTreeMap::new() };
        }
    }

    /// The servers that this daemon uses: its share of those in its region, and all elsewhere.
    pub fn used<'a>(&mut self, items: &'a [Item], in_force: &ActivePolicy) -> Vec<&'a Item> {
        let used = |item: &&Item| {
            let Item { id, instance, .. } = item;
            instance.role == Role::Backend
                && in_force.service_position(&instance.service).is_some()
                && self.dealt(*id).used
        };
        items.iter().filter(used).collect()
    }

    fn dealt(&mut self, id: BackendId) -> Dealt {
        if let Some(known) = self.dealt.get(&id) {
            return *known;
        }
        let used = subset::uses(self.own, &self.region, u64::from(id), USERS_PER_BACKEND);
        let (part, starter) = subset::start_share(self.own, &self.all, u64::from(id), self.starters, self.settled);
        let dealt = Dealt { used, part, starter };
        self.dealt.insert(id, dealt);
        dealt
    }

    /// What dispatch needs of the servers that are used.
    pub fn specs(&mut self, context: &Context, used: &[&Item], in_force: &ActivePolicy) -> Vec<Spec> {
        let near = used.iter().filter(|item| item.instance.region == context.settings.region);
        let near: Vec<u64> = near.map(|item| u64::from(item.id)).collect();
        let hosts = subset::hosts(self.own, &self.region, &near);
        let hosted: BTreeMap<u64, bool> = near.into_iter().zip(hosts).collect();
        let spec = |item: &&Item| {
            let instance = &*item.instance;
            let policy = &in_force.policy;
            let drained = policy.instance_drained(&instance.name) || policy.servers_drained(&instance.domain);
            let region = in_force.region_position(&instance.region)?;
            Some(Spec {
                id: item.id,
                service: in_force.service_position(&instance.service)?,
                place: place(context, instance, region),
                slots: instance.slots,
                leaving: drained || instance.state == Listed::Leaving,
                hosts: hosted.get(&u64::from(item.id)).copied().unwrap_or(false),
                region,
                slow_start: self.start(item, in_force),
            })
        };
        used.iter().filter_map(spec).collect()
    }

    fn start(&mut self, item: &Item, in_force: &ActivePolicy) -> Option<SlowStart> {
        let service = in_force.policy.services.get(&item.instance.service)?;
        let Dealt { part, starter, .. } = self.dealt(item.id);
        let per_second = service.start_per_second * part;
        let phase = hash::unit_interval(hash::combine(self.own, item.id.into()));
        (service.start_per_second > 0.0).then_some(SlowStart { until: item.cold_until, per_second, starter, phase })
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

/// Hashes of the names of daemons, with our own.
fn hashed<'a>(own: u64, names: impl Iterator<Item = &'a str>) -> Vec<u64> {
    let mut hashed: Vec<u64> = names.map(|name| hash::bytes(name.as_bytes())).collect();
    if !hashed.contains(&own) {
        hashed.push(own);
    }
    hashed
}
