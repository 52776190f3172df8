//! The key-value store as an HTTP server, with faults on demand.
//!
//! Faults: `POST /fault` with [`Faults`] as JSON. Call counts: `GET /counts`.

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
use tiny_http::{Request, Server};

use crate::http;
use crate::state::State;

/// Largest value the store takes, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Faults in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are closed without an answer and nothing takes effect.
    pub down: bool,
    /// Each call waits this long first, in milliseconds.
    pub slow_ms: u64,
    /// So many next writes take effect and lose their answers.
    pub lose_answers: u32,
    /// All leases end now.
    pub lapse: bool,
}

#[derive(Debug)]
struct Shared {
    state: State,
    faults: Faults,
    counts: BTreeMap<String, u64>,
}

/// A running store.
pub struct Running {
    server: Arc<Server>,
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
        let server = Arc::new(Server::http(address).map_err(std::io::Error::other)?);
        let shared =
            Arc::new(Mutex::new(Shared { state: State::new(), faults: Faults::default(), counts: BTreeMap::new() }));
        let handle = Arc::clone(&shared);
        let start = Instant::now();
        http::serve(Arc::clone(&server), move |request| {
            answer(request, &handle, start);
        });
        Ok(Self { server, shared })
    }

    /// Where the store listens, `IP:PORT`.
    pub fn address(&self) -> String {
        self.server.server_addr().to_string()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut shared = lock(&self.shared);
        if faults.lapse {
            shared.state.lapse();
        }
        shared.faults = faults;
    }

    /// Calls so far, by path.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        lock(&self.shared).counts.clone()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().expect("no handler panics while holding the store")
}

fn answer(mut request: Request, shared: &Mutex<Shared>, start: Instant) {
    let path = request.url().to_owned();
    let body = http::body(&mut request);
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
        return cut(request);
    }
    *lock(shared).counts.entry(path.clone()).or_default() += 1;
    let now = Time::from_micros(start.elapsed().as_micros() as u64);
    match path.as_str() {
        "/v3/kv/range" => with_body(request, &body, |asked: RangeRequest| Some(range(shared, &asked, now))),
        "/v3/kv/txn" => answer_txn(request, shared, &body, now),
        "/v3/lease/grant" => with_body(request, &body, |asked: GrantRequest| Some(grant(shared, &asked, now))),
        "/v3/lease/keepalive" => with_body(request, &body, |asked: LeaseRequest| Some(renew(shared, &asked, now))),
        _ => http::answer_status(request, 404),
    }
}

/// Drops the connection without an answer.
fn cut(request: Request) {
    drop(request.into_writer());
}

fn set_faults(request: Request, shared: &Mutex<Shared>, body: &[u8]) {
    let Ok(faults) = serde_json::from_slice::<Faults>(body) else {
        return http::answer_status(request, 400);
    };
    let mut held = lock(shared);
    if faults.lapse {
        held.state.lapse();
    }
    held.faults = faults;
    drop(held);
    http::answer_status(request, 200);
}

fn with_body<Q, A>(request: Request, body: &[u8], work: impl FnOnce(Q) -> Option<A>)
where
    Q: for<'a> Deserialize<'a>,
    A: Serialize,
{
    let Ok(asked) = serde_json::from_slice::<Q>(body) else {
        return http::answer_status(request, 400);
    };
    match work(asked) {
        Some(value) => http::answer_json(request, &value),
        None => http::answer_status(request, 400),
    }
}

fn answer_txn(request: Request, shared: &Mutex<Shared>, body: &[u8], now: Time) {
    let Ok(asked) = serde_json::from_slice::<TxnRequest>(body) else {
        return http::answer_status(request, 400);
    };
    let Some(changes) = changes(&asked) else {
        return http::answer_status(request, 400);
    };
    let mut held = lock(shared);
    let commit = held.state.commit(&changes, now);
    let revision = Number(held.state.revision());
    let lose = held.faults.lose_answers > 0;
    held.faults.lose_answers = held.faults.lose_answers.saturating_sub(1);
    drop(held);
    if lose {
        return cut(request);
    }
    let succeeded = matches!(commit, Commit::Done(_));
    http::answer_json(request, &TxnResponse { header: Header { revision }, succeeded });
}

/// Pairs each step with its condition; `None` if they do not pair up or a value is too large.
fn changes(asked: &TxnRequest) -> Option<Vec<Change>> {
    if asked.compare.len() != asked.success.len() {
        return None;
    }
    asked.compare.iter().zip(&asked.success).map(|(compare, op)| change(compare.mod_revision.0, op)).collect()
}

fn change(expect: u64, op: &Op) -> Option<Change> {
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

fn range(shared: &Mutex<Shared>, asked: &RangeRequest, now: Time) -> RangeResponse {
    let first = String::from_utf8_lossy(&asked.key.0).into_owned();
    let end = String::from_utf8_lossy(&asked.range_end.0).into_owned();
    let end = (!end.is_empty()).then_some(end.as_str());
    let mut held = lock(shared);
    let entries = held.state.range(&first, end, now);
    let revision = Number(held.state.revision());
    let kvs = entries.into_iter().map(|entry| KeyValue {
        key: entry.key.as_str().into(),
        value: Bytes(entry.value),
        mod_revision: Number(entry.revision),
        lease: Number(0),
    });
    RangeResponse { header: Header { revision }, kvs: kvs.collect() }
}

fn grant(shared: &Mutex<Shared>, asked: &GrantRequest, now: Time) -> LeaseResponse {
    let lease = lock(shared).state.grant(Duration::from_secs(asked.ttl.0), now);
    LeaseResponse { id: Number(lease.0), ttl: asked.ttl }
}

fn renew(shared: &Mutex<Shared>, asked: &LeaseRequest, now: Time) -> RenewResponse {
    let alive = lock(shared).state.renew(Lease(asked.id.0), now);
    RenewResponse { result: LeaseResponse { id: asked.id, ttl: Number(u64::from(alive)) } }
}
