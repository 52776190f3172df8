//! Callers that keep using open connections and send an order again until it is answered whole.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use load::answer::{Ending, classify};

/// Longest time for one answer.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time for a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Sends of one order at most.
const SENDS: usize = 6;
/// Pause before it is sent again.
const PAUSE: Duration = Duration::from_millis(150);
/// Body of each order.
const BODY: &[u8] = b"bale";

/// What each key's sends came to, in order.
pub type Trace = BTreeMap<String, Vec<Ending>>;

/// One caller.
#[derive(Debug)]
pub struct Caller<'a> {
    /// Entry instances, `IP:PORT`.
    pub entries: &'a [String],
    /// Path of orders, with its query.
    pub orders: &'a str,
    /// Path of lookups, with its query.
    pub lookups: &'a str,
    /// Begins each of its keys.
    pub name: String,
}

impl Caller<'_> {
    /// Sends orders and lookups by turns until `stop`; notes them in `trace`.
    pub fn run(&self, seed: u64, stop: &AtomicBool, trace: &Mutex<Trace>) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let agent = agent();
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let key = format!("{}-{number}", self.name);
            let order = rng.bool();
            let mut at = rng.usize(..self.entries.len());
            let mut endings = Vec::new();
            for _ in 0..SENDS {
                let ending = self.send(&agent, &self.entries[at], order, &key);
                endings.push(ending);
                if ending == Ending::Complete || stop.load(Ordering::Relaxed) {
                    break;
                }
                at = (at + 1) % self.entries.len();
                thread::sleep(PAUSE);
            }
            let prefix = if order { "order" } else { "lookup" };
            let mut trace = trace.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            trace.insert(format!("{prefix} {key}"), endings);
        }
    }

    /// Sends once.
    pub fn send(&self, agent: &ureq::Agent, entry: &str, order: bool, key: &str) -> Ending {
        let (method, path, body) = if order { ("POST", self.orders, BODY) } else { ("GET", self.lookups, &b""[..]) };
        let builder = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("x-echo", key)
            .header("idempotency-key", key);
        let Ok(request) = builder.body(body.to_vec()) else { return Ending::Refused };
        let request = agent.configure_request(request).allow_non_standard_methods(true).build();
        match agent.run(request) {
            Err(ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect)) => Ending::Refused,
            Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => Ending::Refused,
            Err(_) => Ending::Broken,
            Ok(mut response) => {
                let outcome = response.headers().get("x-outcome").and_then(|value| value.to_str().ok());
                let outcome = outcome.unwrap_or_default().to_owned();
                match response.body_mut().read_to_vec() {
                    Ok(answer) => classify(&outcome, &answer, key, body),
                    Err(_) => Ending::Broken,
                }
            }
        }
    }
}

/// A client with connections of its own.
pub fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .timeout_connect(Some(CONNECT))
        .http_status_as_error(false)
        .proxy(None)
        .build();
    config.into()
}
