//! Requests for classes of work: dispatches them and answers the caller.

use std::sync::Arc;
use std::time::Duration;

use base::error::{Kind, Outcome as Ran};
use base::hash;
use base::time::Time;
use dispatch::engine;
use h1::{Payload, head};
use http::header::HeaderMap;
use ledger::table::Admission;

use super::connection::Incoming;
use super::matching::{self, Handled, Match};
use super::reply::Reply;
use super::stop::Demand;
use super::{headers, relay};
use crate::Context;
use crate::at_most_once;
use crate::context::lock;
use crate::dialect::AtMostOnce;
use crate::driver::{Outcome, Outdated, Outgoing, Refusal, Submission};
use crate::policies::ActivePolicy;
use crate::quotas;
use crate::response::{self, Response};

/// Who sent a request to this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// A caller.
    Caller,
    /// Another entry instance, which reaches no backend server itself.
    Peer,
}

/// Handles the request `id` for a class of work: dispatches it, records metrics and logs the result.
pub async fn handle(context: &Arc<Context>, incoming: &Incoming, sender: Sender, id: &str) -> Reply {
    let start = incoming.arrived_at;
    let path = headers::logged_path(&incoming.head).to_owned();
    let Handled { class, account, outcome } = run(context, incoming, id, sender).await;
    if let Some(account) = &account {
        let labels = context.accounts.record(account, &outcome);
        context.metrics.account_requests.with_label_values(&labels).inc();
    }
    let account = account.as_deref().unwrap_or("-");
    let result = match &outcome {
        Ok(_) => "ok",
        Err(refusal) => refusal.kind.as_str(),
    };
    let signed = outcome.as_ref().map_or("-", |response| signed_label(context, response));
    if let Some(class) = class {
        let latency = context.now().since(start);
        context.metrics.requests.with_label_values(&[&class, result]).inc();
        context.metrics.latency.with_label_values(&[&class]).observe(latency.as_secs_f64());
        record_burn(context, &class, &outcome, latency);
        let status = outcome.as_ref().map_or(0, |response| response.status.as_u16());
        log::info!(
            request = id, class, account, result, status, signed, ms:% = latency.as_millis();
            "callers: answered"
        );
    } else {
        log_unmatched(context, id, result, &path);
    }
    match outcome {
        Ok(response) => Reply::from_response(&response, &context.dialect),
        Err(refusal) => Reply::refusal(refusal, &context.dialect),
    }
}

/// Returns whether a backend server's answer bears its signature, as a field of a log line.
fn signed_label(context: &Context, response: &Response) -> &'static str {
    if response::is_signed(&context.dialect, &response.headers) { "yes" } else { "no" }
}

/// Logs the refusal of a request that no class of the policy in force covers.
fn log_unmatched(context: &Context, id: &str, result: &str, path: &str) {
    let active = context.policy();
    let age = context.now().since(active.provenance.since);
    log::info!(
        request = id, result, path, version:% = active.version, source = active.provenance.source.as_str(),
        age_ms:% = age.as_millis();
        "callers: refused"
    );
}

/// Returns what a stop decides by: a request without a class runs nowhere, and is answered at once.
pub fn demand(context: &Context, incoming: &Incoming) -> Demand {
    let head = &incoming.head;
    let active = context.policy();
    let Some((_, class)) = active.policy.class_of(headers::host(&head.headers), head.path()) else {
        return Demand { idempotent: true, limit: Duration::ZERO };
    };
    let class_limit = Duration::from_millis(class.deadline_ms);
    let limit = headers::caller_limit(context, &head.headers).map_or(class_limit, |caller| caller.min(class_limit));
    Demand { idempotent: class.idempotent, limit }
}

/// Refuses a request that is not started; its caller can send it elsewhere at once.
pub fn refuse(context: &Context, incoming: &Incoming, kind: Kind) -> Reply {
    let id = headers::request_id(context, &incoming.head.headers);
    let active = context.policy();
    if let Some((class, _)) = active.policy.class_of(headers::host(&incoming.head.headers), incoming.head.path()) {
        context.metrics.requests.with_label_values(&[class, kind.as_str()]).inc();
    }
    log::info!(request = id.as_str(), result = kind.as_str(); "callers: refused");
    Reply::refusal(Refusal { kind, retry_after: Some(Duration::ZERO) }, &context.dialect)
}

