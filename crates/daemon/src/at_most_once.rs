//! Running an order at most once: the ledger, the store and the peers together.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::error::Kind;
use base::hash;
use base::time::Time;
use ledger::acquire::{self, Acquisition, Action, Call, Reply, Status};
use ledger::claim::Claim;
use ledger::table::Admission;
use store::{Change, Commit, Error, Lease, Store as _, key};

use crate::Context;
use crate::context::lock;
use crate::driver::Outcome;
use crate::peers;
use crate::response::Response;

/// Time before a request's deadline at which its claim is given up, in milliseconds.
const CLAIM_MARGIN_MS: u64 = 20;
/// Time for which one lease serves the claims of this daemon.
const LEASE_SPAN: Duration = Duration::from_hours(1);

/// A request that must run at most once.
#[derive(Debug)]
pub struct KeyedRequest {
    /// Hash of its idempotency key.
    pub key: u128,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Whether its key belongs to a session of this incarnation.
    pub in_session: bool,
    /// Revision of its claim in the store, once made.
    pub claim_revision: Mutex<Option<u64>>,
    /// The answer of an earlier send, if a peer had it.
    pub earlier_response: Mutex<Option<Arc<Response>>>,
}

/// The lease that new claims hang on. It is never renewed: the store itself removes claims when it ends.
#[derive(Debug, Clone, Copy)]
pub struct ClaimLease {
    lease: Lease,
    made: Time,
}

/// Hash of an idempotency key; a key of a session differs from the same key without.
pub fn key_hash(session: Option<&str>, key: &str) -> u128 {
    hash::bytes_128(format!("{}\n{key}", session.unwrap_or_default()).as_bytes())
}

/// What to do with an order that came.
pub fn begin(context: &Context, order: &KeyedRequest) -> Admission<Arc<Response>> {
    let now = context.now();
    lock(&context.ledger).begin(order.key, order.fingerprint, order.in_session, now)
}

/// Makes sure that the order's claim is ours before anything is sent.
pub fn claim(context: &Arc<Context>, order: &KeyedRequest, deadline: Time) -> Result<(), Kind> {
    if order.in_session || lock(&order.claim_revision).is_some() {
        return Ok(());
    }
    lock(&context.ledger).record_claim_sent(order.key);
    let held = make(context, order, deadline);
    if let acquire::Outcome::Acquired(revision) = &held {
        *lock(&order.claim_revision) = Some(*revision);
    }
    let now = context.now();
    match lock(&context.ledger).finish_claim(order.key, held, now) {
        Admission::Run => Ok(()),
        Admission::Refuse(kind) => Err(kind),
        Admission::Replay(whole) => {
            *lock(&order.earlier_response) = Some(whole);
            Err(Kind::AlreadyClaimed)
        }
        Admission::Claim => Err(Kind::ClaimUnavailable),
    }
}

/// Ends an order and gives what its caller is told.
pub fn finish(context: &Arc<Context>, order: &KeyedRequest, outcome: Outcome) -> Outcome {
    if let Some(earlier) = lock(&order.earlier_response).take() {
        context.metrics.replays.inc();
        return Ok(earlier);
    }
    let now = context.now();
    let mut ledger = lock(&context.ledger);
    match &outcome {
        Ok(whole) => ledger.record_answer(order.key, Arc::clone(whole), whole.bytes(), now),
        Err(refusal) => {
            let release = ledger.record_failure(order.key, refusal.kind, now);
            drop(ledger);
            if release {
                self::release(context, order);
            }
        }
    }
    outcome
}

/// What this daemon can tell a peer of a key.
pub fn claim_status(context: &Context, key: u128) -> Status<Arc<Response>> {
    let now = context.now();
    lock(&context.ledger).status(key, now)
}

