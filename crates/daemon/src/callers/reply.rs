//! Answers to callers.

use std::sync::Arc;

use base::error::Kind;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::whole::Whole;

/// Says what a caller may conclude: `complete`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";

/// An answer with its whole body.
pub type Reply = Response<Full<Bytes>>;

/// The body of an error.
#[derive(Debug, Serialize)]
struct Body {
    error: &'static str,
    outcome: &'static str,
    advice: &'static str,
}

/// The answer that `kind` gives.
pub fn error(kind: Kind) -> Reply {
    let answer = kind.answer();
    let body = Body { error: kind.as_str(), outcome: answer.outcome.as_str(), advice: kind.advice() };
    let mut reply = json(&body);
    *reply.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = reply.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(answer.outcome.as_str()));
    if let Some(seconds) = answer.retry_after_s {
        headers.insert(RETRY_AFTER, seconds.into());
    }
    if answer.close {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// A backend server's whole answer.
pub fn whole(whole: &Arc<Whole>) -> Reply {
    let mut reply = Response::new(Full::new(whole.body.clone()));
    *reply.status_mut() = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &whole.headers {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            reply.headers_mut().append(name, value);
        }
    }
    reply.headers_mut().insert(OUTCOME, HeaderValue::from_static("complete"));
    reply
}

/// `value` as JSON.
pub fn json<T: Serialize>(value: &T) -> Reply {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = Response::new(Full::new(text.into()));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}
