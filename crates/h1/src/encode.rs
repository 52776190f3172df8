//! Encoding of heads.

use bytes::{BufMut as _, BytesMut};
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Method, StatusCode};

/// Writes the head of a request whose body has `length` bytes; an empty body is declared only if requests with `method`
/// usually have one.
pub fn request(out: &mut BytesMut, method: &Method, target: &str, headers: &HeaderMap, length: usize) {
    out.reserve(256);
    out.put_slice(method.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(target.as_bytes());
    out.put_slice(b" HTTP/1.1\r\n");
    header_lines(out, headers);
    if length > 0 || matches!(*method, Method::POST | Method::PUT | Method::PATCH) {
        content_length(out, length);
    }
    out.put_slice(b"\r\n");
}

/// Writes the head of an answer whose body has `length` bytes; `None` if its status allows no body. `close`
/// announces that the connection is closed after the answer.
pub fn response(out: &mut BytesMut, status: StatusCode, headers: &HeaderMap, length: Option<usize>, close: bool) {
    out.reserve(256);
    let reason = status.canonical_reason().unwrap_or("Unknown");
    out.put_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    header_lines(out, headers);
    if let Some(length) = length {
        content_length(out, length);
    }
    if close {
        out.put_slice(b"connection: close\r\n");
    }
    out.put_slice(b"\r\n");
}

/// Writes `headers` except those that frame a body: the message must have only the framing that this module writes.
fn header_lines(out: &mut BytesMut, headers: &HeaderMap) {
    let framing = [CONTENT_LENGTH, TRANSFER_ENCODING];
    for (name, value) in headers.iter().filter(|(name, _)| !framing.contains(name)) {
        out.put_slice(name.as_str().as_bytes());
        out.put_slice(b": ");
        out.put_slice(value.as_bytes());
        out.put_slice(b"\r\n");
    }
}

fn content_length(out: &mut BytesMut, length: usize) {
    out.put_slice(format!("{CONTENT_LENGTH}: {length}\r\n").as_bytes());
}
