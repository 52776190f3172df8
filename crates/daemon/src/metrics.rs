//! Metrics for operators, in the Prometheus text format.

use prometheus::{
    Encoder as _, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0];

/// All metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Look-ups answered.
    pub lookups: IntCounter,
    /// Look-ups whose answers name no entry instance of the caller's region.
    pub lookups_elsewhere: IntCounter,
    /// Requests that reached another backend server than the one they were sent to.
    pub misdirected: IntCounter,
    /// Replies on connections of callers, by what the address is for, who made the reply, and the class of its status.
    pub replies: IntCounterVec,
    /// Replies with a status 3xx or 4xx, by what the address is for, who made the reply, whether a backend server signed it, the
    /// kind of error and the status.
    pub rejections: IntCounterVec,
    /// Requests answered, by class and result (`ok` or an error kind).
    pub requests: IntCounterVec,
    /// Requests answered, by client account and result.
    pub account_requests: IntCounterVec,
    /// Time from a request's arrival to its answer, by class, in seconds.
    pub latency: HistogramVec,
    /// Time from a request's arrival to its first attempt, in seconds.
    pub wait_time: Histogram,
    /// Attempts started, by whether the request was sent before and whether the server has handled its object lately.
    pub sends: IntCounterVec,
    /// Attempts ended, by ending.
    pub attempts: IntCounterVec,
    /// Duration of an attempt, by ending, in seconds.
    pub attempt_time: HistogramVec,
    /// Ejections of backend servers.
    pub ejections: IntCounter,
    /// Announcements of backend servers that they leave, made before the list showed it.
    pub servers_leaving: IntCounter,
    /// Answers by which backend servers announced a pause.
    pub servers_paused: IntCounter,
    /// Changes of the rate limits of backend servers.
    pub servers_rate_limited: IntCounter,
    /// Stalls of the process.
    pub stalls: IntCounter,
    /// Bytes of bodies to and from backend servers of other regions, by direction.
    pub remote_bytes: IntCounterVec,
    /// Requests that wait for a backend server.
    pub queued: IntGauge,
    /// Attempts in flight.
    pub in_flight: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Connections of callers that were closed to make room for new ones.
    pub connections_displaced: IntCounter,
    /// Requests refused, and connections dropped, because the memory for callers was used up.
    pub memory_refusals: IntCounter,
    /// Bytes that callers make the daemon hold.
    pub caller_memory: IntGauge,
    /// Callers that disconnected before they were answered.
    pub callers_disconnected: IntCounter,
    /// Connections made to backend servers.
    pub backend_connects: IntCounter,
    /// Connections to backend servers that failed or were not established in time, by failure domain.
    pub backend_connects_failed: IntCounterVec,
    /// Requests that were passed on to other entry instances, by result.
    pub relayed: IntCounterVec,
    /// Whether this daemon reaches no backend server: 0 or 1.
    pub without_servers: IntGauge,
    /// Revision of the policy in force; zero for the policy of the settings.
    pub policy_revision: IntGauge,
    /// Policy documents that were refused.
    pub policy_refused: IntCounter,
    /// Whether the policy in force is too old to run requests by the regions that it names.
    pub policy_expired: IntGauge,
    /// Items of the policy in force that cannot be used or are unknown.
    pub policy_passed_over: IntGauge,
    /// Entries of backend servers that cannot be used.
    pub servers_passed_over: IntGauge,
    /// Exchanges with peers, by result.
    pub exchanges: IntCounterVec,
    /// Live members of the fleet as known here, this daemon included.
    pub members: IntGauge,
    /// Calls to the store, by purpose and result.
    pub store_calls: IntCounterVec,
    /// Lists of all keys that were read from the store.
    pub store_lists: IntCounter,
    /// The store's era; zero if it names none.
    pub store_era: IntGauge,
    /// Time since the store last answered, in seconds.
    pub store_age: Gauge,
    /// Time since the mirror of the store was last known to be complete, in seconds.
    pub mirror_age: Gauge,
    /// Times that this daemon asked the store itself because its source left it with data that is too old.
    pub mirror_catch_ups: IntCounter,
    /// Time since the list of backend servers was last read or changed, in seconds.
    pub list_age: Gauge,
    /// Time since a peer last answered, in seconds.
    pub peers_age: Gauge,
    /// Live members that have sent this daemon no message themselves for longer than a threshold, by threshold in seconds.
    pub silent_peers: IntGaugeVec,
    /// Log lines left out since the start.
    pub log_lines_left_out: IntGauge,
    /// Slots of the region's grants held.
    pub grant_slots: IntGauge,
    /// Answers replayed from memory to a caller that sent its request again.
    pub replays: IntCounter,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            lookups: counter(&registry, "hemlock_lookups_total", "Look-ups answered"),
            lookups_elsewhere: counter(&registry, "hemlock_lookups_elsewhere_total", "Naming other regions"),
            misdirected: counter(&registry, "hemlock_misdirected_total", "Requests that reached another server"),
            replies: counters(
                &registry,
                "hemlock_replies_total",
                "Replies to callers",
                &["address", "source", "status"],
            ),
            rejections: counters(
                &registry,
                "hemlock_rejections_total",
                "Replies to callers with a status 3xx or 4xx",
                &["address", "source", "signed", "kind", "status"],
            ),
            requests: counters(&registry, "hemlock_requests_total", "Requests answered", &["class", "result"]),
            account_requests: counters(
                &registry,
                "hemlock_account_requests_total",
                "Requests of client accounts",
                &["account", "result"],
            ),
            latency: histograms(&registry, "hemlock_request_seconds", "Time to the answer", &["class"]),
            wait_time: histogram(&registry, "hemlock_wait_seconds", "Time to the first attempt"),
            sends: counters(&registry, "hemlock_sends_total", "Attempts begun", &["again", "warm"]),
            attempts: counters(&registry, "hemlock_attempts_total", "Attempts ended", &["ending"]),
            attempt_time: histograms(&registry, "hemlock_attempt_seconds", "Time of an attempt", &["ending"]),
            ejections: counter(&registry, "hemlock_ejections_total", "Backend servers taken out of use"),
            servers_leaving: counter(&registry, "hemlock_servers_leaving_total", "Servers that said that they leave"),
            servers_paused: counter(
                &registry,
                "hemlock_servers_paused_total",
                "Answers of servers that want nothing for a while",
            ),
            servers_rate_limited: counter(
                &registry,
                "hemlock_servers_rate_limited_total",
                "Rate limits of servers that began, changed or ended",
            ),
            stalls: counter(&registry, "hemlock_stalls_total", "Times that the process stood still"),
            remote_bytes: counters(
                &registry,
                "hemlock_remote_bytes_total",
                "Bytes of bodies to and from servers of other regions",
                &["direction"],
            ),
            queued: gauge(&registry, "hemlock_queued", "Requests that wait"),
            in_flight: gauge(&registry, "hemlock_in_flight", "Attempts in flight"),
            connections: gauge(&registry, "hemlock_connections", "Connections of callers"),
            connections_displaced: counter(&registry, "hemlock_connections_displaced_total", "Closed for new ones"),
            memory_refusals: counter(
                &registry,
                "hemlock_memory_refusals_total",
                "Requests refused because the memory for callers was used up",
            ),
            caller_memory: gauge(&registry, "hemlock_caller_memory_bytes", "Bytes held for callers"),
            callers_disconnected: counter(&registry, "hemlock_callers_gone_total", "Callers gone before their answer"),
            backend_connects: counter(&registry, "hemlock_backend_connects_total", "Connections to backend servers"),
            backend_connects_failed: counters(
                &registry,
                "hemlock_backend_connects_failed_total",
                "Connections to backend servers that failed",
                &["domain"],
            ),
            relayed: counters(&registry, "hemlock_relayed_total", "Requests passed on to other daemons", &["result"]),
            without_servers: gauge(&registry, "hemlock_without_servers", "1 while no backend server can be reached"),
            policy_revision: gauge(&registry, "hemlock_policy_revision", "Revision of the policy in force"),
            policy_expired: gauge(&registry, "hemlock_policy_expired", "1 while the policy is too old for its regions"),
            policy_refused: counter(&registry, "hemlock_policy_refused_total", "Copies of the policy refused"),
            policy_passed_over: gauge(&registry, "hemlock_policy_passed_over", "Parts of the policy not used"),
            servers_passed_over: gauge(&registry, "hemlock_servers_passed_over", "Entries of backend servers not used"),
            exchanges: counters(&registry, "hemlock_exchanges_total", "Exchanges with peers", &["result"]),
            members: gauge(&registry, "hemlock_members", "Members believed to live"),
            store_calls: counters(&registry, "hemlock_store_calls_total", "Calls to the store", &["purpose", "result"]),
            store_lists: counter(&registry, "hemlock_store_lists_total", "Lists of all keys read from the store"),
            store_era: gauge(&registry, "hemlock_store_era", "Era of the store; 0 if it names none"),
            store_age: age(&registry, "hemlock_store_age_seconds", "Time since the store answered"),
            mirror_age: age(&registry, "hemlock_mirror_age_seconds", "Time since the mirror was known to be complete"),
            mirror_catch_ups: counter(
                &registry,
                "hemlock_mirror_catch_ups_total",
                "Times that the store itself was asked because the mirror was too old",
            ),
            list_age: age(&registry, "hemlock_list_age_seconds", "Time since the list of servers was read"),
            silent_peers: gauges(
                &registry,
                "hemlock_silent_peers",
                "Living members that have not spoken to this daemon for longer",
                &["seconds"],
            ),
            peers_age: age(&registry, "hemlock_peers_age_seconds", "Time since a peer answered"),
            log_lines_left_out: gauge(&registry, "hemlock_log_lines_left_out", "Log lines left out since the start"),
            grant_slots: gauge(&registry, "hemlock_grant_slots", "Slots of the region's grants held"),
            replays: counter(&registry, "hemlock_replays_total", "Answers given again from memory"),
            registry,
        }
    }

    /// Renders all metrics as text.
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

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauges = IntGaugeVec::new(Opts::new(name, help), labels).expect("the options are constant");
    register(registry, gauges.clone());
    gauges
}

fn age(registry: &Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::new(name, help).expect("the options are constant");
    register(registry, gauge.clone());
    gauge
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
    let histogram = Histogram::with_opts(options).expect("the options are constant");
    register(registry, histogram.clone());
    histogram
}

fn histograms(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
    let histograms = HistogramVec::new(options, labels).expect("the options are constant");
    register(registry, histograms.clone());
    histograms
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("the options are constant");
    register(registry, counters.clone());
    counters
}
