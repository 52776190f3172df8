//! What the headers of callers' requests say, and which of them are passed on.

use std::sync::Mutex;
use std::time::Duration;

use base::error::Kind;
use config::policy;
use h1::head;
use http::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName};

use crate::Context;
use crate::at_most_once::{self, KeyedRequest};
use crate::rejection;

/// Identifies a keyed request; the caller repeats it with each send of the request.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Identifies the session that a key belongs to; repeated with the key.
const IDEMPOTENCY_SESSION: HeaderName = HeaderName::from_static("idempotency-session");
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Returns the id of a request in logs: the one that the caller gave to this send, or a new one.
pub(super) fn request_id(context: &Context, headers: &HeaderMap) -> String {
    let given = head::text(headers, &context.dialect.request_id).filter(|_| context.dialect.caller_sets_id);
    given.map_or_else(
        || format!("{:08x}-{}", context.incarnation as u32, context.driver.next_request_number()),
        str::to_owned,
    )
}

/// Returns the path of a request as it is logged. Paths of requests that no class covers are known from nowhere else.
pub(super) fn logged_path(head: &head::Request) -> &str {
    rejection::shortened(head.path())
}

/// Returns how long the caller waits from the time when its request arrived; `None` if it does not say.
pub(super) fn caller_limit(context: &Context, headers: &HeaderMap) -> Option<Duration> {
    let milliseconds = head::text(headers, &context.dialect.deadline_ms)?;
    milliseconds.trim().parse().ok().map(Duration::from_millis)
}

/// Returns the host that the request's `Host` header names, without the port; empty if the header is missing.
pub(super) fn host(headers: &HeaderMap) -> &str {
    policy::host_name(head::text(headers, &HOST).unwrap_or_default())
}

/// Reads the headers of a keyed request. Fails if the key is missing or too long, or belongs to a session of
/// another incarnation.
pub(super) fn keyed_request(context: &Context, headers: &HeaderMap, fingerprint: u64) -> Result<KeyedRequest, Kind> {
    let key = head::text(headers, &IDEMPOTENCY_KEY).filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    let key = key.ok_or(Kind::KeyMissing)?;
    let session = head::text(headers, &IDEMPOTENCY_SESSION);
    if session.is_some_and(|session| session != context.session()) {
        // Only the incarnation that owns the session has a record of whether the key ran.
        return Err(Kind::AlreadyClaimed);
    }
    Ok(KeyedRequest {
        key: at_most_once::key_hash(session, key),
        fingerprint,
        in_session: session.is_some(),
        claim_revision: Mutex::new(None),
        earlier_response: Mutex::new(None),
    })
}

/// Returns the caller's headers that are forwarded to the backend server: all but those that frame the body, apply to
/// one hop or are set by the daemon.
pub(super) fn forwarded_headers(context: &Context, headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    let is_forwarded = |name: &HeaderName| {
        let framing = *name == CONTENT_LENGTH || *name == EXPECT;
        !framing && !head::is_hop_by_hop(name.as_str()) && !context.dialect.is_set_by_daemon(name)
    };
    for (name, value) in headers.iter().filter(|(name, _)| is_forwarded(name)) {
        forwarded.append(name, value.clone());
    }
    forwarded
}
