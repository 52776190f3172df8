//! One attempt at a backend server, from the claim to the ending.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use bytes::Bytes;
use dispatch::Ending;
use dispatch::backend::BackendId;
use h1::client::{Answer, Call, Connection, Fault};
use h1::head;
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HOST, HeaderMap, HeaderValue};
use http::{Method, StatusCode};

use crate::Context;
use crate::backends::{announcement, load};
use crate::driver::Outgoing;
use crate::notes;
use crate::orders;
use crate::stall;
use crate::whole::Whole;

/// Time for a cancellation to be taken.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an acknowledgement after which a connection to a backend server is given up.
const SILENCE: Duration = Duration::from_millis(700);
/// An open connection that was idle for longer may have gone silent: an order gets a fresh one.
const ORDER_IDLE: Duration = Duration::from_secs(1);

/// An attempt as the engine decided it.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Its number.
    pub number: u64,
    /// The server.
    pub backend: BackendId,
    /// When its answer is of no use.
    pub deadline: Time,
    /// Whether the request was sent before.
    pub retry: bool,
}

/// Where an attempt goes.
struct Target {
    address: SocketAddr,
    name: String,
    /// Whether it stands in another region.
    remote: bool,
}

/// Runs an attempt to its end; the ending goes back to the driver.
pub async fn run(context: Arc<Context>, outgoing: Arc<Outgoing>, attempt: Attempt) {
    let begun = context.now();
    let (ending, whole) = ending(&context, &outgoing, attempt).await;
    let took = context.now().since(begun);
    context.metrics.attempt_time.with_label_values(&[ending.name()]).observe(took.as_secs_f64());
    let status = whole.as_ref().map_or(0, |whole| whole.status.as_u16());
    notes::ended(&outgoing, attempt.number, ending, status, took);
    context.driver.finish(&context, attempt.number, ending, whole);
}

/// Tells a backend server that an attempt's answer is not needed any more, where closing the connection does not.
pub fn cancel(context: &Arc<Context>, attempt: u64, backend: BackendId) {
    let Some(path) = context.dialect.cancel_path else { return };
    let Some(target) = target(context, backend) else { return };
    let url = format!("{path}?id={}", attempt_id(context, attempt));
    let shared = Arc::clone(context);
    context.runtime.spawn(async move {
        let call = Call {
            method: &Method::POST,
            target: &url,
            headers: &host(target.address),
            body: &Bytes::new(),
            max_answer: 0,
            room: &shared.answers,
        };
        let sent = async { Connection::open(target.address, SILENCE).await.ok()?.exchange(call, |_| true).await.ok() };
        if !matches!(tokio::time::timeout(CANCEL_TIMEOUT, sent).await, Ok(Some(_))) {
            log::debug!("dispatch: cancel skipped server={}", target.name);
        }
    });
}

async fn ending(context: &Arc<Context>, outgoing: &Arc<Outgoing>, attempt: Attempt) -> (Ending, Option<Arc<Whole>>) {
    if let Err(kind) = claim(context, outgoing, attempt.deadline).await {
        return (Ending::Withheld(kind), None);
    }
    let Some(target) = target(context, attempt.backend) else {
        return (Ending::Unreachable, None);
    };
    let limit = attempt.deadline.since(context.now());
    if limit.is_zero() {
        return (Ending::Withheld(Kind::Expired), None);
    }
    let Ok(connection) = connection(context, outgoing, attempt, target.address).await else {
        return (Ending::Unreachable, None);
    };
    stall::note(context);
    let now = context.now();
    if !context.driver.look(|engine| engine.may_send(attempt.backend, now)) {
        return (Ending::Recalled, None);
    }
    let exchange = exchange(context, outgoing, attempt, &target, connection);
    let limit = attempt.deadline.since(context.now());
    match tokio::time::timeout(limit, exchange).await {
        Ok(Ok(answer)) => judge(context, attempt, answer),
        Ok(Err(fault)) => {
            context.pool.clear(attempt.backend);
            (failed(fault), None)
        }
        Err(_) => (Ending::Timeout, None),
    }
}

/// Makes sure that an order may be sent; the store is asked on a thread of its own.
async fn claim(context: &Arc<Context>, outgoing: &Arc<Outgoing>, deadline: Time) -> Result<(), Kind> {
    if outgoing.order.is_none() {
        return Ok(());
    }
    let (context, outgoing) = (Arc::clone(context), Arc::clone(outgoing));
    let runtime = context.runtime.clone();
    let claim = runtime.spawn_blocking(move || match &outgoing.order {
        Some(order) => orders::claim(&context, order, deadline),
        None => Ok(()),
    });
    claim.await.unwrap_or(Err(Kind::Internal))
}

async fn connection(
    context: &Context,
    outgoing: &Outgoing,
    attempt: Attempt,
    address: SocketAddr,
) -> std::io::Result<Connection> {
    let now = context.now();
    let most = if outgoing.idempotent { Duration::MAX } else { ORDER_IDLE };
    let fresh = attempt.retry || alone(context, outgoing);
    let open = if fresh { None } else { context.pool.take(attempt.backend, most, now) };
    if let Some(open) = open {
        return Ok(open);
    }
    context.metrics.connects.inc();
    let connect = Duration::from_millis(context.settings.dispatch.connect_ms);
    let limit = connect.min(attempt.deadline.since(now));
    tokio::time::timeout(limit, Connection::open(address, SILENCE)).await?
}

