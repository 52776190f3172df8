//! Passes requests on to another entry instance while this one reaches no backend server itself.
//!
//! The other instance dispatches the request as one of its own callers', at an address that only instances use, so nothing
//! in a caller's request makes it one that was passed on. Its reply says what became of the request ([`Disposition`]). It passes
//! the request on no further.
//!
//! Load pattern: a whole failure domain loses its links at the same moment, and it takes seconds until all instances know
//! of each other that they reach no server. An instance that refuses a request, which then did not run, is therefore not
//! the last that is tried, and the next one is in another failure domain.

pub mod disposition;
mod peer;
pub mod regions;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::error::Kind;
use base::hash;
use base::time::Time;
use config::policy::Allowed;
use dispatch::backend::BackendId;
use h1::client::{Answer, Connection, Fault};
use http::StatusCode;
use http::header::{HeaderMap, HeaderName, HeaderValue, PROXY_AUTHORIZATION, RETRY_AFTER};

use self::disposition::Disposition;
use self::peer::{Distance, Interface, Peer};
use crate::Context;
use crate::backends::attempt::{self, UNACKED_TIMEOUT};
use crate::driver::{Outcome, Outdated, Outgoing, Refusal};
use crate::policies::ActivePolicy;
use crate::{confirmation, decision_log, response, stall};

/// Marks a request that is passed on to an instance of a build up to 4e2e901.
const EARLIER_MARK: HeaderName = HeaderName::from_static("hemlock-relayed");
/// Marks such an instance's refusal: the request did not run. Builds before 4e2e901 do not send it.
const EARLIER_NOT_RUN: HeaderName = HeaderName::from_static("hemlock-not-run");
/// Maximum idle time of a pooled connection to another instance: one that is about to be closed could lose the request.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// How much earlier the other instance gives up, so that what it says still arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// What an instance that gets a request passed on must keep to.
#[derive(Debug)]
pub struct Passage<'a> {
    /// Regions that may run the request.
    pub allowed: &'a Allowed,
    /// Value of `Proxy-Authorization` that names the request's client account; `None` if it has none.
    pub account: Option<HeaderValue>,
    /// When the request is given up.
    pub deadline: Time,
}

/// Passes on a request that was matched with the policy `active`, to one instance after the other until one may have run it. An
/// instance may take until the deadline to refuse it, so each is chosen by what is known then; an error if another policy is in
/// force by then, since the request may have to run elsewhere.
pub async fn send(
    context: &Arc<Context>,
    active: &Arc<ActivePolicy>,
    outgoing: &Outgoing,
    passage: &Passage<'_>,
) -> Result<Outcome, Outdated> {
    let mut retry_after = None;
    let mut tried: BTreeSet<Distance> = BTreeSet::new();
    loop {
        stall::settled(context).await;
        // Asked first, so that the age is that of this policy.
        let may_rely = confirmation::may_rely_on(context, passage.allowed);
        if !context.is_in_force(active) {
            return Err(Outdated);
        }
        if !may_rely {
            return Ok(Err(Refusal { kind: Kind::PolicyStale, retry_after }));
        }
        let left = passage.deadline.since(context.now());
        let Some(peer) = peer::choose(context, passage.allowed, &tried).filter(|_| !left.is_zero()) else {
            return Ok(Err(Refusal { kind: Kind::Unreachable, retry_after }));
        };
        tried.insert(peer.distance);
        let started = context.now();
        let policy_ms = decision_log::policy_ms(context, started);
        let result = match tokio::time::timeout(left, exchange(context, active, outgoing, &peer, passage)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Answer(Kind::BackendTimeout)),
        };
        log_result(context, outgoing, &peer, &result, started, policy_ms);
        match result {
            Ok(answer) => return Ok(Ok(Arc::new(attempt::to_response(context, answer)))),
            Err(Failure::Answer(kind)) => return Ok(Err(kind.into())),
            // What the last one says of the time after which the caller may come back.
            Err(Failure::Refused(after)) => retry_after = after,
            Err(Failure::Unsent) => {}
        }
    }
}

