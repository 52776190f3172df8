//! The entry instances that a request may be passed on to.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use config::policy::Allowed;
use steer::view::{Entry, Standing};

use crate::Context;
use crate::context::lock;

/// Another entry instance.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) region: String,
    pub(super) distance: Distance,
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
pub(super) enum Distance {
    /// In this failure domain.
    Domain,
    /// In another failure domain of this region.
    Region,
    /// In another region.
    Elsewhere,
}

/// Returns the next instance to try for a request that may run in `allowed`: a random one of this
/// failure domain, then one of another of this region, then one of another region; `None` once all `tried` leave none. Instances
/// that reach no server themselves, that are leaving or that may be dead are passed over.
pub(super) fn choose(context: &Context, allowed: &Allowed, tried: &BTreeSet<Distance>) -> Option<Peer> {
    let steering = context.steering();
    let settings = &context.settings;
    // Positions of regions in the view are those of the policy that it was built for.
    let regions = &steering.policy;
    let own_region = regions.region_position(&settings.region);
    let own_domain = steering.view.entries().iter().find(|entry| entry.name == settings.instance);
    let own_domain = own_domain.map(|entry| entry.domain);
    let usable = steering.view.entries().iter().filter(|entry| {
        let region = regions.regions.get(usize::from(entry.region));
        let in_allowed = *allowed == Allowed::All || region.is_some_and(|region| allowed.contains(region));
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
        if tried.contains(&distance) {
            continue;
        }
        let Some(interface) = interface(context, entry, allowed) else { continue };
        let region = regions.regions.get(usize::from(entry.region)).cloned().unwrap_or_default();
        nearest.entry(distance).or_default().push(Peer { name: entry.name.clone(), region, distance, interface });
    }
    nearest.into_values().find_map(fastrand::choice)
}

/// Returns where `entry` takes requests that may run in `allowed`; `None` as long as it has told nothing of itself, or if it may run them
/// elsewhere.
fn interface(context: &Context, entry: &Entry, allowed: &Allowed) -> Option<Interface> {
    let roster = lock(&context.roster);
    let record = roster.member(&entry.name).filter(|record| *allowed == Allowed::All || record.heeds_regions)?;
    match record.relay_address() {
        Some(address) => Some(Interface::Peers(address)),
        None => Some(Interface::Callers(entry.address.parse().ok()?)),
    }
}