/// Dispatches a request by the policy in force; it is matched again if another one comes into force before it is submitted. All
/// its times count from its arrival, also if it has waited behind others of its connection.
async fn run(context: &Arc<Context>, incoming: &Incoming, id: &str, sender: Sender) -> Handled {
    let mut token = None;
    loop {
        let active = context.policy();
        let found = match matching::find(context, &active, incoming, sender) {
            Ok(found) => found,
            Err(handled) => {
                give_back(context, token);
                return handled;
            }
        };
        token = match admit(context, &found, token).await {
            Ok(token) => token,
            Err(refusal) => return found.handled(Err(refusal)),
        };
        let request = Request { active: &active, found: &found, incoming, id, sender };
        if let Ok(outcome) = dispatch(context, request).await {
            give_back(context, token.filter(|_| is_not_run(&outcome)));
            return found.handled(outcome);
        }
        log::info!(request = id, class = found.class; "callers: matched again, the policy has changed");
    }
}

/// Admits a request to the quota of its account. `token` is what it has been admitted with before it was matched again.
async fn admit(
    context: &Context,
    found: &Match,
    token: Option<quotas::Token>,
) -> Result<Option<quotas::Token>, Refusal> {
    let name = found.identity.counted_name();
    let (own, other) = match token {
        Some(token) if name.is_some_and(|name| token.is_of(name)) => (Some(token), None),
        other => (None, other),
    };
    give_back(context, other);
    match name {
        Some(name) if own.is_none() => quotas::admit(context, name, found.limit).await,
        _ => Ok(own),
    }
}

fn give_back(context: &Context, token: Option<quotas::Token>) {
    if let Some(token) = token {
        token.give_back(context);
    }
}

/// Whether the outcome says that the request did not run.
fn is_not_run(outcome: &Outcome) -> bool {
    matches!(outcome, Err(refusal) if refusal.kind.answer().outcome == Ran::NotRun)
}

/// A caller's request with the policy that it was matched with.
#[derive(Clone, Copy)]
struct Request<'a> {
    active: &'a Arc<ActivePolicy>,
    found: &'a Match,
    incoming: &'a Incoming,
    id: &'a str,
    sender: Sender,
}

/// Dispatches a request of a class. A keyed request first passes the ledger, which may replay an earlier answer or
/// refuse the request. An error if another policy is in force: the request was not submitted, or did not run.
async fn dispatch(context: &Arc<Context>, request: Request<'_>) -> Result<Outcome, Outdated> {
    let Request { active, found, incoming, id, sender } = request;
    let Match { position, idempotent, limit, identity, .. } = found;
    let Incoming { head, body, arrived_at, .. } = incoming;
    let caller_deadline = headers::caller_limit(context, &head.headers).map(|limit| *arrived_at + limit);
    let deadline = caller_deadline.map_or(*limit, |caller| caller.min(*limit));
    let fingerprint = fingerprint(head.method.as_str(), &head.target, body);
    let needs_key = !idempotent && context.dialect.at_most_once == AtMostOnce::PerKey;
    let keyed = match needs_key.then(|| headers::keyed_request(context, &head.headers, fingerprint)).transpose() {
        Ok(keyed) => keyed,
        Err(kind) => return Ok(Err(kind.into())),
    };
    if let Some(keyed) = &keyed {
        match at_most_once::begin(context, keyed) {
            Admission::Claim | Admission::Run => {}
            Admission::Replay(response) => {
                context.metrics.replays.inc();
                return Ok(Ok(response));
            }
            Admission::Refuse(kind) => return Ok(Err(kind.into())),
        }
    }
    let submission = Submission {
        account: identity.for_engine(active),
        ..submission(context, *position, fingerprint, &head.headers, deadline)
    };
    let object = context.dialect.object.as_ref().and_then(|name| head::text(&head.headers, name)).unwrap_or("-");
    let mut forwarded = headers::forwarded_headers(context, &head.headers);
    identity.replace_key(context, active, &mut forwarded);
    let outgoing = Arc::new(Outgoing {
        number: context.driver.next_request_number(),
        id: id.to_owned(),
        object: object.to_owned(),
        account: identity.name().map(str::to_owned),
        method: head.method.clone(),
        target: head.target.clone(),
        headers: forwarded,
        body: body.clone(),
        idempotent: *idempotent,
        keyed,
    });
    if outgoing.keyed.is_some() {
        return run_keyed(context, active, outgoing, submission).await;
    }
    let passage = relay::Passage { allowed: &found.allowed, account: identity.for_instance(), deadline };
    if context.reach.is_lost() {
        return send_through_peer(context, active, &outgoing, &passage, sender).await;
    }
    let submitted = context.driver.submit(context, active, Arc::clone(&outgoing), submission)?;
    let mut guard = AbandonGuard { context: Arc::clone(context), request: Some(outgoing.number) };
    let outcome = submitted.await;
    guard.request = None;
    let outcome = outcome.unwrap_or_else(|_| Err(Kind::Internal.into()));
    if is_not_run(&outcome) && context.reach.is_lost() {
        return send_through_peer(context, active, &outgoing, &passage, sender).await;
    }
    Ok(outcome)
}