/// Makes the claim at the store, asking the claimant if there is another.
fn make(context: &Arc<Context>, order: &KeyedRequest, deadline: Time) -> acquire::Outcome<Arc<Response>> {
    let give_up = deadline - Duration::from_millis(CLAIM_MARGIN_MS);
    let unsent = lock(&context.ledger).is_unsent(order.key);
    let maker = Acquisition::new(context.incarnation, order.fingerprint, unsent, give_up);
    let mut progress = maker.start();
    loop {
        match progress {
            Action::Call(call) => {
                let reply = perform(context, order, call);
                progress = maker.handle(reply, context.now());
            }
            Action::Finish(held) => return held,
        }
    }
}

fn perform(context: &Arc<Context>, order: &KeyedRequest, call: Call) -> Reply<Arc<Response>> {
    let name = key::claim(order.key);
    let reply = match call {
        Call::Write(expect) => write(context, order, &name, expect),
        Call::Read => read(context, &name),
        Call::Ask(claim, revision) => {
            let word = peers::client::word(context, &claim.peer_address, claim.incarnation, order.key);
            return Reply::Status(word, revision);
        }
    };
    let failed = matches!(reply, Reply::Unsent | Reply::Lost);
    let result = if failed { "failed" } else { "ok" };
    context.metrics.store_calls.with_label_values(&["claim", result]).inc();
    reply
}

fn write(context: &Context, order: &KeyedRequest, name: &str, expect: u64) -> Reply<Arc<Response>> {
    let Ok(lease) = lease(context) else {
        return Reply::Unsent;
    };
    let claim = Claim {
        incarnation: context.incarnation,
        fingerprint: order.fingerprint,
        peer_address: context.settings.fleet.address.clone(),
    };
    let change = Change::set(name, expect, claim.to_bytes()).with_lease(lease);
    match context.store.commit(&[change]) {
        Ok(Commit::Done(revision)) => Reply::Written(revision),
        Ok(Commit::Conflict) => Reply::Conflict,
        Err(Error::Ambiguous(_)) => Reply::Lost,
        Err(Error::Unreachable(_) | Error::Refused(_)) => {
            // A refused write may mean that the lease is gone.
            *lock(&context.claim_lease) = None;
            Reply::Unsent
        }
    }
}

fn read(context: &Context, name: &str) -> Reply<Arc<Response>> {
    match context.store.read(name) {
        Ok(None) => Reply::Found(None),
        Ok(Some(entry)) => match Claim::parse(&entry.value) {
            Ok(claim) => Reply::Found(Some((claim, entry.revision))),
            Err(_) => Reply::Unsent,
        },
        Err(_) => Reply::Unsent,
    }
}

/// The lease for claims made now.
fn lease(context: &Context) -> store::Result<Lease> {
    let now = context.now();
    let mut span = lock(&context.claim_lease);
    if let Some(span) = span.filter(|span| now.since(span.made) < LEASE_SPAN) {
        return Ok(span.lease);
    }
    let kept = Duration::from_secs(context.settings.platform.claim_kept_s);
    let lease = context.store.grant(kept + LEASE_SPAN)?;
    *span = Some(ClaimLease { lease, made: now });
    Ok(lease)
}

/// Deletes the claim of an order that never ran, so that it can be sent again anywhere.
fn release(context: &Arc<Context>, order: &KeyedRequest) {
    let Some(revision) = *lock(&order.claim_revision) else { return };
    let key = order.key;
    let context = Arc::clone(context);
    let runtime = context.runtime.clone();
    runtime.spawn_blocking(move || {
        let deleted = context.store.commit(&[Change::delete(&key::claim(key), revision)]);
        if matches!(deleted, Ok(Commit::Done(_))) {
            lock(&context.ledger).record_release(key);
        }
    });
}

/// The ledger's word for a claim that nobody tried to make.
pub fn withdraw(context: &Context, order: &KeyedRequest) {
    let now = context.now();
    let mut ledger = lock(&context.ledger);
    if ledger.is_unsent(order.key) {
        let step = ledger.finish_claim(order.key, acquire::Outcome::Unavailable, now);
        log::debug!("orders: claim withdrawn step={step:?}");
    }
}
