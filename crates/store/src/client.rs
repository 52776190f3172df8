//! HTTP client of the store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use h1::client::{self, Connection, Fault};
use h1::{Budget, Payload};
use http::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use tokio::runtime::{Builder, Handle, Runtime};

use crate::call::{Answer, Call, Reply};
use crate::codec::{Codec, Message};
use crate::error::{Error, Result};
use crate::{Change, Commit, Entry, Lease, Pages, Store, etcd};

/// Largest answer accepted from the store, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Memory for all answers that are being read at the same time, in bytes.
const ANSWER_BUDGET_BYTES: usize = 16 << 20;
/// Longest time for which an idle connection is kept: one that went silent meanwhile would cost the next call its timeout.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Maximum number of idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// The runtime that drives the sockets of blocking calls.
#[derive(Debug)]
enum Runner {
    Own(Runtime),
    Shared(Handle),
}

/// A client of the store, which threads can share.
#[derive(Debug)]
pub struct Client {
    codec: Codec,
    address: String,
    timeout: Duration,
    runner: Runner,
    idle: Mutex<Vec<(Connection, Instant)>>,
    calls: AtomicU64,
    /// The latest era that an answer named.
    era: AtomicU64,
    /// When the store last answered, whatever its status; `None` if it never did.
    answered_at: Mutex<Option<Instant>>,
    budget: Budget,
}

impl Client {
    /// Creates a client of the etcd store at `address` (`IP:PORT`) with a runtime thread of its own; each call ends
    /// within `timeout`.
    pub fn new(address: &str, timeout: Duration) -> Result<Self> {
        let built = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = built.map_err(|source| Error::Unreachable(source.to_string()))?;
        Ok(Self::with_runner(etcd::CODEC, address, timeout, Runner::Own(runtime)))
    }

    /// Creates a client of the store at `address` (`IP:PORT`) with the wire protocol `codec`; `runtime` drives its
    /// sockets, and each call ends within `timeout`, a watch within its wait in addition.
    pub fn with_runtime(codec: Codec, address: &str, timeout: Duration, runtime: Handle) -> Self {
        Self::with_runner(codec, address, timeout, Runner::Shared(runtime))
    }

    fn with_runner(codec: Codec, address: &str, timeout: Duration, runner: Runner) -> Self {
        let address = address.to_owned();
        let (idle, budget) = (Mutex::new(Vec::new()), Budget::new(ANSWER_BUDGET_BYTES));
        let (calls, era) = (AtomicU64::new(0), AtomicU64::new(0));
        Self { codec, address, timeout, runner, idle, calls, era, answered_at: Mutex::new(None), budget }
    }

    /// Returns the number of calls made since the client was created.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the latest era that an answer of the store named, whatever its status; zero before the first.
    pub fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Returns the time since the store last answered a call, whatever its status; `None` if it never did.
    pub fn silent_for(&self) -> Option<Duration> {
        let answered_at = *self.answered_at.lock().unwrap_or_else(PoisonError::into_inner);
        answered_at.map(|at| at.elapsed())
    }

