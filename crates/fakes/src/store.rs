//! The key-value store as an HTTP server, with faults on demand.
//!
//! `POST /fault` sets [`Faults`] given as JSON, and `GET /counts` returns the number of calls by path.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use base::time::Time;
use serde::{Deserialize, Serialize};
use store::wire::{
    Bytes, GrantRequest, Header, KeyValue, LeaseRequest, LeaseResponse, Number, Op, RangeRequest, RangeResponse,
    RenewResponse, TxnRequest, TxnResponse,
};
use store::{Change, Commit, Lease};
use tiny_http::Request;

use crate::http;
use crate::state::State;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The active faults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are closed without an answer, and calls have no effect.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of following writes that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Whether setting these faults expires all leases at once.
    pub lapse: bool,
}

#[derive(Debug)]
struct Shared {
    state: State,
    faults: Faults,
    counts: BTreeMap<String, u64>,
}

/// A running store; dropping it stops it.
pub struct Running {
    listener: Arc<tiny_http::Server>,
    shared: Arc<Mutex<Shared>>,
}

impl std::fmt::Debug for Running {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Running").field("address", &self.address()).finish_non_exhaustive()
    }
}

impl Running {
    /// Starts a store at `address`.
    pub fn start(address: &str) -> std::io::Result<Self> {
        let listener = Arc::new(tiny_http::Server::http(address).map_err(std::io::Error::other)?);
        let shared =
            Arc::new(Mutex::new(Shared { state: State::new(), faults: Faults::default(), counts: BTreeMap::new() }));
        let handler_state = Arc::clone(&shared);
        let start = Instant::now();
        http::serve(Arc::clone(&listener), move |request| {
            handle(request, &handler_state, start);
        });
        Ok(Self { listener, shared })
    }

    /// Returns the address the store listens at, `IP:PORT`.
    pub fn address(&self) -> String {
        self.listener.server_addr().to_string()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut shared = lock(&self.shared);
        if faults.lapse {
            shared.state.expire_leases();
        }
        shared.faults = faults;
    }

    /// Returns the number of calls so far, by path.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        lock(&self.shared).counts.clone()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.listener.unblock();
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().expect("no handler panics while holding the store")
}

fn handle(mut request: Request, shared: &Mutex<Shared>, start: Instant) {
    let path = request.url().to_owned();
    let body = http::read_body(&mut request);
    match path.as_str() {
        "/fault" => return set_faults(request, shared, &body),
        "/counts" => {
            let counts = lock(shared).counts.clone();
            return http::answer_json(request, &counts);
        }
        _ => {}
    }
    let faults = lock(shared).faults.clone();
    thread::sleep(Duration::from_millis(faults.slow_ms));
    if faults.down {
        return close(request);
    }
    *lock(shared).counts.entry(path.clone()).or_default() += 1;
    let now = Time::from_micros(start.elapsed().as_micros() as u64);
    match path.as_str() {
        "/v3/kv/range" => with_body(request, &body, |call: RangeRequest| Some(range(shared, &call, now))),
        "/v3/kv/txn" => answer_txn(request, shared, &body, now),
        "/v3/lease/grant" => with_body(request, &body, |call: GrantRequest| Some(grant(shared, &call, now))),
        "/v3/lease/keepalive" => with_body(request, &body, |call: LeaseRequest| Some(renew(shared, &call, now))),
        _ => http::answer_status(request, 404),
    }
}

/// Closes the connection without an answer.
fn close(request: Request) {
    drop(request.into_writer());
}

fn set_faults(request: Request, shared: &Mutex<Shared>, body: &[u8]) {
    let Ok(faults) = serde_json::from_slice::<Faults>(body) else {
        return http::answer_status(request, 400);
    };
    let mut guard = lock(shared);
    if faults.lapse {
        guard.state.expire_leases();
    }
    guard.faults = faults;
    drop(guard);
    http::answer_status(request, 200);
}

/// Decodes the body as JSON and answers with the result of `operation`; `None` and a malformed body yield status 400.
fn with_body<Q, A>(request: Request, body: &[u8], operation: impl FnOnce(Q) -> Option<A>)
where
    Q: for<'a> Deserialize<'a>,
    A: Serialize,
{
    let Ok(call) = serde_json::from_slice::<Q>(body) else {
        return http::answer_status(request, 400);
    };
    match operation(call) {
        Some(value) => http::answer_json(request, &value),
        None => http::answer_status(request, 400),
    }
}

fn answer_txn(request: Request, shared: &Mutex<Shared>, body: &[u8], now: Time) {
    let Ok(txn) = serde_json::from_slice::<TxnRequest>(body) else {
        return http::answer_status(request, 400);
    };
    let Some(changes) = to_changes(&txn) else {
        return http::answer_status(request, 400);
    };
    let mut guard = lock(shared);
    let commit = guard.state.commit(&changes, now);
    let revision = Number(guard.state.revision());
    let answer_lost = guard.faults.lose_answers > 0;
    guard.faults.lose_answers = guard.faults.lose_answers.saturating_sub(1);
    drop(guard);
    if answer_lost {
        return close(request);
    }
    let succeeded = matches!(commit, Commit::Done(_));
    http::answer_json(request, &TxnResponse { header: Header { revision }, succeeded });
}

/// Pairs each operation of a transaction with its expected revision; `None` if their numbers differ, an operation or
/// key is invalid, or a value is too large.
fn to_changes(txn: &TxnRequest) -> Option<Vec<Change>> {
    if txn.compare.len() != txn.success.len() {
        return None;
    }
    txn.compare.iter().zip(&txn.success).map(|(compare, op)| to_change(compare.mod_revision.0, op)).collect()
}

fn to_change(expect: u64, op: &Op) -> Option<Change> {
    if let Some(put) = &op.request_put {
        let key = String::from_utf8(put.key.0.clone()).ok()?;
        if put.value.0.len() > MAX_VALUE_BYTES {
            return None;
        }
        let lease = (put.lease.0 > 0).then_some(Lease(put.lease.0));
        return Some(Change { key, expect, value: Some(put.value.0.clone()), lease });
    }
    let delete = op.request_delete_range.as_ref()?;
    let key = String::from_utf8(delete.key.0.clone()).ok()?;
    Some(Change { key, expect, value: None, lease: None })
}

fn range(shared: &Mutex<Shared>, call: &RangeRequest, now: Time) -> RangeResponse {
    let first = String::from_utf8_lossy(&call.key.0).into_owned();
    let end = String::from_utf8_lossy(&call.range_end.0).into_owned();
    let end = (!end.is_empty()).then_some(end.as_str());
    let mut guard = lock(shared);
    let entries = guard.state.range(&first, end, now);
    let revision = Number(guard.state.revision());
    let kvs = entries.into_iter().map(|entry| KeyValue {
        key: entry.key.as_str().into(),
        value: Bytes(entry.value),
        mod_revision: Number(entry.revision),
        lease: Number(0),
    });
    RangeResponse { header: Header { revision }, kvs: kvs.collect() }
}

fn grant(shared: &Mutex<Shared>, call: &GrantRequest, now: Time) -> LeaseResponse {
    let lease = lock(shared).state.grant(Duration::from_secs(call.ttl.0), now);
    LeaseResponse { id: Number(lease.0), ttl: call.ttl }
}

fn renew(shared: &Mutex<Shared>, call: &LeaseRequest, now: Time) -> RenewResponse {
    let alive = lock(shared).state.renew(Lease(call.id.0), now);
    RenewResponse { result: LeaseResponse { id: call.id, ttl: Number(u64::from(alive)) } }
}
