//! The entry instances that a request may be passed on to.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use steer::view::{Entry, Standing};

use crate::Context;
use crate::context::lock;

/// Another entry instance.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) region: String,
    pub(super) interface: Interface,
}

/// Where and how an entry instance takes requests that are passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Interface {
    /// At its address for such requests; each reply has a disposition.
    Peers(SocketAddr),
    /// At its address for callers, since it is of a build up to 4e2e901. Headers mark such a request and its refusal.
    Callers(SocketAddr),
}

impl Interface {
    pub(super) const fn address(self) -> SocketAddr {
        match self {
            Self::Peers(address) | Self::Callers(address) => address,
        }
    }
}

/// How far away another instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    /// In this failure domain.
    Domain,
    /// In another failure domain of this region.
    Region,
    /// In another region.
    Elsewhere,
}

/// Returns the instances to try, random ones: one of this failure domain, one of another of this region, and one of another
/// region. Instances that reach no server themselves, that are leaving or that may be dead are not among them.
pub(super) fn choose(context: &Context, regions: &[String]) -> Vec<Peer> {
    let (steering, active) = (context.steering(), context.policy());
    let settings = &context.settings;
    let own_region = active.region_position(&settings.region);
    let own_domain = steering.view.entries().iter().find(|entry| entry.name == settings.instance);
    let own_domain = own_domain.map(|entry| entry.domain);
    let allowed: Vec<Option<u16>> = regions.iter().map(|name| active.region_position(name)).collect();
    let usable = steering.view.entries().iter().filter(|entry| {
        let in_allowed = allowed.is_empty() || allowed.contains(&Some(entry.region));
        // Bytes over links to other regions are limited; without that limit, they are the last resort.
        let in_reach = settings.dispatch.open_links || Some(entry.region) == own_region;
        entry.standing == Standing::Good && entry.name != settings.instance && in_allowed && in_reach
    });
    let mut nearest: BTreeMap<Distance, Vec<Peer>> = BTreeMap::new();
    for entry in usable {
        let distance = match (Some(entry.domain) == own_domain, Some(entry.region) == own_region) {
            (true, _) => Distance::Domain,
            (false, true) => Distance::Region,
            (false, false) => Distance::Elsewhere,
        };
        let Some(interface) = interface(context, entry) else { continue };
        let region = active.regions.get(usize::from(entry.region)).cloned().unwrap_or_default();
        nearest.entry(distance).or_default().push(Peer { name: entry.name.clone(), region, interface });
    }
    nearest.into_values().filter_map(fastrand::choice).collect()
}

/// Returns where `entry` takes requests that are passed on; `None` as long as it has told nothing of itself.
fn interface(context: &Context, entry: &Entry) -> Option<Interface> {
    let roster = lock(&context.roster);
    let record = roster.member(&entry.name)?;
    match record.relay_address() {
        Some(address) => Some(Interface::Peers(address)),
        None => Some(Interface::Callers(entry.address.parse().ok()?)),
    }
}
