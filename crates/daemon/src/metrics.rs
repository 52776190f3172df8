//! Counters for operators, in the Prometheus form.

use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Bounds of latency buckets, in seconds.
const LATENCY_S: [f64; 14] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0];

/// All counters.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Look-ups answered.
    pub lookups: IntCounter,
    /// Requests answered, by class and result (`ok` or an error kind).
    pub requests: IntCounterVec,
    /// Time to the answer, by class, in seconds.
    pub latency: HistogramVec,
    /// Attempts, by ending.
    pub attempts: IntCounterVec,
    /// Requests that wait.
    pub queued: IntGauge,
    /// Attempts in flight.
    pub in_flight: IntGauge,
    /// Connections of callers.
    pub connections: IntGauge,
    /// Connections made to backend servers.
    pub connects: IntCounter,
    /// Revision of the policy in force.
    pub policy_revision: IntGauge,
    /// Copies of the policy that were refused.
    pub policy_refused: IntCounter,
    /// Exchanges with peers, by result.
    pub exchanges: IntCounterVec,
    /// Members believed to live, ourselves among them.
    pub members: IntGauge,
    /// Calls to the store, by purpose and result.
    pub store_calls: IntCounterVec,
    /// Slots of the region's grants held.
    pub grants: IntGauge,
    /// Answers given again from memory.
    pub replays: IntCounter,
}

impl Metrics {
    /// Registers all counters.
    pub fn new() -> Self {
        let registry = Registry::new();
        let histogram = HistogramOpts::new("hemlock_request_seconds", "Time to the answer").buckets(LATENCY_S.to_vec());
        let latency = HistogramVec::new(histogram, &["class"]).expect("the options are constant");
        register(&registry, latency.clone());
        Self {
            lookups: counter(&registry, "hemlock_lookups_total", "Look-ups answered"),
            requests: counters(&registry, "hemlock_requests_total", "Requests answered", &["class", "result"]),
            latency,
            attempts: counters(&registry, "hemlock_attempts_total", "Attempts ended", &["ending"]),
            queued: gauge(&registry, "hemlock_queued", "Requests that wait"),
            in_flight: gauge(&registry, "hemlock_in_flight", "Attempts in flight"),
            connections: gauge(&registry, "hemlock_connections", "Connections of callers"),
            connects: counter(&registry, "hemlock_backend_connects_total", "Connections made to backend servers"),
            policy_revision: gauge(&registry, "hemlock_policy_revision", "Revision of the policy in force"),
            policy_refused: counter(&registry, "hemlock_policy_refused_total", "Copies of the policy refused"),
            exchanges: counters(&registry, "hemlock_exchanges_total", "Exchanges with peers", &["result"]),
            members: gauge(&registry, "hemlock_members", "Members believed to live"),
            store_calls: counters(&registry, "hemlock_store_calls_total", "Calls to the store", &["purpose", "result"]),
            grants: gauge(&registry, "hemlock_grant_slots", "Slots of the region's grants held"),
            replays: counter(&registry, "hemlock_replays_total", "Answers given again from memory"),
            registry,
        }
    }

    /// The counters in the text form.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics: not rendered reason={:?}", error.to_string());
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn register<C: prometheus::core::Collector + 'static>(registry: &Registry, collector: C) {
    registry.register(Box::new(collector)).expect("each name is registered once");
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("the options are constant");
    register(registry, counter.clone());
    counter
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("the options are constant");
    register(registry, gauge.clone());
    gauge
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("the options are constant");
    register(registry, counters.clone());
    counters
}
