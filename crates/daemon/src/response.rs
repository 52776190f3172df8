//! A whole answer of a backend server.

use bytes::Bytes;
use http::StatusCode;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// Status, headers and body, complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that concern the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Bytes of memory that the answer takes, roughly.
    pub fn bytes(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        (headers + self.body.len()) as u64
    }
}

/// A whole answer between peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that concern the caller.
    pub headers: Vec<(String, String)>,
    /// Body in base64.
    pub body: store::wire::Bytes,
}

impl From<Response> for WireResponse {
    fn from(whole: Response) -> Self {
        let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
        let headers = whole.headers.iter().map(|(name, value)| (name.as_str().to_owned(), text(value)));
        Self {
            status: whole.status.as_u16(),
            headers: headers.collect(),
            body: store::wire::Bytes(whole.body.to_vec()),
        }
    }
}

/// Why a packed answer could not be unpacked: a status or header that HTTP does not allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the peer's answer is damaged")]
pub struct Damaged;

impl TryFrom<WireResponse> for Response {
    type Error = Damaged;

    fn try_from(packed: WireResponse) -> Result<Self, Damaged> {
        let status = StatusCode::from_u16(packed.status).map_err(|_e| Damaged)?;
        let mut headers = HeaderMap::new();
        for (name, value) in packed.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_e| Damaged)?;
            headers.append(name, HeaderValue::from_str(&value).map_err(|_e| Damaged)?);
        }
        Ok(Self { status, headers, body: packed.body.0.into() })
    }
}
