//! Sends a plan.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::answer::{Ending, classify};
use crate::plan::{Arrival, Plan};
use crate::tally::Tally;

/// Time limit of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends `plan` until it is finished or `stop` is set, and returns a tally for each flow that sent requests.
pub fn run(plan: &Plan, stop: &AtomicBool) -> BTreeMap<String, Tally> {
    let arrivals = plan.arrivals();
    let next = AtomicUsize::new(0);
    let merged: Mutex<BTreeMap<String, Tally>> = Mutex::new(BTreeMap::new());
    let start = Instant::now();
    thread::scope(|scope| {
        for number in 0..plan.callers {
            let (arrivals, next, merged) = (&arrivals, &next, &merged);
            scope.spawn(move || {
                let mut caller = Caller::new(plan, number);
                while let Some(arrival) = arrivals.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    thread::sleep(arrival.at.saturating_sub(start.elapsed()));
                    caller.send(arrival, start);
                }
                let mut merged = merged.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                for (name, tally) in caller.tallies {
                    merged.entry(name).or_default().add(&tally);
                }
            });
        }
    });
    merged.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A caller, which uses a look-up's answer until its TTL ends, and goes on to the next entry instance of the list after
/// each send that failed.
struct Caller<'a> {
    plan: &'a Plan,
    agent: ureq::Agent,
    client: String,
    entries: Vec<String>,
    lookup_expires_at: Instant,
    tallies: BTreeMap<String, Tally>,
}

impl<'a> Caller<'a> {
    fn new(plan: &'a Plan, number: usize) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(plan.timeout))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .build();
        let client = format!("10.{}.{}.{}", 1 + number % 3, (number / 3) % 250, 1 + number % 200);
        let lookup_expires_at = Instant::now();
        Self { plan, agent: config.into(), client, entries: Vec::new(), lookup_expires_at, tallies: BTreeMap::new() }
    }

    /// Sends a request, and again until the answer is complete or the resends are used up; tallies the last result.
    fn send(&mut self, arrival: &Arrival, start: Instant) {
        let echo = format!("{:x}-{}", self.plan.seed, arrival.number);
        let mut ending = Ending::Refused;
        let mut sends = 0;
        while sends <= self.plan.resends {
            ending = self.send_once(arrival, &echo, sends as usize);
            if matches!(ending, Ending::Complete | Ending::Foreign) {
                break;
            }
            sends += 1;
            if !self.entries.is_empty() {
                self.entries.rotate_left(1);
            }
        }
        let latency = start.elapsed().saturating_sub(arrival.at);
        let name = &self.plan.flows[arrival.flow].name;
        let resends = sends.min(self.plan.resends);
        self.tallies.entry(name.clone()).or_default().record(ending, latency, resends);
    }

    fn send_once(&mut self, arrival: &Arrival, echo: &str, offset: usize) -> Ending {
        self.look_up(arrival.number as usize + offset);
        let Some(entry) = self.entries.first() else {
            return Ending::Refused;
        };
        let flow = &self.plan.flows[arrival.flow];
        let body = vec![b'x'; flow.body_bytes];
        let mut builder = ureq::http::Request::builder()
            .method(flow.method.as_str())
            .uri(format!("http://{entry}{}", flow.path))
            .header("x-echo", echo);
        if flow.keyed {
            builder = builder.header("idempotency-key", echo);
        }
        let Ok(request) = builder.body(body.clone()) else {
            return Ending::Refused;
        };
        let request = self.agent.configure_request(request).allow_non_standard_methods(true).build();
        match self.agent.run(request) {
            Err(error) => failure(&error),
            Ok(mut response) => {
                let outcome = response.headers().get("x-outcome").and_then(|value| value.to_str().ok());
                let outcome = outcome.unwrap_or_default().to_owned();
                match response.body_mut().with_config().limit(1 << 30).read_to_vec() {
                    Ok(answer) => classify(&outcome, &answer, echo, &body),
                    Err(_) => Ending::Broken,
                }
            }
        }
    }

    /// Looks up the entry instances if the last answer has expired, and keeps that answer if no instance answers. The
    /// search starts at the instance that `offset` gives.
    fn look_up(&mut self, offset: usize) {
        if Instant::now() < self.lookup_expires_at {
            return;
        }
        let count = self.plan.lookup_addresses.len();
        for step in 0..count {
            let address = &self.plan.lookup_addresses[(offset + step) % count];
            let url = format!("http://{address}/lookup?client={}", self.client);
            let body = self.agent.get(&url).call().and_then(|mut response| response.body_mut().read_to_vec());
            let Some(answer) = body.ok().and_then(|bytes| serde_json::from_slice::<Value>(&bytes).ok()) else {
                continue;
            };
            let entries = answer["entries"].as_array().into_iter().flatten();
            let found: Vec<String> = entries.filter_map(|entry| Some(entry["address"].as_str()?.to_owned())).collect();
            if !found.is_empty() {
                self.entries = found;
                let ttl = answer["ttl_s"].as_u64().unwrap_or(1);
                self.lookup_expires_at = Instant::now() + Duration::from_secs(ttl);
                return;
            }
        }
    }
}

/// Classifies a send that got no answer.
fn failure(error: &ureq::Error) -> Ending {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => Ending::Refused,
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => Ending::Refused,
        _ => Ending::Broken,
    }
}
