//! Replies to callers.

use std::time::Duration;

use base::error::Kind;
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Method, StatusCode};
use serde::Serialize;

use crate::dialect::Dialect;
use crate::driver::Refusal;
use crate::response::Response;

/// Who made a reply's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A backend server: the reply is its whole answer.
    Server,
    /// This daemon, which answered a look-up.
    LookUp,
    /// This daemon, in place of a backend server's answer, for an error of this kind.
    Error(Kind),
}

impl Source {
    /// Returns the name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Server => "server",
            Self::LookUp => "look-up",
            Self::Error(_) => "error",
        }
    }

    /// Returns the kind of error in metrics; a dash for an answer.
    pub const fn error_kind(self) -> &'static str {
        match self {
            Self::Error(kind) => kind.as_str(),
            Self::Server | Self::LookUp => "-",
        }
    }
}

/// A reply with a complete body.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Who made the content.
    pub source: Source,
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers, without those that frame the body.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the connection is closed after this reply.
    pub close: bool,
}

/// The JSON body of an error reply.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: &'static str,
    outcome: &'static str,
    advice: &'static str,
}

/// Returns the value of `Retry-After`: whole seconds, rounded up, or seconds with three decimals if callers accept
/// fractions.
fn retry_after_value(time: Duration, fractions: bool) -> HeaderValue {
    if fractions {
        let text = format!("{:.3}", time.as_secs_f64());
        return HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("1"));
    }
    HeaderValue::from(time.as_secs() + u64::from(time.subsec_nanos() > 0))
}

impl Reply {
    /// Returns the reply to a look-up: `answer` as JSON.
    pub fn look_up<T: Serialize>(answer: &T) -> Self {
        Self::json(answer, Source::LookUp)
    }

    /// Returns a reply with `value` as JSON and status 200, or status 500 if `value` cannot be serialized.
    fn json<T: Serialize>(value: &T, source: Source) -> Self {
        let (status, body) = match serde_json::to_vec(value) {
            Ok(body) => (StatusCode::OK, body),
            Err(error) => {
                log::error!("callers: answer not serialized reason={:?}", error.to_string());
                (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
            }
        };
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self { source, status, headers, body: body.into(), close: false }
    }

    /// Returns the reply for an error of `kind`.
    pub fn error(kind: Kind, dialect: &Dialect) -> Self {
        Self::refusal(kind.into(), dialect)
    }

    /// Returns the reply to a request that no backend server answered.
    pub fn refusal(refusal: Refusal, dialect: &Dialect) -> Self {
        let Refusal { kind, retry_after } = refusal;
        let answer = kind.answer();
        let body = ErrorBody { error: kind.as_str(), outcome: answer.outcome.as_str(), advice: kind.advice() };
        let mut reply = Self::json(&body, Source::Error(kind));
        reply.status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        reply.close = answer.close;
        if let Some(outcome) = &dialect.outcome {
            reply.headers.insert(outcome, HeaderValue::from_static(answer.outcome.as_str()));
        }
        let default_after = answer.retry_after_s.map(|seconds| Duration::from_secs(seconds.into()));
        if let Some(after) = retry_after.or(default_after) {
            reply.headers.insert(RETRY_AFTER, retry_after_value(after, dialect.fractional_retry_after));
        }
        reply
    }

    /// Returns the reply that passes a backend server's response on to the caller.
    pub fn from_response(response: &Response, dialect: &Dialect) -> Self {
        let mut headers = response.headers.clone();
        if let Some(outcome) = &dialect.outcome {
            headers.insert(outcome, HeaderValue::from_static("complete"));
        }
        Self { source: Source::Server, status: response.status, headers, body: response.body.clone(), close: false }
    }

    /// Appends this reply to `out` as the response to a request with `method`; `close` announces that the connection
    /// ends.
    pub fn write(&self, out: &mut BytesMut, method: &Method, close: bool) {
        let has_no_body = matches!(self.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let length = (!has_no_body).then_some(self.body.len());
        h1::encode::response(out, self.status, &self.headers, length, close);
        if *method != Method::HEAD && !has_no_body {
            out.extend_from_slice(&self.body);
        }
    }
}
