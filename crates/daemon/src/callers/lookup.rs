//! Look-ups: which entry instances a caller should use.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use base::error::Kind;
use serde::Serialize;

use super::reply::Reply;
use crate::Context;

/// The path of look-ups.
pub const PATH: &str = "/lookup";

#[derive(Debug, Serialize)]
struct Entry<'a> {
    instance: &'a str,
    address: &'a str,
}

#[derive(Debug, Serialize)]
struct Answer<'a> {
    entries: Vec<Entry<'a>>,
    ttl_s: u64,
    region: &'a str,
    revision: u64,
    session: String,
}

/// Answers a look-up; `query` may name the caller's address as `client=`, or its `region=`, which is answered
/// with the addresses alone.
pub fn answer(context: &Arc<Context>, query: Option<&str>, peer: IpAddr) -> Reply {
    if let Some(region) = parameter(query, "region") {
        return near(context, region);
    }
    let Some(address) = address(query, peer) else {
        return Reply::error(Kind::Malformed, &context.dialect);
    };
    context.metrics.lookups.inc();
    let steering = context.steering();
    let in_force = context.policy();
    let most = context.settings.callers.answer_entries as usize;
    let found = steer::answer::look_up(&steering.table, &steering.view, &steering.shares, address, most);
    let entries = found.positions().iter().filter_map(|position| steering.view.entry(*position));
    let entries: Vec<Entry<'_>> =
        entries.map(|entry| Entry { instance: &entry.name, address: &entry.address }).collect();
    if entries.is_empty() {
        return Reply::error(Kind::NoBackend, &context.dialect);
    }
    let region = found.region.and_then(|region| in_force.regions.get(usize::from(region)));
    Reply::json(&Answer {
        entries,
        ttl_s: context.settings.callers.answer_ttl_s,
        region: region.map_or("", String::as_str),
        revision: in_force.revision,
        session: context.session(),
    })
}

#[derive(Debug, Serialize)]
struct Addresses<'a> {
    addresses: Vec<&'a str>,
    ttl_s: u64,
}

/// Entry instances for a caller in `region`.
fn near(context: &Arc<Context>, region: &str) -> Reply {
    context.metrics.lookups.inc();
    let steering = context.steering();
    let region = context.policy().region_position(region);
    let most = context.settings.callers.answer_entries as usize;
    let found = steer::by_region::look_up(&steering.view, region, most);
    let addresses: Vec<&str> =
        found.iter().filter_map(|position| Some(steering.view.entry(*position)?.address.as_str())).collect();
    if addresses.is_empty() {
        return Reply::error(Kind::NoBackend, &context.dialect);
    }
    Reply::json(&Addresses { addresses, ttl_s: context.settings.callers.answer_ttl_s })
}

/// The value of a parameter of a query.
fn parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let mut pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
}

/// The caller's address: as named, or as connected.
fn address(query: Option<&str>, peer: IpAddr) -> Option<u32> {
    let address = match parameter(query, "client") {
        Some(text) => text.parse::<Ipv4Addr>().ok()?,
        None => match peer {
            IpAddr::V4(address) => address,
            IpAddr::V6(address) => address.to_ipv4().unwrap_or(Ipv4Addr::UNSPECIFIED),
        },
    };
    Some(u32::from(address))
}
