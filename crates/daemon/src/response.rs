//! A backend server's answer, read to its end.

use bytes::Bytes;
use http::StatusCode;
use http::header::{CONTENT_ENCODING, HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::dialect::Dialect;

/// Whether an answer with this status and these headers can be the whole answer of a backend server: it must be signed, where the
/// dialect has signatures, and a success must not be encoded by a proxy, since nobody asks for an encoding.
///
/// A failure needs a signature too: callers take one that is not a server's for a word of this daemon, which tells them by its
/// status that their request is wrong, or that it did not run.
pub fn is_proven(dialect: &Dialect, status: StatusCode, headers: &HeaderMap) -> bool {
    is_signed(dialect, headers) && !(status.is_success() && headers.contains_key(CONTENT_ENCODING))
}

/// Whether an answer with these headers bears the signature of a backend server, where the dialect has signatures.
pub fn is_signed(dialect: &Dialect, headers: &HeaderMap) -> bool {
    dialect.signature.as_ref().is_none_or(|name| headers.contains_key(name))
}

/// A complete answer: status, headers and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to pass on to the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Returns the approximate memory that the answer takes, in bytes.
    pub fn bytes(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        (headers + self.body.len()) as u64
    }
}

/// A complete answer as peers send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on to the caller.
    pub headers: Vec<(String, String)>,
    /// Body, in base64 on the wire.
    pub body: store::wire::Bytes,
}

impl From<Response> for WireResponse {
    fn from(response: Response) -> Self {
        let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
        let headers = response.headers.iter().map(|(name, value)| (name.as_str().to_owned(), text(value)));
        Self {
            status: response.status.as_u16(),
            headers: headers.collect(),
            body: store::wire::Bytes(response.body.to_vec()),
        }
    }
}

/// A peer's answer has a status or header that HTTP does not allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the peer's answer has a status or header that HTTP does not allow")]
pub struct Malformed;

impl TryFrom<WireResponse> for Response {
    type Error = Malformed;

    fn try_from(wire: WireResponse) -> Result<Self, Malformed> {
        let status = h1::head::status(wire.status).filter(|status| !status.is_informational()).ok_or(Malformed)?;
        let mut headers = HeaderMap::new();
        for (name, value) in wire.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_e| Malformed)?;
            headers.append(name, HeaderValue::from_str(&value).map_err(|_e| Malformed)?);
        }
        Ok(Self { status, headers, body: wire.body.0.into() })
    }
}
