//! One attempt to run a request on a backend server: claim, connection, exchange, and how the attempt ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use dispatch::Ending;
use dispatch::backend::BackendId;
use h1::client::{Answer, Call, Connection, Fault};
use h1::{Payload, head};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};

use crate::Context;
use crate::at_most_once;
use crate::backends::{announcement, load, reach};
use crate::decision_log;
use crate::driver::Outgoing;
use crate::response::{self, Response};
use crate::stall;

/// Timeout of a cancellation request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which data sent to a backend server may stay unacknowledged before the connection is dropped.
pub const UNACKED_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum idle time of a pooled connection that is used for a non-idempotent request. After a longer time the
/// connection may be dead without a sign of it, so such a request gets a new one.
const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_secs(1);

/// An attempt that the dispatch engine decided on.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The number of the attempt, unique in this incarnation.
    pub number: u64,
    /// The backend server that the request is sent to.
    pub backend: BackendId,
    /// When the answer is no longer useful.
    pub deadline: Time,
    /// Whether the request was sent before, in an earlier attempt.
    pub retry: bool,
}

/// The server that an attempt is sent to.
struct Target {
    address: SocketAddr,
    name: String,
    /// Its name as a header that makes any other server refuse the request, if the dialect has one.
    header: Option<(HeaderName, HeaderValue)>,
    /// Its failure domain.
    domain: String,
    /// Whether the server is in another region than this daemon.
    remote: bool,
}

/// Runs an attempt to its end and passes the result to the driver.
pub async fn run(context: Arc<Context>, outgoing: Arc<Outgoing>, attempt: Attempt) {
    let started = context.now();
    let (ending, response) = execute(&context, &outgoing, attempt).await;
    let elapsed = context.now().since(started);
    context.metrics.attempt_time.with_label_values(&[ending.name()]).observe(elapsed.as_secs_f64());
    let status = response.as_ref().map_or(0, |response| response.status.as_u16());
    decision_log::attempt_ended(&outgoing, attempt.number, ending, status, elapsed);
    context.driver.finish(&context, attempt.number, ending, response);
}

/// Sends a backend server a request to cancel an attempt, if the dialect has one. In other dialects closing the
/// connection cancels it.
pub fn cancel(context: &Arc<Context>, attempt: u64, backend: BackendId) {
    let Some(path) = context.dialect.cancel_path else { return };
    let Some(target) = resolve_target(context, backend) else { return };
    let url = format!("{path}?id={}", attempt_id(context, attempt));
    let shared = Arc::clone(context);
    context.runtime.spawn(async move {
        let call = Call {
            method: &Method::POST,
            target: &url,
            headers: &host_header(target.address),
            body: &Payload::default(),
            max_answer_bytes: 0,
            budget: &shared.answer_memory,
        };
        let sent =
            async { Connection::open(target.address, UNACKED_TIMEOUT).await.ok()?.exchange(call, |_| true).await.ok() };
        if !matches!(tokio::time::timeout(CANCEL_TIMEOUT, sent).await, Ok(Some(_))) {
            log::debug!("dispatch: cancel not confirmed server={}", target.name);
        }
    });
}

/// Runs the steps of an attempt. Returns how it ended, and the response if the caller gets it.
async fn execute(
    context: &Arc<Context>,
    outgoing: &Arc<Outgoing>,
    attempt: Attempt,
) -> (Ending, Option<Arc<Response>>) {
    if let Err(kind) = claim(context, outgoing, attempt.deadline).await {
        return (Ending::Withheld(kind), None);
    }
    let Some(target) = resolve_target(context, attempt.backend) else {
        return (Ending::Unreachable, None);
    };
    let limit = attempt.deadline.since(context.now());
    if limit.is_zero() {
        return (Ending::Withheld(Kind::Expired), None);
    }
    let Ok(connection) = acquire_connection(context, outgoing, attempt, target.address).await else {
        context.metrics.backend_connects_failed.with_label_values(&[&target.domain]).inc();
        reach::record_failure(context, attempt.backend);
        return (Ending::Unreachable, None);
    };
    stall::check(context);
    let now = context.now();
    if !context.driver.may_send(context, attempt.number, attempt.backend, now) {
        return (Ending::Recalled, None);
    }
    let exchange = exchange(context, outgoing, attempt, &target, connection);
    let limit = attempt.deadline.since(context.now());
    match tokio::time::timeout(limit, exchange).await {
        Ok(Ok(answer)) => classify_answer(context, outgoing, attempt, answer),
        Ok(Err(fault)) => {
            context.pool.clear(attempt.backend);
            let ending = ending_of(fault);
            if matches!(ending, Ending::Unreachable | Ending::Lost) {
                reach::record_failure(context, attempt.backend);
            }
            (ending, None)
        }
        Err(_) => (Ending::Timeout, None),
    }
}

