//! The store over HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use h1::Budget;
use h1::client::{self, Connection, Fault};
use http::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use tokio::runtime::{Builder, Handle, Runtime};

use crate::call::{Call, Reply};
use crate::codec::{Codec, Message};
use crate::error::{Error, Result};
use crate::{Change, Commit, Entry, Lease, Store, etcd};

/// Largest answer taken from the store, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Bytes of all answers together that are read at once.
const ROOM_BYTES: usize = 16 << 20;
/// Longest time a connection is kept idle.
const IDLE: Duration = Duration::from_secs(5);
/// Idle connections kept.
const POOLED: usize = 4;

/// Runs the sockets of calls that block.
#[derive(Debug)]
enum Runner {
    Own(Runtime),
    Shared(Handle),
}

/// A client of the store; cheap to share between threads.
#[derive(Debug)]
pub struct Client {
    codec: Codec,
    address: String,
    timeout: Duration,
    runner: Runner,
    idle: Mutex<Vec<(Connection, Instant)>>,
    calls: AtomicU64,
    budget: Budget,
}

impl Client {
    /// A client of the store at `address` (`IP:PORT`) with a thread of its own; each call ends within `timeout`.
    pub fn new(address: &str, timeout: Duration) -> Result<Self> {
        let built = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = built.map_err(|source| Error::Unreachable(source.to_string()))?;
        Ok(Self::with_runner(etcd::CODEC, address, timeout, Runner::Own(runtime)))
    }

    /// A client of a store that speaks as `codec` says, whose sockets `runtime` runs.
    pub fn with_runtime(codec: Codec, address: &str, timeout: Duration, runtime: Handle) -> Self {
        Self::with_runner(codec, address, timeout, Runner::Shared(runtime))
    }

    fn with_runner(codec: Codec, address: &str, timeout: Duration, runner: Runner) -> Self {
        let address = address.to_owned();
        let (idle, calls, budget) = (Mutex::new(Vec::new()), AtomicU64::new(0), Budget::new(ROOM_BYTES));
        Self { codec, address, timeout, runner, idle, calls, budget }
    }

    /// Calls made since the start.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Makes a call; it ends within the client's timeout, a watch within its wait besides.
    pub async fn call(&self, call: &Call) -> Result<Reply> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let message = (self.codec.encode)(call)?;
        let wait = if let Call::Watch { wait, .. } = call { *wait } else { Duration::ZERO };
        let limit = self.timeout + wait;
        let exchange = self.exchange(&message);
        let (status, body) = match tokio::time::timeout(limit, exchange).await {
            Ok(done) => done?,
            Err(_) => return Err(Error::Ambiguous(format!("no answer within {} ms", limit.as_millis()))),
        };
        (self.codec.decode)(call, status, &body)
    }

    /// Drops the idle connections: the next call makes a new one.
    pub fn reconnect(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Makes a call and waits for it on this thread.
    fn block(&self, call: &Call) -> Result<Reply> {
        match &self.runner {
            Runner::Own(runtime) => runtime.block_on(self.call(call)),
            Runner::Shared(handle) => handle.block_on(self.call(call)),
        }
    }

    async fn exchange(&self, message: &Message) -> Result<(u16, Bytes)> {
        let mut connection = self.connection().await?;
        let mut headers = HeaderMap::new();
        let host = HeaderValue::from_str(&self.address).map_err(|source| Error::Unreachable(source.to_string()))?;
        headers.insert(HOST, host);
        if !message.body.is_empty() {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        let body = Bytes::copy_from_slice(&message.body);
        let call = client::Call {
            method: &message.method,
            target: &message.target,
            headers: &headers,
            body: &body,
            max_answer_bytes: MAX_ANSWER_BYTES,
            budget: &self.budget,
        };
        let answer = connection.exchange(call, |_| true).await.map_err(fault)?;
        if answer.reusable {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            if idle.len() < POOLED {
                idle.push((connection, Instant::now()));
            }
        }
        Ok((answer.status.as_u16(), answer.body))
    }

    async fn connection(&self) -> Result<Connection> {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        if let Some((connection, _)) = idle.filter(|(open, since)| since.elapsed() < IDLE && open.is_idle()) {
            return Ok(connection);
        }
        let unreachable = |reason: String| Error::Unreachable(reason);
        let address: SocketAddr = self.address.parse().map_err(|_e| unreachable("no IP:PORT".to_owned()))?;
        let limit = self.timeout / 2;
        match tokio::time::timeout(limit, Connection::open(address, self.timeout)).await {
            Ok(opened) => opened.map_err(|source| unreachable(source.to_string())),
            Err(_) => Err(unreachable(format!("no connection within {} ms", limit.as_millis()))),
        }
    }
}

impl Store for Client {
    fn read(&self, key: &str) -> Result<Option<Entry>> {
        match self.block(&Call::Read(key.to_owned()))? {
            Reply::Entry(entry) => Ok(entry),
            other => Err(unexpected(&other)),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let mut all: Vec<Entry> = Vec::new();
        loop {
            let after = all.last().map(|entry| entry.key.clone()).unwrap_or_default();
            let reply = self.block(&Call::List { prefix: prefix.to_owned(), after, stale: false })?;
            let Reply::Page { entries, more, .. } = reply else { return Err(unexpected(&reply)) };
            let done = !more || entries.is_empty();
            all.extend(entries);
            if done {
                return Ok(all);
            }
        }
    }

    fn commit(&self, changes: &[Change]) -> Result<Commit> {
        match self.block(&Call::Commit(changes.to_vec()))? {
            Reply::Done(revision) => Ok(Commit::Done(revision)),
            Reply::Conflict => Ok(Commit::Conflict),
            other => Err(unexpected(&other)),
        }
    }

    fn grant(&self, ttl: Duration) -> Result<Lease> {
        match self.block(&Call::Grant(ttl))? {
            Reply::Lease(lease) => Ok(lease),
            other => Err(unexpected(&other)),
        }
    }

    fn renew(&self, lease: Lease) -> Result<bool> {
        match self.block(&Call::Renew(lease))? {
            Reply::Renewed(there) => Ok(there),
            other => Err(unexpected(&other)),
        }
    }
}

/// An answer that fits another call: what it did is not known.
fn unexpected(reply: &Reply) -> Error {
    Error::Ambiguous(format!("the answer fits another call: {reply:?}"))
}

/// Tells a call that was never sent from one whose answer was lost.
fn fault(fault: Fault) -> Error {
    match fault {
        Fault::Unsent => Error::Unreachable(fault.to_string()),
        _ => Error::Ambiguous(fault.to_string()),
    }
}
