//! Passes requests on to another entry instance while this one reaches no backend server itself.
//!
//! The other instance dispatches the request as one of its own callers' and its answer goes back unchanged, so what it
//! says about whether the request ran holds. A request is passed on once at most.

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
/// Number of instances that are tried, as long as nothing of the request was sent.
const MAX_INSTANCES: usize = 2;
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

/// Passes a request on; `regions` may run it, or all if there are none, and it is given up at `deadline`.
pub async fn send(context: &Arc<Context>, outgoing: &Outgoing, regions: &[String], deadline: Time) -> Outcome {
    for peer in choose_peers(context, regions) {
        let left = deadline.since(context.now());
        if left.is_zero() {
            return Err(Kind::Expired.into());
        }
        let started = context.now();
        let result = match tokio::time::timeout(left, exchange(context, outgoing, &peer, deadline)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Answer(Kind::BackendTimeout)),
        };
        let (label, status) = match &result {
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
            Ok(answer) => return Ok(Arc::new(attempt::to_response(context, answer))),
            Err(Failure::Answer(kind)) => return Err(kind.into()),
            Err(Failure::Unsent) => {}
        }
    }
    Err(Kind::Unreachable.into())
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

/// Returns the instances to try: random ones of this failure domain, then of this region, then any. Instances that reach
/// no server themselves, that are leaving or that may be dead are not among them.
fn choose_peers(context: &Context, regions: &[String]) -> Vec<Peer> {
    let (steering, active) = (context.steering(), context.policy());
    let settings = &context.settings;
    let own_region = active.region_position(&settings.region);
    let own_domain = steering.view.entries().iter().find(|entry| entry.name == settings.instance);
    let own_domain = own_domain.map(|entry| entry.domain);
    let allowed: Vec<Option<u16>> = regions.iter().map(|name| active.region_position(name)).collect();
    let usable = steering.view.entries().iter().filter(|entry| {
        let in_allowed = allowed.is_empty() || allowed.contains(&Some(entry.region));
        entry.standing == Standing::Good && entry.name != settings.instance && in_allowed
    });
    let mut ranked: Vec<_> = usable.collect();
    // Bytes over links to other regions are limited; without that limit, they are the last resort.
    ranked.retain(|entry| settings.dispatch.open_links || Some(entry.region) == own_region);
    fastrand::shuffle(&mut ranked);
    ranked.sort_by_key(|entry| (Some(entry.region) != own_region, Some(entry.domain) != own_domain));
    let peer =
        |entry: &steer::view::Entry| Some(Peer { name: entry.name.clone(), address: entry.address.parse().ok()? });
    ranked.into_iter().filter_map(peer).take(MAX_INSTANCES).collect()
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
