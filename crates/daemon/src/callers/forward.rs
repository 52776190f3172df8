//! Requests: reading them whole, dispatch, and the answer.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::error::Kind;
use base::hash;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use ledger::table::Step;

use super::reply::{self, Reply};
use crate::Context;
use crate::backends::http::hop_header;
use crate::context::lock;
use crate::driver::{Outcome, Outgoing};
use crate::orders::{self, Order};

/// Names an order; repeated on each re-send of it.
const KEY: &str = "idempotency-key";
/// Names the session that a key belongs to; repeated with the key.
const SESSION: &str = "idempotency-session";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Answers a request for a class of work.
pub async fn answer(context: &Arc<Context>, request: Request<Incoming>) -> Reply {
    let start = context.now();
    let (class, outcome) = run(context, request).await;
    let result = match &outcome {
        Ok(_) => "ok",
        Err(kind) => kind.as_str(),
    };
    let Some(class) = class else {
        return outcome.map_or_else(reply::error, |whole| reply::whole(&whole));
    };
    let now = context.now();
    let latency = now.since(start);
    context.metrics.requests.with_label_values(&[&class, result]).inc();
    context.metrics.latency.with_label_values(&[&class]).observe(latency.as_secs_f64());
    note_burn(context, &class, &outcome, latency);
    log::debug!("callers: answered class={class} result={result} ms={}", latency.as_millis());
    outcome.map_or_else(reply::error, |whole| reply::whole(&whole))
}

/// The class of a request, if it has one, and what became of it.
async fn run(context: &Arc<Context>, request: Request<Incoming>) -> (Option<String>, Outcome) {
    let in_force = context.policy();
    let path = request.uri().path().to_owned();
    let Some((name, class)) = in_force.policy.class_of(&path) else {
        return (None, Err(Kind::UnknownRoute));
    };
    let name = name.to_owned();
    let (parts, body) = request.into_parts();
    let Some(position) = in_force.class(&name) else {
        return (None, Err(Kind::UnknownRoute));
    };
    let outcome = match read(context, &parts, body).await {
        Ok(body) => dispatch(context, position, class.idempotent, &parts, body).await,
        Err(kind) => Err(kind),
    };
    (Some(name), outcome)
}

/// Reads the body whole, within the limits; framing that can be read in two ways is refused.
async fn read(context: &Context, parts: &Parts, body: Incoming) -> Result<Bytes, Kind> {
    let headers = &parts.headers;
    if headers.contains_key(TRANSFER_ENCODING) {
        let both = headers.contains_key(CONTENT_LENGTH);
        return Err(if both { Kind::AmbiguousFraming } else { Kind::LengthRequired });
    }
    if headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        return Err(Kind::AmbiguousFraming);
    }
    let settings = &context.settings.callers;
    let limit = settings.max_body_bytes;
    let declared = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if declared.unwrap_or(0) > limit {
        return Err(Kind::BodyTooLarge);
    }
    let read = Limited::new(body, limit as usize).collect();
    let timeout = Duration::from_millis(settings.body_timeout_ms);
    match tokio::time::timeout(timeout, read).await {
        Err(_) => Err(Kind::SlowSender),
        Ok(Err(_)) => Err(Kind::Malformed),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
    }
}

async fn dispatch(context: &Arc<Context>, class: usize, idempotent: bool, parts: &Parts, body: Bytes) -> Outcome {
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let fingerprint = fingerprint(parts.method.as_str(), &target, &body);
    let order = if idempotent { None } else { Some(order(context, parts, fingerprint)?) };
    if let Some(order) = &order {
        match orders::begin(context, order) {
            Step::Claim | Step::Run => {}
            Step::Replay(whole) => {
                context.metrics.replays.inc();
                return Ok(whole);
            }
            Step::Refuse(kind) => return Err(kind),
        }
    }
    let outgoing = Arc::new(Outgoing {
        number: context.driver.number(),
        method: parts.method.to_string(),
        target,
        headers: headers(parts),
        body,
        idempotent,
        order,
    });
    if outgoing.order.is_some() {
        return run_order(context, outgoing, class, fingerprint).await;
    }
    let mut guard = Guard { context: Arc::clone(context), request: Some(outgoing.number) };
    let outcome = context.driver.submit(context, outgoing, class, fingerprint).await;
    guard.request = None;
    outcome.unwrap_or(Err(Kind::Internal))
}

/// Runs an order to its end, also when its caller goes away: the answer is kept for the re-send.
async fn run_order(context: &Arc<Context>, outgoing: Arc<Outgoing>, class: usize, fingerprint: u64) -> Outcome {
    let shared = Arc::clone(context);
    let task = context.runtime.spawn(async move {
        let outcome = shared.driver.submit(&shared, Arc::clone(&outgoing), class, fingerprint).await;
        let outcome = outcome.unwrap_or(Err(Kind::Internal));
        let Some(order) = &outgoing.order else { return outcome };
        orders::withdraw(&shared, order);
        orders::end(&shared, order, outcome)
    });
    task.await.unwrap_or(Err(Kind::Internal))
}

/// Abandons a request whose caller went away.
struct Guard {
    context: Arc<Context>,
    request: Option<u64>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.context.driver.abandon(&self.context, request);
        }
    }
}

fn order(context: &Context, parts: &Parts, fingerprint: u64) -> Result<Order, Kind> {
    let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let key = text(KEY).filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES).ok_or(Kind::KeyMissing)?;
    let session = text(SESSION);
    if session.is_some_and(|session| session != context.session()) {
        // Only the incarnation that the session belongs to knows whether the key ran.
        return Err(Kind::AlreadyClaimed);
    }
    Ok(Order {
        key: orders::key_hash(session, key),
        fingerprint,
        session: session.is_some(),
        revision: Mutex::new(None),
        earlier: Mutex::new(None),
    })
}

fn fingerprint(method: &str, target: &str, body: &[u8]) -> u64 {
    hash::pair(hash::bytes(format!("{method} {target}").as_bytes()), hash::bytes(body))
}

/// Headers that concern the backend server.
fn headers(parts: &Parts) -> Vec<(String, String)> {
    let passed = parts.headers.iter().filter(|(name, _)| {
        **name != CONTENT_LENGTH && **name != HOST && !hop_header(name.as_str()) && name.as_str() != "x-request-id"
    });
    passed.filter_map(|(name, value)| Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))).collect()
}

/// Counts an answer against its class's target; errors of the caller do not count.
fn note_burn(context: &Context, class: &str, outcome: &Outcome, latency: Duration) {
    let in_force = context.policy();
    let Some(target) = in_force.policy.classes.get(class) else {
        return;
    };
    let own_fault = match outcome {
        Ok(whole) => whole.status >= 500,
        Err(kind) => kind.answer().status >= 500 || *kind == Kind::AlreadyClaimed,
    };
    if outcome.is_err() && !own_fault {
        return;
    }
    let good = !own_fault && latency <= Duration::from_millis(target.target_ms);
    let now = context.now();
    lock(&context.burn).entry(class.to_owned()).or_default().note(good, now);
}
