//! Codec for the JSON gateway of etcd v3 (`/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/*`).
//!
//! Watches are not supported: few daemons read the store, and the others receive the policy from peers
//! (`docs/design/configuration.md`).

use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call::{Call, Reply};
use crate::codec::{Codec, Message};
use crate::error::{Error, Result};
use crate::wire::{
    Bytes, Compare, Delete, GrantRequest, LeaseRequest, LeaseResponse, Number, Op, Put, RangeRequest, RangeResponse,
    RenewResponse, TxnRequest, TxnResponse, prefix_end,
};
use crate::{Change, Entry, Lease};

/// The codec of the etcd v3 JSON gateway.
pub const CODEC: Codec = Codec { encode, decode, era_header: None };

fn encode(call: &Call) -> Result<Message> {
    match call {
        Call::Read(key) => {
            message("/v3/kv/range", &RangeRequest { key: key.as_str().into(), range_end: Bytes::default() })
        }
        Call::List { prefix, .. } => {
            let range_end = Bytes(prefix_end(prefix.as_bytes()));
            message("/v3/kv/range", &RangeRequest { key: prefix.as_str().into(), range_end })
        }
        Call::Commit(changes) => {
            let (compare, success) = (changes.iter().map(compare).collect(), changes.iter().map(op).collect());
            message("/v3/kv/txn", &TxnRequest { compare, success })
        }
        Call::Grant(ttl) => message("/v3/lease/grant", &GrantRequest { ttl: Number(ttl.as_secs()) }),
        Call::Renew(lease) => message("/v3/lease/keepalive", &LeaseRequest { id: Number(lease.0) }),
        Call::Revoke(lease) => message("/v3/lease/revoke", &LeaseRequest { id: Number(lease.0) }),
        Call::Watch { .. } => Err(Error::Refused("watches are not supported by the etcd codec".to_owned())),
    }
}

fn decode(call: &Call, status: u16, body: &[u8]) -> Result<Reply> {
    match status {
        200 => {}
        400..=499 => return Err(Error::Refused(format!("status {status}"))),
        _ => return Err(Error::Ambiguous(format!("status {status}"))),
    }
    Ok(match call {
        Call::Read(_) => Reply::Entry(entries(parse(body)?).into_iter().next()),
        Call::List { .. } => {
            let response: RangeResponse = parse(body)?;
            let revision = response.header.revision.0;
            Reply::Page { entries: entries(response), more: false, revision }
        }
        Call::Commit(_) => {
            let response: TxnResponse = parse(body)?;
            if response.succeeded { Reply::Done(response.header.revision.0) } else { Reply::Conflict }
        }
        Call::Grant(_) => Reply::Lease(Lease(parse::<LeaseResponse>(body)?.id.0)),
        Call::Renew(_) => Reply::Renewed(parse::<RenewResponse>(body)?.result.ttl.0 > 0),
        Call::Revoke(_) => Reply::Renewed(false),
        Call::Watch { .. } => return Err(Error::Refused("watches are not supported by the etcd codec".to_owned())),
    })
}

fn message<T: Serialize>(path: &str, body: &T) -> Result<Message> {
    let body = serde_json::to_vec(body).map_err(|source| Error::Refused(source.to_string()))?;
    Ok(Message { method: Method::POST, target: path.to_owned(), body })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|source| Error::Ambiguous(source.to_string()))
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
