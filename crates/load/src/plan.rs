//! What to send, and when.

use std::time::Duration;

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Flow {
    /// Name, for the summary.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Requests a second, over all callers.
    pub per_second: f64,
    /// Whether each request carries a new idempotency key.
    pub keyed: bool,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
}

/// A load.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Entry instances to ask first, `IP:PORT`.
    pub entries: Vec<String>,
    /// Classes of requests.
    pub flows: Vec<Flow>,
    /// How long to send.
    pub duration: Duration,
    /// Callers that send; each waits for its answer before the next request.
    pub callers: usize,
    /// Longest time for one answer.
    pub timeout: Duration,
    /// Times an unanswered or not-run request is sent again, with the same key.
    pub resends: u32,
    /// Equal seeds make equal arrivals.
    pub seed: u64,
}

/// One request to come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When it should be sent, from the start.
    pub at: Duration,
    /// Its flow, by position.
    pub flow: usize,
    /// Its number.
    pub number: u64,
}

impl Plan {
    /// All arrivals in order: Poisson for each flow.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut arrivals = Vec::new();
        for (flow, spec) in self.flows.iter().enumerate() {
            if spec.per_second <= 0.0 {
                continue;
            }
            let mut at = 0.0;
            loop {
                at += -(1.0 - rng.f64()).ln() / spec.per_second;
                if at >= self.duration.as_secs_f64() {
                    break;
                }
                arrivals.push(Arrival { at: Duration::from_secs_f64(at), flow, number: 0 });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        for (number, arrival) in arrivals.iter_mut().enumerate() {
            arrival.number = number as u64;
        }
        arrivals
    }
}
