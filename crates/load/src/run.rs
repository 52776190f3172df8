//! Sending a plan.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::answer::{Ending, classify};
use crate::plan::{Arrival, Plan};
use crate::tally::Tally;

/// Time to make a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// Sends `plan` until it is through or `stop` is set; gives a tally for each flow.
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

/// One caller: it keeps the look-up's answer as long as it may, and goes down the list when an entry fails it.
struct Caller<'a> {
    plan: &'a Plan,
    agent: ureq::Agent,
    client: String,
    entries: Vec<String>,
    kept_until: Instant,
    tallies: BTreeMap<String, Tally>,
}

impl<'a> Caller<'a> {
    fn new(plan: &'a Plan, number: usize) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(plan.timeout))
            .timeout_connect(Some(CONNECT))
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .build();
        let client = format!("10.{}.{}.{}", 1 + number % 3, (number / 3) % 250, 1 + number % 200);
        let kept_until = Instant::now();
        Self { plan, agent: config.into(), client, entries: Vec::new(), kept_until, tallies: BTreeMap::new() }
    }

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

    fn send_once(&mut self, arrival: &Arrival, echo: &str, turn: usize) -> Ending {
        self.look_up(arrival.number as usize + turn);
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
            Err(error) => broken(&error),
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

    /// Asks for entry instances if the last answer is too old; keeps it if nobody answers.
    fn look_up(&mut self, turn: usize) {
        if Instant::now() < self.kept_until {
            return;
        }
        let known = self.plan.entries.len();
        for step in 0..known {
            let entry = &self.plan.entries[(turn + step) % known];
            let url = format!("http://{entry}/lookup?client={}", self.client);
            let read = self.agent.get(&url).call().and_then(|mut response| response.body_mut().read_to_vec());
            let Some(answer) = read.ok().and_then(|bytes| serde_json::from_slice::<Value>(&bytes).ok()) else {
                continue;
            };
            let addresses = answer["entries"].as_array().into_iter().flatten();
            let found: Vec<String> =
                addresses.filter_map(|entry| Some(entry["address"].as_str()?.to_owned())).collect();
            if !found.is_empty() {
                self.entries = found;
                let ttl = answer["ttl_s"].as_u64().unwrap_or(1);
                self.kept_until = Instant::now() + Duration::from_secs(ttl);
                return;
            }
        }
    }
}

fn broken(error: &ureq::Error) -> Ending {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => Ending::Refused,
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => Ending::Refused,
        _ => Ending::Broken,
    }
}
