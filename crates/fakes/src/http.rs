//! Helpers for reading requests, answering them and serving them with `tiny_http`.

use std::io::Read;
use std::sync::Arc;
use std::thread;

use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

/// Maximum size of a request body, in bytes; the rest is not read.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Reads the body of `request`; returns an empty body if reading fails.
pub fn read_body(request: &mut Request) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut limited = request.as_reader().take(MAX_BODY_BYTES);
    match limited.read_to_end(&mut bytes) {
        Ok(_) => bytes,
        Err(_) => Vec::new(),
    }
}

/// Returns the value of the header `name`, if present.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let found = request.headers().iter().find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str())
}

/// Returns the value of the parameter `name` in the query of `url`, if present.
pub fn query_param<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns a header; panics if a text is not ASCII.
pub fn make_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).expect("header texts are ASCII")
}

/// Answers with `value` as JSON; a closed connection is ignored.
pub fn answer_json<T: Serialize>(request: Request, value: &T) {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let response = Response::from_data(text).with_header(make_header("content-type", "application/json"));
    drop(request.respond(response));
}

/// Answers with `status` and an empty body; a closed connection is ignored.
pub fn answer_status(request: Request, status: u16) {
    drop(request.respond(Response::from_data(Vec::new()).with_status_code(status)));
}

/// Calls `handler` for each request of `server`, on a new thread, until the server is unblocked.
pub fn serve<F>(server: Arc<Server>, handler: F)
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(request));
        }
    });
}
