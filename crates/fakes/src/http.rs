//! Small helpers over the HTTP library.

use std::io::Read;
use std::sync::Arc;
use std::thread;

use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

/// Largest request body a stand-in reads, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Reads the body of `request`.
pub fn body(request: &mut Request) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut limited = request.as_reader().take(MAX_BODY_BYTES);
    match limited.read_to_end(&mut bytes) {
        Ok(_) => bytes,
        Err(_) => Vec::new(),
    }
}

/// The value of the header `name`, if given.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let named = request.headers().iter().find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    named.map(|header| header.value.as_str())
}

/// The value of `name` in the query of `url`, if given.
pub fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// A header made of two known-good texts.
pub fn make_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).expect("header texts are plain")
}

/// Answers with `value` as JSON; a caller that went away is ignored.
pub fn answer_json<T: Serialize>(request: Request, value: &T) {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let response = Response::from_data(text).with_header(make_header("content-type", "application/json"));
    drop(request.respond(response));
}

/// Answers with a bare status.
pub fn answer_status(request: Request, status: u16) {
    drop(request.respond(Response::from_data(Vec::new()).with_status_code(status)));
}

/// Serves each request of `server` on a thread of its own until the server is unblocked.
pub fn serve<F>(server: Arc<Server>, handle: F)
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(request));
        }
    });
}