/// Passes a request that this daemon did not run and cannot run on to another entry instance.
async fn send_through_peer(
    context: &Arc<Context>,
    active: &Arc<ActivePolicy>,
    outgoing: &Outgoing,
    passage: &relay::Passage<'_>,
    sender: Sender,
) -> Result<Outcome, Outdated> {
    if sender == Sender::Caller {
        return relay::send(context, active, outgoing, passage).await;
    }
    if !context.is_in_force(active) {
        return Err(Outdated);
    }
    Ok(Err(Kind::Unreachable.into()))
}

/// Runs a keyed request to completion even if its caller disconnects: the answer is kept in case the caller sends the
/// request again.
async fn run_keyed(
    context: &Arc<Context>,
    active: &Arc<ActivePolicy>,
    outgoing: Arc<Outgoing>,
    submission: Submission,
) -> Result<Outcome, Outdated> {
    let (shared, active) = (Arc::clone(context), Arc::clone(active));
    let task = context.runtime.spawn(async move {
        let submitted = shared.driver.submit(&shared, &active, Arc::clone(&outgoing), submission);
        let is_outdated = submitted.is_err();
        let outcome = match submitted {
            Ok(outcome) => outcome.await.unwrap_or_else(|_| Err(Kind::Internal.into())),
            Err(Outdated) => Err(Kind::NoPolicy.into()),
        };
        let Some(keyed) = &outgoing.keyed else { return Ok(outcome) };
        at_most_once::withdraw(&shared, keyed);
        let outcome = at_most_once::finish(&shared, keyed, outcome);
        if is_outdated { Err(Outdated) } else { Ok(outcome) }
    });
    task.await.unwrap_or_else(|_| Ok(Err(Kind::Internal.into())))
}

/// Abandons a request when it is dropped before the outcome is known, which happens when the caller disconnects.
struct AbandonGuard {
    context: Arc<Context>,
    request: Option<u64>,
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.context.driver.abandon(&self.context, request);
        }
    }
}

/// Returns what the dispatch engine needs of a request that is given up at `deadline`, from its class and headers.
fn submission(context: &Context, class: usize, fingerprint: u64, headers: &HeaderMap, deadline: Time) -> Submission {
    let dialect = &context.dialect;
    let object = dialect.object.as_ref().and_then(|name| headers.get(name));
    Submission {
        class,
        fingerprint,
        timeout: deadline.since(context.now()),
        object: object.map(|value| hash::bytes(value.as_bytes())),
        account: engine::Account::NONE,
    }
}

/// Returns a hash of the method, the target and the body: equal for a request that is sent again.
fn fingerprint(method: &str, target: &str, body: &Payload) -> u64 {
    hash::combine(hash::bytes(format!("{method} {target}").as_bytes()), hash::parts(body.parts()))
}

/// Records whether an answer met its class's target; errors of the caller do not count.
fn record_burn(context: &Context, class: &str, outcome: &Outcome, latency: Duration) {
    let active = context.policy();
    let Some(target) = active.policy.classes.get(class) else {
        return;
    };
    let server_fault = match outcome {
        Ok(response) => response.status.is_server_error(),
        Err(refusal) => refusal.kind.answer().status >= 500 || refusal.kind == Kind::AlreadyClaimed,
    };
    if outcome.is_err() && !server_fault {
        return;
    }
    let good = !server_fault && latency <= Duration::from_millis(target.target_ms);
    let now = context.now();
    lock(&context.burn).entry(class.to_owned()).or_default().record(good, now);
}