/// Ensures that this daemon holds the claim of a keyed request before the request is sent. The calls to the store run
/// on a blocking thread.
async fn claim(context: &Arc<Context>, outgoing: &Arc<Outgoing>, deadline: Time) -> Result<(), Kind> {
    if outgoing.keyed.is_none() {
        return Ok(());
    }
    let (context, outgoing) = (Arc::clone(context), Arc::clone(outgoing));
    let runtime = context.runtime.clone();
    let claim = runtime.spawn_blocking(move || match &outgoing.keyed {
        Some(keyed) => at_most_once::claim(&context, keyed, deadline),
        None => Ok(()),
    });
    claim.await.unwrap_or(Err(Kind::Internal))
}

/// Takes a connection to the server from the pool, or opens a new one if none is usable.
async fn acquire_connection(
    context: &Context,
    outgoing: &Outgoing,
    attempt: Attempt,
    address: SocketAddr,
) -> std::io::Result<Connection> {
    let now = context.now();
    let max_idle = if outgoing.idempotent { Duration::MAX } else { NON_IDEMPOTENT_MAX_IDLE };
    let needs_new = attempt.retry || needs_own_connection(context, outgoing);
    let pooled = if needs_new { None } else { context.pool.take(attempt.backend, max_idle, now) };
    if let Some(pooled) = pooled {
        return Ok(pooled);
    }
    context.metrics.backend_connects.inc();
    let connect_timeout = Duration::from_millis(context.settings.dispatch.connect_ms);
    let limit = connect_timeout.min(attempt.deadline.since(now));
    let connection = tokio::time::timeout(limit, Connection::open(address, UNACKED_TIMEOUT)).await??;
    context.reach.record_connected();
    Ok(connection)
}

/// Sends the request and reads its answer. A reusable connection is returned to the pool.
async fn exchange(
    context: &Context,
    outgoing: &Outgoing,
    attempt: Attempt,
    target: &Target,
    mut connection: Connection,
) -> Result<Answer, Fault> {
    let dialect = &context.dialect;
    let headers = request_headers(context, outgoing, attempt, target);
    let id = headers.get(&dialect.request_id).cloned();
    // On a reused connection, an answer without an id may be a late duplicate of the answer to an earlier request. A
    // refusal of that request says nothing about this one.
    let used = connection.used();
    let matches_id = |head: &head::Response| match head.headers.get(&dialect.request_id) {
        _ if !dialect.caller_sets_id => true,
        None => !used || id.is_none(),
        echoed => echoed == id.as_ref(),
    };
    record_remote_bytes(context, target, "sent", outgoing.body.len());
    let answer = connection.exchange(outgoing.call(context, &headers), matches_id).await?;
    record_remote_bytes(context, target, "received", answer.body.len());
    let identified = !dialect.caller_sets_id || answer.headers.contains_key(&dialect.request_id);
    if answer.reusable && identified {
        context.pool.put(attempt.backend, connection, answer.keep_alive_timeout(), context.now());
    }
    Ok(answer)
}

/// Counts body bytes that are exchanged with servers in other regions.
fn record_remote_bytes(context: &Context, target: &Target, direction: &str, bytes: usize) {
    if target.remote {
        context.metrics.remote_bytes.with_label_values(&[direction]).inc_by(bytes as u64);
    }
}

