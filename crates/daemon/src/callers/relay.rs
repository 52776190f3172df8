//! Passes requests on to another entry instance while this one reaches no backend server itself.
//!
//! The other instance dispatches the request as one of its own callers' and its answer goes back unchanged, so what it
//! says about whether the request ran holds. It passes the request on no further.
//!
//! Load pattern: a whole failure domain loses its links at the same moment, and it takes seconds until all instances know
//! of each other that they reach no server. An instance that refuses a request, which then did not run, is therefore not
//! the last that is tried, and the next one is in another failure domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::error::Kind;
use base::hash;
use base::time::Time;
use dispatch::backend::BackendId;
use h1::client::{Answer, Connection, Fault};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use steer::view::Standing;

use crate::Context;
use crate::backends::attempt::{self, UNACKED_TIMEOUT};
use crate::driver::{Outcome, Outgoing};

/// Marks a request that another entry instance has passed on.
pub const MARK: HeaderName = HeaderName::from_static("hemlock-relayed");
/// Marks the refusal of a request that was passed on: it did not run and never will, so another instance may get it. Earlier
/// builds do not send it, and pass it on to their caller.
pub const NOT_RUN: HeaderName = HeaderName::from_static("hemlock-not-run");
/// Maximum idle time of a pooled connection to another instance: one that is about to be closed could lose the request.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// How much earlier the other instance gives up, so that what it says still arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// Another entry instance.
#[derive(Debug, Clone)]
struct Peer {
    name: String,
    address: SocketAddr,
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

/// Passes a request on; `regions` may run it, or all if there are none, and it is given up at `deadline`.
pub async fn send(context: &Arc<Context>, outgoing: &Outgoing, regions: &[String], deadline: Time) -> Outcome {
    let mut refusal = None;
    for peer in choose_peers(context, regions) {
        let left = deadline.since(context.now());
        if left.is_zero() {
            break;
        }
        let started = context.now();
        let result = match tokio::time::timeout(left, exchange(context, outgoing, &peer, deadline)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Answer(Kind::BackendTimeout)),
        };
        let (label, status) = match &result {
            Ok(answer) if is_refusal(context, answer) => ("refused", answer.status.as_u16()),
            Ok(answer) => ("answered", answer.status.as_u16()),
            Err(Failure::Unsent) => ("unsent", 0),
            Err(Failure::Answer(kind)) => (kind.as_str(), 0),
        };
        let ms = context.now().since(started).as_millis();
        context.metrics.relayed.with_label_values(&[label]).inc();
        log::info!(
            "relay: passed on request={} peer={} result={label} status={status} ms={ms}",
            outgoing.id,
            peer.name
        );
        match result {
            Ok(answer) if is_refusal(context, &answer) => {
                refusal = Some(Arc::new(attempt::to_response(context, answer)));
            }
            Ok(answer) => return Ok(Arc::new(attempt::to_response(context, answer))),
            Err(Failure::Answer(kind)) => return Err(kind.into()),
            Err(Failure::Unsent) => {}
        }
    }
    // What the last one said, as it names the time after which the caller may come back.
    refusal.ok_or_else(|| Kind::Unreachable.into())
}

/// Whether an answer is the word of the other instance that it did not run the request, rather than a backend server's.
fn is_refusal(context: &Context, answer: &Answer) -> bool {
    let is_signed = context.dialect.signature.as_ref().is_some_and(|name| answer.headers.contains_key(name));
    !is_signed && answer.headers.contains_key(&NOT_RUN)
}

/// Why an instance gave no answer.
enum Failure {
    /// No byte of the request was sent, so another instance may get it.
    Unsent,
    /// The request may have run, and the caller is answered with an error of this kind.
    Answer(Kind),
}

impl From<Fault> for Failure {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Unsent => Self::Unsent,
            Fault::Lost => Self::Answer(Kind::BackendLost),
            Fault::Cut | Fault::Malformed | Fault::LimitExceeded => Self::Answer(Kind::AnswerCut),
            Fault::TooLarge => Self::Answer(Kind::AnswerTooLarge),
        }
    }
}

/// Returns the instances to try, random ones: one of this failure domain, one of another of this region, and one of another
/// region. Instances that reach no server themselves, that are leaving or that may be dead are not among them.
fn choose_peers(context: &Context, regions: &[String]) -> Vec<Peer> {
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
        let Ok(address) = entry.address.parse() else { continue };
        nearest.entry(distance).or_default().push(Peer { name: entry.name.clone(), address });
    }
    nearest.into_values().filter_map(fastrand::choice).collect()
}

/// Sends the request to `peer` and reads its answer. A reusable connection is returned to the pool.
async fn exchange(context: &Context, outgoing: &Outgoing, peer: &Peer, deadline: Time) -> Result<Answer, Failure> {
    let id = hash::bytes(peer.address.to_string().as_bytes()) as BackendId;
    let mut connection = connect(context, id, peer.address).await?;
    let headers = headers(context, outgoing, deadline);
    let request_id = headers.get(&context.dialect.request_id).cloned();
    let is_ours = |head: &h1::head::Response| {
        let echoed = head.headers.get(&context.dialect.request_id);
        !context.dialect.caller_sets_id || echoed.is_none() || echoed == request_id.as_ref()
    };
    let answer = connection.exchange(outgoing.call(context, &headers), is_ours).await?;
    if !answer.framed {
        return Err(Failure::Answer(Kind::AnswerCut));
    }
    if answer.reusable {
        context.peer_pool.put(id, connection, answer.keep_alive_timeout(), context.now());
    }
    Ok(answer)
}

async fn connect(context: &Context, id: BackendId, address: SocketAddr) -> Result<Connection, Failure> {
    if let Some(pooled) = context.peer_pool.take(id, MAX_IDLE, context.now()) {
        return Ok(pooled);
    }
    let limit = Duration::from_millis(context.settings.dispatch.connect_ms);
    match tokio::time::timeout(limit, Connection::open(address, UNACKED_TIMEOUT)).await {
        Ok(Ok(connection)) => Ok(connection),
        _ => Err(Failure::Unsent),
    }
}

/// Returns the caller's headers with the time that is left and the mark.
fn headers(context: &Context, outgoing: &Outgoing, deadline: Time) -> HeaderMap {
    let mut headers = outgoing.headers.clone();
    let left = deadline.since(context.now()).saturating_sub(ANSWER_MARGIN);
    let left_ms = left.as_millis().max(1) as u64;
    headers.insert(&context.dialect.deadline_ms, HeaderValue::from(left_ms));
    headers.insert(MARK, HeaderValue::from_static("1"));
    headers
}
