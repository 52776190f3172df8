//! At-most-once execution of requests with an idempotency key, by the local ledger, claims in the store, and queries to
//! the daemon that holds a claim.

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

/// An attempt to acquire a claim ends this long before the request's deadline, in milliseconds.
const CLAIM_MARGIN_MS: u64 = 20;
/// How long new claims are attached to one lease before the next is granted. The lease outlives this by the retention of
/// claims.
const LEASE_USE: Duration = Duration::from_hours(1);

/// A non-idempotent request with an idempotency key, which must run at most once.
#[derive(Debug)]
pub struct KeyedRequest {
    /// Hash of the idempotency key and its session, see [`key_hash`].
    pub key: u128,
    /// Fingerprint of method, target and body; a key that is reused for another request is refused by it.
    pub fingerprint: u64,
    /// Whether the key belongs to a session of this incarnation; such a key needs no claim in the store.
    pub in_session: bool,
    /// Revision of the claim in the store; `None` until it is acquired.
    pub claim_revision: Mutex<Option<u64>>,
    /// The answer to an earlier send of the request, if the daemon that ran it returned one.
    pub earlier_response: Mutex<Option<Arc<Response>>>,
}

/// The lease that new claims are attached to. It is never renewed: the store removes the claims when it expires.
#[derive(Debug, Clone, Copy)]
pub struct ClaimLease {
    lease: Lease,
    granted_at: Time,
}

/// Returns the hash of an idempotency key; a key within a session differs from the same key without one.
pub fn key_hash(session: Option<&str>, key: &str) -> u128 {
    hash::bytes_128(format!("{}\n{key}", session.unwrap_or_default()).as_bytes())
}

/// Registers a request with the ledger; returns how to proceed with it.
pub fn begin(context: &Context, request: &KeyedRequest) -> Admission<Arc<Response>> {
    let now = context.now();
    lock(&context.ledger).begin(request.key, request.fingerprint, request.in_session, now)
}

/// Acquires the claim on the request's key, unless it is held already or not needed. Called before anything is sent;
/// blocks on the store.
pub fn claim(context: &Arc<Context>, request: &KeyedRequest, deadline: Time) -> Result<(), Kind> {
    if request.in_session || lock(&request.claim_revision).is_some() {
        return Ok(());
    }
    lock(&context.ledger).record_claim_sent(request.key);
    let acquired = acquire_claim(context, request, deadline);
    if let acquire::Outcome::Acquired(revision) = &acquired {
        *lock(&request.claim_revision) = Some(*revision);
    }
    let now = context.now();
    match lock(&context.ledger).finish_claim(request.key, acquired, now) {
        Admission::Run => Ok(()),
        Admission::Refuse(kind) => Err(kind),
        Admission::Replay(response) => {
            *lock(&request.earlier_response) = Some(response);
            Err(Kind::AlreadyClaimed)
        }
        Admission::Claim => Err(Kind::ClaimUnavailable),
    }
}

/// Records the end of a request in the ledger and returns the outcome for its caller: the answer to an earlier send if
/// there was one.
pub fn finish(context: &Arc<Context>, request: &KeyedRequest, outcome: Outcome) -> Outcome {
    if let Some(earlier) = lock(&request.earlier_response).take() {
        context.metrics.replays.inc();
        return Ok(earlier);
    }
    let now = context.now();
    let mut ledger = lock(&context.ledger);
    match &outcome {
        Ok(response) => ledger.record_answer(request.key, Arc::clone(response), response.bytes(), now),
        Err(refusal) => {
            let release = ledger.record_failure(request.key, refusal.kind, now);
            drop(ledger);
            if release {
                release_claim(context, request);
            }
        }
    }
    outcome
}

/// Returns the status of a key that this daemon claimed, for a peer. A key that never ran here never will from then
/// on, as the peer takes it over.
pub fn claim_status(context: &Context, key: u128) -> Status<Arc<Response>> {
    let now = context.now();
    lock(&context.ledger).status(key, now)
}