    /// Makes a call; it ends within the client's timeout, plus the wait for a watch.
    ///
    /// An answer from before the latest era known is an error: the store may have lost what it says.
    pub async fn call(&self, call: &Call) -> Result<Answer> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let message = (self.codec.encode)(call)?;
        let wait = if let Call::Watch { wait, .. } = call { *wait } else { Duration::ZERO };
        let limit = self.timeout + wait;
        let known = self.era();
        let exchange = self.exchange(&message);
        let (status, named, body) = match tokio::time::timeout(limit, exchange).await {
            Ok(done) => done?,
            Err(_) => return Err(Error::Ambiguous(format!("no answer within {} ms", limit.as_millis()))),
        };
        let (era, newest) = (named.unwrap_or(known), self.era());
        if era < newest {
            return Err(Error::Outdated { era, newest });
        }
        (self.codec.decode)(call, status, &body).map(|reply| Answer { era, reply })
    }

    /// Drops the idle connections, so that the next call opens a new one.
    pub fn reconnect(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Makes a call and blocks this thread until it ends.
    fn call_blocking(&self, call: &Call) -> Result<Reply> {
        match &self.runner {
            Runner::Own(runtime) => runtime.block_on(self.call(call)),
            Runner::Shared(handle) => handle.block_on(self.call(call)),
        }
        .map(|answer| answer.reply)
    }

    async fn exchange(&self, message: &Message) -> Result<(u16, Option<u64>, Bytes)> {
        let mut connection = self.connection().await?;
        let mut headers = HeaderMap::new();
        let host = HeaderValue::from_str(&self.address).map_err(|source| Error::Unreachable(source.to_string()))?;
        headers.insert(HOST, host);
        if !message.body.is_empty() {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        let body = Payload::from(Bytes::copy_from_slice(&message.body));
        let call = client::Call {
            method: &message.method,
            target: &message.target,
            headers: &headers,
            body: &body,
            max_answer_bytes: MAX_ANSWER_BYTES,
            budget: &self.budget,
        };
        let answer = connection.exchange(call, |_| true).await.map_err(to_error)?;
        *self.answered_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        if answer.reusable {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push((connection, Instant::now()));
            }
        }
        let era = self.observe_era(&answer.headers);
        Ok((answer.status.as_u16(), era, answer.body))
    }

    /// Records the era that an answer names, and returns it; `None` if it names none.
    fn observe_era(&self, headers: &HeaderMap) -> Option<u64> {
        let value = self.codec.era_header.and_then(|name| headers.get(name))?;
        let era = value.to_str().ok().and_then(|text| text.trim().parse().ok());
        match era {
            Some(era) => {
                self.era.fetch_max(era, Ordering::Relaxed);
            }
            None => log::warn!("store: era is not a number value={value:?}"),
        }
        era
    }

    async fn connection(&self) -> Result<Connection> {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        if let Some((connection, _)) = idle.filter(|(open, since)| since.elapsed() < MAX_IDLE && open.is_idle()) {
            return Ok(connection);
        }
        let unreachable = |reason: String| Error::Unreachable(reason);
        let address: SocketAddr =
            self.address.parse().map_err(|_e| unreachable("its address is not IP:PORT".to_owned()))?;
        let limit = self.timeout / 2;
        match tokio::time::timeout(limit, Connection::open(address, self.timeout)).await {
            Ok(opened) => opened.map_err(|source| unreachable(source.to_string())),
            Err(_) => Err(unreachable(format!("no connection within {} ms", limit.as_millis()))),
        }
    }
}

impl Store for Client {
    fn read(&self, key: &str) -> Result<Option<Entry>> {
        match self.call_blocking(&Call::Read(key.to_owned()))? {
            Reply::Entry(entry) => Ok(entry),
            other => Err(unexpected(&other)),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let mut pages = Pages::new();
        while let Some(after) = pages.next().map(str::to_owned) {
            let reply = self.call_blocking(&Call::List { prefix: prefix.to_owned(), after, stale: false })?;
            let Reply::Page { entries, more, .. } = reply else { return Err(unexpected(&reply)) };
            pages.add(entries, more).map_err(|fault| Error::Ambiguous(fault.to_string()))?;
        }
        match pages.into_parts() {
            (entries, gaps) if gaps.is_empty() => Ok(entries),
            (_, gaps) => Err(Error::Ambiguous(format!("the list lacks keys: {gaps:?}"))),
        }
    }

    fn commit(&self, changes: &[Change]) -> Result<Commit> {
        match self.call_blocking(&Call::Commit(changes.to_vec()))? {
            Reply::Done(revision) => Ok(Commit::Done(revision)),
            Reply::Conflict => Ok(Commit::Conflict),
            other => Err(unexpected(&other)),
        }
    }

    fn grant(&self, ttl: Duration) -> Result<Lease> {
        match self.call_blocking(&Call::Grant(ttl))? {
            Reply::Lease(lease) => Ok(lease),
            other => Err(unexpected(&other)),
        }
    }

    fn renew(&self, lease: Lease) -> Result<bool> {
        match self.call_blocking(&Call::Renew(lease))? {
            Reply::Renewed(exists) => Ok(exists),
            other => Err(unexpected(&other)),
        }
    }
}

/// Returns the error for a reply to another kind of call: whether the call took effect is unknown.
fn unexpected(reply: &Reply) -> Error {
    Error::Ambiguous(format!("unexpected reply: {reply:?}"))
}

/// Distinguishes a call that was never sent from one whose answer was lost.
fn to_error(fault: Fault) -> Error {
    match fault {
        Fault::Unsent => Error::Unreachable(fault.to_string()),
        _ => Error::Ambiguous(fault.to_string()),
    }
}
