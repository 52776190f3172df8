//! The requests of a load and their times.

use std::time::Duration;

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Flow {
    /// Name in the summary.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Requests per second, over all callers; none if zero.
    pub per_second: f64,
    /// Whether each request carries a new idempotency key.
    pub keyed: bool,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
}

/// The load to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Addresses at which entry instances answer look-ups, as `IP:PORT`.
    pub lookup_addresses: Vec<String>,
    /// Classes of requests.
    pub flows: Vec<Flow>,
    /// How long to send.
    pub duration: Duration,
    /// Number of callers; each waits for its answer before it sends the next request.
    pub callers: usize,
    /// Time limit of one send, from connecting to the end of the answer.
    pub timeout: Duration,
    /// How many times at most a request is sent again, with the same key, until it has an answer that is not an error.
    pub resends: u32,
    /// Seed of the arrival times; equal seeds give equal arrivals.
    pub seed: u64,
}

/// A planned request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When it is due, since the start.
    pub at: Duration,
    /// Position of its flow in the plan.
    pub flow: usize,
    /// Its number, from zero in order of time.
    pub number: u64,
}

impl Plan {
    /// Returns all arrivals in order of time: a Poisson process for each flow.
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