/// Logs what became of a request that was passed on at `started`, when the policy in force was `policy_ms` old and agreed on
/// `agreed_ms` ago.
fn log_result(
    context: &Context,
    outgoing: &Outgoing,
    peer: &Peer,
    result: &Result<Answer, Failure>,
    started: Time,
    [policy_ms, agreed_ms]: [i64; 2],
) {
    let (label, status) = match result {
        Ok(answer) => ("answered", answer.status.as_u16()),
        Err(Failure::Unsent) => ("unsent", 0),
        Err(Failure::Refused(_)) => ("refused", 0),
        Err(Failure::Answer(kind)) => (kind.as_str(), 0),
    };
    let ms = context.now().since(started).as_millis();
    context.metrics.relayed.with_label_values(&[label]).inc();
    let active = context.policy();
    let (host, path) = decision_log::place(outgoing);
    let (class, allowed) = decision_log::allowed(&active, outgoing);
    log::info!(
        request = outgoing.id.as_str(), peer = peer.name.as_str(), result = label, status, ms:%,
        region = peer.region.as_str(), class, account = outgoing.account.as_deref().unwrap_or("-"),
        version:% = active.version, policy_ms, agreed_ms, allowed, host, path;
        "relay: passed on"
    );
}

/// Why there is no answer of a backend server.
enum Failure {
    /// No byte of the request was sent, so another instance may get it.
    Unsent,
    /// The instance did not run the request, so another one may get it; with the time after which its caller may come back.
    Refused(Option<Duration>),
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

/// Sends the request to `peer` and reads its answer, unless another policy than `active` has come into force while connecting. A
/// reusable connection is returned to the pool.
async fn exchange(
    context: &Arc<Context>,
    active: &Arc<ActivePolicy>,
    outgoing: &Outgoing,
    peer: &Peer,
    passage: &Passage<'_>,
) -> Result<Answer, Failure> {
    let address = peer.interface.address();
    let id = hash::bytes(address.to_string().as_bytes()) as BackendId;
    let mut connection = connect(context, id, address).await?;
    stall::settled(context).await;
    if !confirmation::may_rely_on(context, passage.allowed) || !context.is_in_force(active) {
        return Err(Failure::Unsent);
    }
    let headers = headers(context, outgoing, peer.interface, passage);
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
    judge(context, peer.interface, answer)
}

/// Returns the answer if it is a backend server's, or else what the instance says about the request.
fn judge(context: &Context, interface: Interface, mut answer: Answer) -> Result<Answer, Failure> {
    let disposition = match interface {
        Interface::Peers(_) => Disposition::take(&mut answer.headers),
        Interface::Callers(_) => Some(earlier_disposition(context, &answer)),
    };
    match disposition {
        // An earlier build passes on failures that no server signed.
        Some(Disposition::Complete) if response::is_proven(&context.dialect, answer.status, &answer.headers) => {
            Ok(answer)
        }
        Some(Disposition::Complete) => Err(Failure::Answer(Kind::AnswerCut)),
        Some(Disposition::NotRun) => Err(Failure::Refused(retry_after(&answer))),
        Some(Disposition::Unknown) if answer.status == StatusCode::GATEWAY_TIMEOUT => {
            Err(Failure::Answer(Kind::BackendTimeout))
        }
        Some(Disposition::Unknown) => Err(Failure::Answer(Kind::BackendLost)),
        None => Err(Failure::Answer(Kind::AnswerCut)),
    }
}

/// Returns the disposition of an instance of an earlier build, which states refusals at most. Anything else may be a server's
/// whole answer.
fn earlier_disposition(context: &Context, answer: &Answer) -> Disposition {
    let is_signed = context.dialect.signature.as_ref().is_some_and(|name| answer.headers.contains_key(name));
    if !is_signed && answer.headers.contains_key(&EARLIER_NOT_RUN) {
        Disposition::NotRun
    } else {
        Disposition::Complete
    }
}

/// Returns the time after which the caller may come back, as the answer gives it.
fn retry_after(answer: &Answer) -> Option<Duration> {
    let seconds = h1::head::text(&answer.headers, &RETRY_AFTER)?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
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

/// Returns the caller's headers with the time that is left, the client account and the regions that may run the request.
fn headers(context: &Context, outgoing: &Outgoing, interface: Interface, passage: &Passage<'_>) -> HeaderMap {
    let mut headers = outgoing.headers.clone();
    let left = passage.deadline.since(context.now()).saturating_sub(ANSWER_MARGIN);
    let left_ms = left.as_millis().max(1) as u64;
    headers.insert(&context.dialect.deadline_ms, HeaderValue::from(left_ms));
    match interface {
        Interface::Callers(_) => drop(headers.insert(EARLIER_MARK, HeaderValue::from_static("1"))),
        Interface::Peers(_) => {
            headers.extend(passage.account.clone().map(|account| (PROXY_AUTHORIZATION, account)));
            regions::append(passage.allowed, &mut headers);
        }
    }
    headers
}
