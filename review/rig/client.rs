//! What clients and the platform's checks send.

use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::deploy;
use crate::http::{self, Message};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The bytes of a request; an empty body is declared for methods that usually have one.
pub fn request(method: &str, target: &str, id: &str, deadline_ms: u64, object: u64, body: &[u8]) -> Vec<u8> {
    let host = deploy::HOST;
    let length =
        if body.is_empty() && method != "POST" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nAffinity-Key: {object}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// A request without the headers of clients, on a connection of its own; `None` without a complete answer.
pub fn get(address: &str, target: &str, host: &str) -> Option<Message> {
    let mut stream = deploy::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
    http::read(&mut BufReader::new(stream)).ok()?
}

/// Asks a directory for the addresses of `front` daemons and how long they may be used.
pub fn resolve(directory: &str, region: &str, zone: &str) -> Option<(Vec<String>, f64)> {
    let target = format!("/lookup?name={}&region={region}&zone={zone}", deploy::HOST);
    let answer = get(directory, &target, "directory").filter(|answer| answer.status() == 200)?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let list = text.split_once("\"addresses\":[")?.1.split_once(']')?.0;
    let addresses = list.split(',').map(|one| one.trim().trim_matches('"').to_owned()).collect();
    let ttl = text.split_once("\"ttl_s\":")?.1;
    let ttl: String = ttl.chars().take_while(|char| char.is_ascii_digit() || *char == '.').collect();
    Some((addresses, ttl.parse().ok()?))
}

/// One request on a connection of its own; `None` if the connection ends without a complete answer.
pub fn once(address: &str, request: &[u8], wait: Duration) -> Option<Message> {
    let mut stream = deploy::connect(address)?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.write_all(request).ok()?;
    http::read(&mut BufReader::new(stream)).ok()?
}