/// Records the load and announcements in an answer. Returns how the attempt ended, and the response if the caller gets
/// it.
///
/// A misdirected request (status 421) reached another server than it was meant for, so its server counts as
/// unreachable. An answer counts as cut if the dialect requires framing that it lacks, or if it is not proven to be the
/// server's whole answer.
fn classify_answer(
    context: &Arc<Context>,
    outgoing: &Outgoing,
    attempt: Attempt,
    answer: Answer,
) -> (Ending, Option<Arc<Response>>) {
    let dialect = &context.dialect;
    load::record(context, attempt.backend, &answer.headers);
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        decision_log::misdirected(context, outgoing, attempt);
        context.pool.clear(attempt.backend);
        return (Ending::Unreachable, None);
    }
    announcement::apply(context, attempt, answer.status, &answer.headers);
    if dialect.is_not_run(&answer.headers) {
        return (Ending::Shed, None);
    }
    if dialect.cancel_path.is_some() && answer.status.as_u16() == 499 {
        return (Ending::Cancelled, None);
    }
    let framed = dialect.body_until_close || answer.framed;
    if !framed || !response::is_proven(dialect, answer.status, &answer.headers) {
        return (Ending::Cut, None);
    }
    let response = to_response(context, answer);
    (Ending::Answered(response.bytes()), Some(Arc::new(response)))
}

/// Converts an answer into a response for the caller, without headers that frame the body, apply to one hop or are
/// addressed to the daemon.
pub fn to_response(context: &Context, answer: Answer) -> Response {
    let mut headers = HeaderMap::with_capacity(answer.headers.len());
    let internal = [&context.dialect.load, &context.dialect.cold_ms];
    let is_relayed = |name: &HeaderName| {
        *name != CONTENT_LENGTH && !head::is_hop_by_hop(name.as_str()) && !internal.contains(&&Some(name.clone()))
    };
    for (name, value) in answer.headers.iter().filter(|(name, _)| is_relayed(name)) {
        headers.append(name, value.clone());
    }
    Response { status: answer.status, headers, body: answer.body }
}

/// Returns the ending of an attempt whose exchange failed with `fault`.
const fn ending_of(fault: Fault) -> Ending {
    match fault {
        Fault::Unsent => Ending::Unreachable,
        Fault::Lost => Ending::Lost,
        Fault::Cut | Fault::Malformed | Fault::LimitExceeded => Ending::Cut,
        Fault::TooLarge => Ending::TooLarge,
    }
}

/// Returns the headers of a request as sent to `target`: those forwarded from the caller and those of the dialect.
fn request_headers(context: &Context, outgoing: &Outgoing, attempt: Attempt, target: &Target) -> HeaderMap {
    let dialect = &context.dialect;
    let mut headers = outgoing.headers.clone();
    if !headers.contains_key(HOST) {
        headers.extend(host_header(target.address));
    }
    if !dialect.caller_sets_id {
        insert_header(&mut headers, &dialect.request_id, &attempt_id(context, attempt.number));
    }
    let remaining_ms = attempt.deadline.since(context.now()).as_millis().max(1);
    insert_header(&mut headers, &dialect.deadline_ms, &remaining_ms.to_string());
    if let Some((name, value)) = &target.header {
        headers.insert(name, value.clone());
    }
    if needs_own_connection(context, outgoing) || (dialect.dedicated_connections && attempt.retry) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    headers
}

/// Whether the request needs a connection that carries no other request.
fn needs_own_connection(context: &Context, outgoing: &Outgoing) -> bool {
    context.dialect.dedicated_connections && !outgoing.idempotent
}

/// Sets a header; a value that is not valid in HTTP is left out and logged.
fn insert_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(_) => log::warn!("dispatch: header left out, not valid in HTTP name={name} value={value:?}"),
    }
}

fn host_header(address: SocketAddr) -> HeaderMap {
    let mut headers = HeaderMap::new();
    insert_header(&mut headers, &HOST, &address.to_string());
    headers
}

/// Returns the address of a backend server; `None` if the server was removed, or its address or its name is not usable.
fn resolve_target(context: &Context, backend: BackendId) -> Option<Target> {
    let steering = context.steering();
    let instance = steering.backends.get(&backend)?;
    let Ok(address) = instance.address.parse() else {
        log::warn!("dispatch: server without a usable address name={} address={}", instance.name, instance.address);
        return None;
    };
    // Without the header, another server that has taken over the address would run the request.
    let header =
        context.dialect.server.clone().map(|name| HeaderValue::from_str(&instance.name).map(|value| (name, value)));
    let Ok(header) = header.transpose() else {
        log::warn!("dispatch: server whose name cannot be a header name={:?}", instance.name);
        return None;
    };
    let remote = instance.region != context.settings.region;
    Some(Target { address, name: instance.name.clone(), header, domain: instance.domain.clone(), remote })
}

/// Returns the id of an attempt on the wire, unique over all incarnations.
fn attempt_id(context: &Context, attempt: u64) -> String {
    format!("{:016x}-{attempt}", context.incarnation)
}
