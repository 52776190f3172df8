//! Answers to callers.

use std::time::Duration;

use base::error::Kind;
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Method, StatusCode};
use serde::Serialize;

use crate::dialect::Dialect;
use crate::driver::Refusal;
use crate::response::Response;

/// An answer with its whole body.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the connection ends with it.
    pub close: bool,
}

/// The body of an error.
#[derive(Debug, Serialize)]
struct Body {
    error: &'static str,
    outcome: &'static str,
    advice: &'static str,
}

/// A time as the header gives it: whole seconds, rounded up, unless callers read fractions.
fn seconds(time: Duration, fractions: bool) -> HeaderValue {
    if fractions {
        let text = format!("{:.3}", time.as_secs_f64());
        return HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("1"));
    }
    HeaderValue::from(time.as_secs() + u64::from(time.subsec_nanos() > 0))
}

impl Reply {
    /// `value` as JSON.
    pub fn json<T: Serialize>(value: &T) -> Self {
        let (status, body) = match serde_json::to_vec(value) {
            Ok(body) => (StatusCode::OK, body),
            Err(error) => {
                log::error!("callers: answer not written reason={:?}", error.to_string());
                (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
            }
        };
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self { status, headers, body: body.into(), close: false }
    }

    /// The answer that `kind` gives.
    pub fn error(kind: Kind, dialect: &Dialect) -> Self {
        Self::refusal(kind.into(), dialect)
    }

    /// The answer to a request that no backend server answered.
    pub fn refusal(refusal: Refusal, dialect: &Dialect) -> Self {
        let Refusal { kind, retry_after } = refusal;
        let answer = kind.answer();
        let mut reply =
            Self::json(&Body { error: kind.as_str(), outcome: answer.outcome.as_str(), advice: kind.advice() });
        reply.status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        reply.close = answer.close;
        if let Some(outcome) = &dialect.outcome {
            reply.headers.insert(outcome, HeaderValue::from_static(answer.outcome.as_str()));
        }
        let usual = answer.retry_after_s.map(|seconds| Duration::from_secs(seconds.into()));
        if let Some(after) = retry_after.or(usual) {
            reply.headers.insert(RETRY_AFTER, seconds(after, dialect.fractional_retry_after));
        }
        reply
    }

    /// A backend server's whole answer.
    pub fn whole(whole: &Response, dialect: &Dialect) -> Self {
        let mut headers = whole.headers.clone();
        if let Some(outcome) = &dialect.outcome {
            headers.insert(outcome, HeaderValue::from_static("complete"));
        }
        Self { status: whole.status, headers, body: whole.body.clone(), close: false }
    }

    /// Writes the answer to a request with `method`.
    pub fn write(&self, out: &mut BytesMut, method: &Method, close: bool) {
        let bodiless = matches!(self.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let length = (!bodiless).then_some(self.body.len());
        h1::encode::response(out, self.status, &self.headers, length, close);
        if *method != Method::HEAD && !bodiless {
            out.extend_from_slice(&self.body);
        }
    }
}
