//! Callers that reuse open connections and resend each request until they receive its whole answer.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use load::answer::{Ending, classify};

/// Timeout of one send, from connecting to the end of its answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of times one request is sent.
const MAX_SENDS: usize = 6;
/// Pause before a request is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(150);
/// Body of each order.
const ORDER_BODY: &[u8] = b"bale";

/// How each send of a request ended, in the order sent, by `order KEY` or `lookup KEY`.
pub type Trace = BTreeMap<String, Vec<Ending>>;

/// What a caller sends.
#[derive(Debug, Clone, Copy)]
pub enum Work<'a> {
    /// An order, to this path.
    Order(&'a str),
    /// A lookup.
    Lookup,
}

/// A caller that sends orders, which have an idempotency key and run at most once, and lookups.
#[derive(Debug)]
pub struct Caller<'a> {
    /// Entry instances, `IP:PORT`.
    pub entries: &'a [String],
    /// Paths of orders, with their queries; each caller uses one after the other.
    pub order_paths: &'a [String],
    /// Path of lookups, with its query.
    pub lookup_path: &'a str,
    /// Prefix of each of its keys.
    pub name: String,
}

impl Caller<'_> {
    /// Sends randomly chosen orders and lookups, one at a time, until `stop` is set; records how they ended in `trace`.
    pub fn run(&self, seed: u64, stop: &AtomicBool, trace: &Mutex<Trace>) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let agent = agent();
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let key = format!("{}-{number}", self.name);
            let order_path = &self.order_paths[number % self.order_paths.len()];
            let work = if rng.bool() { Work::Order(order_path) } else { Work::Lookup };
            let mut entry = rng.usize(..self.entries.len());
            let mut endings = Vec::new();
            for _ in 0..MAX_SENDS {
                let ending = self.send(&agent, &self.entries[entry], work, &key);
                endings.push(ending);
                if ending == Ending::Complete || stop.load(Ordering::Relaxed) {
                    break;
                }
                entry = (entry + 1) % self.entries.len();
                thread::sleep(RESEND_DELAY);
            }
            let prefix = if matches!(work, Work::Order(_)) { "order" } else { "lookup" };
            let mut trace = trace.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            trace.insert(format!("{prefix} {key}"), endings);
        }
    }

    /// Sends `work` to `entry` once; returns how it ended.
    pub fn send(&self, agent: &ureq::Agent, entry: &str, work: Work<'_>, key: &str) -> Ending {
        let (method, path, body) = match work {
            Work::Order(path) => ("POST", path, ORDER_BODY),
            Work::Lookup => ("GET", self.lookup_path, &b""[..]),
        };
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

/// Returns an HTTP client with its own connection pool.
pub fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .http_status_as_error(false)
        .proxy(None)
        .build();
    config.into()
}