/// Writes the claim to the store; if another daemon holds it, asks that daemon whether the request ran.
fn acquire_claim(context: &Arc<Context>, request: &KeyedRequest, deadline: Time) -> acquire::Outcome<Arc<Response>> {
    let give_up = deadline - Duration::from_millis(CLAIM_MARGIN_MS);
    let unsent = lock(&context.ledger).is_unsent(request.key);
    let acquisition = Acquisition::new(context.incarnation, request.fingerprint, unsent, give_up);
    let mut action = acquisition.start();
    loop {
        match action {
            Action::Call(call) => {
                let reply = perform(context, request, call);
                action = acquisition.handle(reply, context.now());
            }
            Action::Finish(outcome) => return outcome,
        }
    }
}

fn perform(context: &Arc<Context>, request: &KeyedRequest, call: Call) -> Reply<Arc<Response>> {
    let name = key::claim(request.key);
    let reply = match call {
        Call::Write(expect) => write_claim(context, request, &name, expect),
        Call::Read => read_claim(context, &name),
        Call::Ask(claim, revision) => {
            let status = peers::client::claim_status(context, &claim.peer_address, claim.incarnation, request.key);
            return Reply::Status(status, revision);
        }
    };
    let failed = matches!(reply, Reply::Unsent | Reply::Lost);
    let result = if failed { "failed" } else { "ok" };
    context.metrics.store_calls.with_label_values(&["claim", result]).inc();
    reply
}

/// Writes the claim `name` if its revision is `expect`; zero means that it must be absent.
fn write_claim(context: &Context, request: &KeyedRequest, name: &str, expect: u64) -> Reply<Arc<Response>> {
    let Ok(lease) = claim_lease(context) else {
        return Reply::Unsent;
    };
    let claim = Claim {
        incarnation: context.incarnation,
        fingerprint: request.fingerprint,
        peer_address: context.settings.fleet.address.clone(),
    };
    let change = Change::set(name, expect, claim.to_bytes()).with_lease(lease);
    match context.store.commit(&[change]) {
        Ok(Commit::Done(revision)) => Reply::Written(revision),
        Ok(Commit::Conflict) => Reply::Conflict,
        Err(Error::Ambiguous(_) | Error::Outdated { .. }) => Reply::Lost,
        Err(Error::Unreachable(_) | Error::Unreadable(_) | Error::Refused(_)) => {
            // A refused write may mean that the lease has expired.
            *lock(&context.claim_lease) = None;
            Reply::Unsent
        }
    }
}

fn read_claim(context: &Context, name: &str) -> Reply<Arc<Response>> {
    match context.store.read(name) {
        Ok(None) => Reply::Found(None),
        Ok(Some(entry)) => match Claim::parse(&entry.value) {
            Ok(claim) => Reply::Found(Some((claim, entry.revision))),
            Err(_) => Reply::Unsent,
        },
        Err(_) => Reply::Unsent,
    }
}

/// Returns the lease for claims that are written now; grants a new one once the last was used for [`LEASE_USE`].
fn claim_lease(context: &Context) -> store::Result<Lease> {
    let now = context.now();
    let mut current = lock(&context.claim_lease);
    if let Some(current) = current.filter(|current| now.since(current.granted_at) < LEASE_USE) {
        return Ok(current.lease);
    }
    let retention = Duration::from_secs(context.settings.platform.claim_kept_s);
    let lease = context.store.grant(retention + LEASE_USE)?;
    *current = Some(ClaimLease { lease, granted_at: now });
    Ok(lease)
}

/// Deletes the claim of a request that never ran, so that the caller can send it again to any daemon.
fn release_claim(context: &Arc<Context>, request: &KeyedRequest) {
    let Some(revision) = *lock(&request.claim_revision) else { return };
    let key = request.key;
    let context = Arc::clone(context);
    let runtime = context.runtime.clone();
    runtime.spawn_blocking(move || {
        let deleted = context.store.commit(&[Change::delete(&key::claim(key), revision)]);
        if matches!(deleted, Ok(Commit::Done(_))) {
            lock(&context.ledger).record_release(key);
        }
    });
}

/// Ends the claim of a request that ended while the ledger still counts it as being claimed, usually because no attempt
/// was made. Otherwise later sends of the key would be refused as still running.
pub fn withdraw(context: &Context, request: &KeyedRequest) {
    let now = context.now();
    let mut ledger = lock(&context.ledger);
    if ledger.is_unsent(request.key) {
        let step = ledger.finish_claim(request.key, acquire::Outcome::Unavailable, now);
        log::debug!("orders: claim withdrawn step={step:?}");
    }
}
