//! Encoding of calls for the wire protocol of one kind of store.

use http::Method;

use crate::call::{Call, Reply};
use crate::error::Result;

/// A call as an HTTP request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// JSON, or empty.
    pub body: Vec<u8>,
}

/// The wire protocol of one kind of store.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Encodes a call.
    pub encode: fn(&Call) -> Result<Message>,
    /// Decodes the answer to a call from its status and body.
    pub decode: fn(&Call, u16, &[u8]) -> Result<Reply>,
    /// Header that names the store's era in every answer; `None` if the store names no era.
    pub era_header: Option<&'static str>,
}