/// Sends the request and reads its answer; a connection that can be used again goes back to the pool.
async fn exchange(
    context: &Context,
    outgoing: &Outgoing,
    attempt: Attempt,
    target: &Target,
    mut connection: Connection,
) -> Result<Answer, Fault> {
    let dialect = &context.dialect;
    let headers = headers(context, outgoing, attempt, target);
    let id = headers.get(&dialect.request_id).cloned();
    // On a connection that was used before, a success without an id may be a late copy of an earlier one.
    let used = connection.used();
    let ours = |head: &head::Response| match head.headers.get(&dialect.request_id) {
        _ if !dialect.callers_id => true,
        None => !(used && head.status.is_success()),
        echoed => echoed == id.as_ref(),
    };
    let call = Call {
        method: &outgoing.method,
        target: &outgoing.target,
        headers: &headers,
        body: &outgoing.body,
        max_answer: context.settings.dispatch.max_answer_bytes as usize,
        room: &context.answers,
    };
    note_bytes(context, target, "sent", outgoing.body.len());
    let answer = connection.exchange(call, ours).await?;
    note_bytes(context, target, "received", answer.body.len());
    let named = !dialect.callers_id || answer.headers.contains_key(&dialect.request_id);
    if answer.reusable && (named || !answer.status.is_success()) {
        context.pool.put(attempt.backend, connection, answer.idle_limit(), context.now());
    }
    Ok(answer)
}

/// Counts bytes of bodies that cross regions.
fn note_bytes(context: &Context, target: &Target, direction: &str, bytes: usize) {
    if target.remote {
        context.metrics.remote_bytes.with_label_values(&[direction]).inc_by(bytes as u64);
    }
}

/// What an answer means, and the answer if it is for the caller.
fn judge(context: &Arc<Context>, attempt: Attempt, answer: Answer) -> (Ending, Option<Arc<Whole>>) {
    let dialect = &context.dialect;
    load::record(context, attempt.backend, &answer.headers);
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        context.pool.clear(attempt.backend);
        return (Ending::Unreachable, None);
    }
    announcement::apply(context, attempt.backend, answer.status, &answer.headers);
    if dialect.says_not_run(&answer.headers) {
        return (Ending::Shed, None);
    }
    if dialect.cancel_path.is_some() && answer.status.as_u16() == 499 {
        return (Ending::Cancelled, None);
    }
    let signed = dialect.signature.as_ref().is_none_or(|name| answer.headers.contains_key(name));
    let framed = dialect.until_close || answer.framed;
    if !framed || (answer.status.is_success() && (!signed || answer.headers.contains_key(CONTENT_ENCODING))) {
        return (Ending::Cut, None);
    }
    let whole = whole(context, answer);
    (Ending::Answered(whole.bytes()), Some(Arc::new(whole)))
}

fn whole(context: &Context, answer: Answer) -> Whole {
    let mut headers = HeaderMap::with_capacity(answer.headers.len());
    let inner = [&context.dialect.load, &context.dialect.cold_ms];
    let kept = |name: &http::HeaderName| {
        *name != CONTENT_LENGTH && !head::is_hop(name.as_str()) && !inner.contains(&&Some(name.clone()))
    };
    for (name, value) in answer.headers.iter().filter(|(name, _)| kept(name)) {
        headers.append(name, value.clone());
    }
    Whole { status: answer.status, headers, body: answer.body }
}

const fn failed(fault: Fault) -> Ending {
    match fault {
        Fault::Unsent => Ending::Unreachable,
        Fault::Lost => Ending::Lost,
        Fault::Cut | Fault::Malformed | Fault::Endless => Ending::Cut,
        Fault::TooLarge => Ending::TooLarge,
    }
}

fn headers(context: &Context, outgoing: &Outgoing, attempt: Attempt, target: &Target) -> HeaderMap {
    let dialect = &context.dialect;
    let mut headers = outgoing.headers.clone();
    if !headers.contains_key(HOST) {
        headers.extend(host(target.address));
    }
    if !dialect.callers_id {
        insert(&mut headers, &dialect.request_id, &attempt_id(context, attempt.number));
    }
    let left = attempt.deadline.since(context.now()).as_millis().max(1);
    insert(&mut headers, &dialect.deadline_ms, &left.to_string());
    if let Some(server) = &dialect.server {
        insert(&mut headers, server, &target.name);
    }
    if alone(context, outgoing) || (dialect.alone && attempt.retry) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    headers
}

/// Whether the request gets a connection that serves nothing else.
fn alone(context: &Context, outgoing: &Outgoing) -> bool {
    context.dialect.alone && !outgoing.idempotent
}

fn insert(headers: &mut HeaderMap, name: &http::HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(_) => log::warn!("dispatch: header left out name={name} value={value:?}"),
    }
}

fn host(address: SocketAddr) -> HeaderMap {
    let mut headers = HeaderMap::new();
    insert(&mut headers, &HOST, &address.to_string());
    headers
}

fn target(context: &Context, backend: BackendId) -> Option<Target> {
    let steering = context.steering();
    let instance = steering.backends.get(&backend)?;
    let Ok(address) = instance.address.parse() else {
        log::warn!("dispatch: server without a usable address name={} address={}", instance.name, instance.address);
        return None;
    };
    let remote = instance.region != context.settings.region;
    Some(Target { address, name: instance.name.clone(), remote })
}

fn attempt_id(context: &Context, attempt: u64) -> String {
    format!("{:016x}-{attempt}", context.incarnation)
}
