//! The store over HTTP.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::wire::{
    Bytes, Compare, Delete, GrantRequest, LeaseRequest, LeaseResponse, Number, Op, Put, RangeRequest, RangeResponse,
    RenewResponse, TxnRequest, TxnResponse, prefix_end,
};
use crate::{Change, Commit, Entry, Lease, Store};

/// Largest answer taken from the store, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// A client of the store; cheap to share between threads.
#[derive(Debug)]
pub struct Client {
    agent: ureq::Agent,
    base: String,
    calls: AtomicU64,
}

impl Client {
    /// A client of the store at `address` (`IP:PORT`); each call ends within `timeout`.
    pub fn new(address: &str, timeout: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(timeout))
            .timeout_connect(Some(timeout / 2))
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .build();
        Self { agent: config.into(), base: format!("http://{address}"), calls: AtomicU64::new(0) }
    }

    /// Calls made since the start.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    fn call<Q: Serialize, A: DeserializeOwned>(&self, path: &str, request: &Q) -> Result<A> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let body = serde_json::to_vec(request).map_err(|source| Error::Refused(source.to_string()))?;
        let url = format!("{}{path}", self.base);
        let sent = self.agent.post(url).header("content-type", "application/json").send(&body[..]);
        let mut response = sent.map_err(|source| classify(&source))?;
        let read = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
        let bytes = read.map_err(|source| Error::Ambiguous(source.to_string()))?;
        let status = response.status().as_u16();
        match status {
            200 => serde_json::from_slice(&bytes).map_err(|source| Error::Ambiguous(source.to_string())),
            400..=499 => Err(Error::Refused(format!("status {status}"))),
            _ => Err(Error::Ambiguous(format!("status {status}"))),
        }
    }
}

impl Store for Client {
    fn read(&self, key: &str) -> Result<Option<Entry>> {
        let request = RangeRequest { key: key.into(), range_end: Bytes::default() };
        let response: RangeResponse = self.call("/v3/kv/range", &request)?;
        Ok(entries(response).into_iter().next())
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let range_end = Bytes(prefix_end(prefix.as_bytes()));
        let response: RangeResponse = self.call("/v3/kv/range", &RangeRequest { key: prefix.into(), range_end })?;
        Ok(entries(response))
    }

    fn commit(&self, changes: &[Change]) -> Result<Commit> {
        let request =
            TxnRequest { compare: changes.iter().map(compare).collect(), success: changes.iter().map(op).collect() };
        let response: TxnResponse = self.call("/v3/kv/txn", &request)?;
        if response.succeeded {
            return Ok(Commit::Done(response.header.revision.0));
        }
        Ok(Commit::Conflict)
    }

    fn grant(&self, ttl: Duration) -> Result<Lease> {
        let response: LeaseResponse = self.call("/v3/lease/grant", &GrantRequest { ttl: Number(ttl.as_secs()) })?;
        Ok(Lease(response.id.0))
    }

    fn renew(&self, lease: Lease) -> Result<bool> {
        let response: RenewResponse = self.call("/v3/lease/keepalive", &LeaseRequest { id: Number(lease.0) })?;
        Ok(response.result.ttl.0 > 0)
    }
}

fn compare(change: &Change) -> Compare {
    Compare {
        key: change.key.as_str().into(),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: Number(change.expect),
    }
}

fn op(change: &Change) -> Op {
    let key = Bytes::from(change.key.as_str());
    match &change.value {
        Some(value) => {
            let lease = Number(change.lease.map_or(0, |lease| lease.0));
            Op { request_put: Some(Put { key, value: Bytes(value.clone()), lease }), request_delete_range: None }
        }
        None => Op { request_put: None, request_delete_range: Some(Delete { key }) },
    }
}

fn entries(response: RangeResponse) -> Vec<Entry> {
    let entry = |kv: crate::wire::KeyValue| {
        let key = String::from_utf8(kv.key.0).ok()?;
        Some(Entry { key, value: kv.value.0, revision: kv.mod_revision.0 })
    };
    response.kvs.into_iter().filter_map(entry).collect()
}

/// Tells a call that was never sent from one whose answer was lost.
fn classify(source: &ureq::Error) -> Error {
    let text = source.to_string();
    match source {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => Error::Unreachable(text),
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => Error::Unreachable(text),
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => Error::Unreachable(text),
        _ => Error::Ambiguous(text),
    }
}
