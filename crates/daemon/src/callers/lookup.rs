//! Look-ups: selects the entry instances that a caller should use.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use base::error::Kind;
use base::hash;
use config::policy;
use http::Method;
use http::header::{ALLOW, HeaderValue};
use serde::Serialize;
use steer::by_region::{self, LEAVING_TTL, Leaving};
use steer::table::RegionId;

use super::connection::Incoming;
use super::headers::logged_path;
use super::reply::Reply;
use crate::view::Steering;
use crate::{Context, decision_log};

/// The request path of look-ups.
const PATH: &str = "/lookup";

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

/// Methods that look-ups accept, as the header `Allow` names them.
const METHODS: HeaderValue = HeaderValue::from_static("GET, HEAD");

/// Answers a request at an address for look-ups.
///
/// A look-up's query may give the caller's address as `client=` (by default that of the connected peer) or the caller's
/// region as `region=`; a look-up by region returns only addresses, and may give the host of the caller's requests as `name=`.
pub fn handle(context: &Arc<Context>, incoming: &Incoming) -> Reply {
    match answer(context, incoming) {
        Ok(reply) => {
            context.metrics.lookups.inc();
            log::debug!(method = incoming.head.method.as_str(), caller:% = incoming.peer; "callers: look-up answered");
            reply
        }
        Err(kind) => refuse(context, incoming, kind),
    }
}

/// Refuses a request at an address for look-ups.
pub fn refuse(context: &Context, incoming: &Incoming, kind: Kind) -> Reply {
    let (method, result) = (incoming.head.method.as_str(), kind.as_str());
    log::info!(method, path = logged_path(&incoming.head), result; "callers: look-up refused");
    let mut reply = Reply::error(kind, &context.dialect);
    if kind == Kind::UnknownMethod {
        reply.headers.insert(ALLOW, METHODS);
    }
    reply
}

fn answer(context: &Context, incoming: &Incoming) -> Result<Reply, Kind> {
    let head = &incoming.head;
    if head.path() != PATH {
        return Err(Kind::UnknownPath);
    }
    if !matches!(head.method, Method::GET | Method::HEAD) {
        return Err(Kind::UnknownMethod);
    }
    let query = head.query();
    match query_parameter(query, "region") {
        Some(region) => {
            let host = policy::host_name(query_parameter(query, "name").unwrap_or_default());
            answer_by_region(context, region, host, incoming.peer)
        }
        None => answer_by_address(context, caller_address(query, incoming.peer)),
    }
}

/// Answers a look-up by the caller's address; `None` if the caller gave one that is malformed.
fn answer_by_address(context: &Context, address: Option<u32>) -> Result<Reply, Kind> {
    let address = address.ok_or(Kind::Malformed)?;
    let steering = context.steering();
    let active = &steering.policy;
    let limit = context.settings.callers.answer_entries as usize;
    let found = steer::answer::look_up(&active.table, &steering.view, &steering.shares, address, limit);
    let entries = found.positions().iter().filter_map(|position| steering.view.entry(*position));
    let entries: Vec<Entry<'_>> =
        entries.map(|entry| Entry { instance: &entry.name, address: &entry.address }).collect();
    if entries.is_empty() {
        return Err(Kind::NoBackend);
    }
    let region = found.region.and_then(|region| active.regions.get(usize::from(region)));
    Ok(Reply::look_up(&Answer {
        entries,
        ttl_s: context.settings.callers.answer_ttl_s,
        region: region.map_or("", String::as_str),
        revision: active.version.stored.revision,
        session: context.session(),
    }))
}

#[derive(Debug, Serialize)]
struct Addresses<'a> {
    addresses: Vec<&'a str>,
    ttl_s: u64,
}

/// Returns this instance if it leaves, still takes connections of callers and is not drained.
fn leaving(context: &Context, steering: &Steering) -> Option<Leaving> {
    let open_for = context.accepts_callers_for(context.now()).filter(|open_for| !open_for.is_zero())?;
    let (settings, policy) = (&context.settings, &steering.policy.policy);
    if policy.instance_drained(&settings.instance) || policy.domain_drained(&settings.domain) {
        return None;
    }
    Some(Leaving { position: steering.view.position(&settings.instance)?, open_for })
}

/// Answers a look-up by region: returns the addresses of entry instances for callers in `region` that send requests to `host`.
fn answer_by_region(context: &Context, region: &str, host: &str, caller: IpAddr) -> Result<Reply, Kind> {
    let steering = context.steering();
    let active = &steering.policy;
    let position = active.region_position(region);
    let homes = || -> Vec<RegionId> {
        let names = active.policy.home_regions(host);
        names.into_iter().filter_map(|name| active.region_position(name)).collect()
    };
    let limit = context.settings.callers.answer_entries as usize;
    let caller = hash::bytes(caller.to_string().as_bytes());
    let leaving = leaving(context, &steering);
    let found = by_region::look_up(&steering.view, position, homes, leaving, caller, limit);
    let named: Vec<&steer::view::Entry> = found.iter().filter_map(|place| steering.view.entry(*place)).collect();
    if let Some(position) = position.filter(|position| named.iter().all(|entry| entry.region != *position)) {
        let homes = homes();
        let in_homes = named.iter().filter(|entry| homes.contains(&entry.region)).count();
        decision_log::lookup_elsewhere(context, &steering, region, position, named.len(), in_homes);
    }
    let addresses: Vec<&str> = named.iter().map(|entry| entry.address.as_str()).collect();
    if addresses.is_empty() {
        return Err(Kind::NoBackend);
    }
    let ttl_s = context.settings.callers.answer_ttl_s;
    let names_leaving = leaving.is_some_and(|leaving| found.contains(&leaving.position));
    let ttl_s = if names_leaving { ttl_s.min(LEAVING_TTL.as_secs()) } else { ttl_s };
    Ok(Reply::look_up(&Addresses { addresses, ttl_s }))
}

/// Returns the value of the query parameter `name`.
fn query_parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let mut pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns the caller's IPv4 address: the `client` parameter, or else the peer address (0.0.0.0 for an IPv6 peer
/// without an IPv4 equivalent). `None` if the parameter is malformed.
fn caller_address(query: Option<&str>, peer: IpAddr) -> Option<u32> {
    let address = match query_parameter(query, "client") {
        Some(text) => text.parse::<Ipv4Addr>().ok()?,
        None => match peer {
            IpAddr::V4(address) => address,
            IpAddr::V6(address) => address.to_ipv4().unwrap_or(Ipv4Addr::UNSPECIFIED),
        },
    };
    Some(u32::from(address))
}
