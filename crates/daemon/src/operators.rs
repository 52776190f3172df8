//! The operators' port: health, readiness, metrics, the present state of decisions, and service-level burn rates.

use std::collections::BTreeMap;
use std::io::Read as _;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use base::error::Kind;
use base::time::Time;
use burn::report::{Line, Report};
use config::policy;
use fleet::replica::Version;
use http::header::HOST;
use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

use crate::context::lock;
use crate::plugin::Plugin;
use crate::rejection::Rejection;
use crate::{Context, accounts, logs};

/// Largest request body that is read and discarded, in bytes.
const MAX_BODY_BYTES: u64 = 65_536;
/// Thresholds of the metric of silent members, in seconds: 5 is a few exchanges; from 30 on an operator should
/// investigate.
const SILENCE_THRESHOLDS_S: [u64; 3] = [5, 30, 120];

inventory::submit! {
    Plugin(kernel::Plugin { name: "operators", stage: 5, start })
}

/// Longest time that a stop waits for the threads of a port to end and release it.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two checks whether a port is released.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The servers, one for each address.
struct Port(Vec<(String, Arc<Server>)>);

impl kernel::Component for Port {
    /// Closes the ports and waits until they are free, since another daemon in this process may need them.
    fn close(&mut self) {
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        for (address, server) in std::mem::take(&mut self.0) {
            server.unblock();
            drop(server);
            while TcpListener::bind(&address).is_err() && Instant::now() < deadline {
                std::thread::sleep(RELEASE_POLL_INTERVAL);
            }
        }
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let settings = &context.settings.operators;
    let addresses = [
        ("operators.address", "operators", &settings.address),
        ("operators.metrics_address", "metrics", &settings.metrics_address),
    ];
    let used = addresses.into_iter().filter(|(_, _, address)| !address.is_empty());
    let servers = used.map(|(key, purpose, address)| serve(context, key, purpose, address));
    let servers = servers.collect::<Result<Vec<_>, String>>()?;
    Ok(Box::new(Port(servers)))
}

/// Serves operators at `address` on a thread of its own; `key` is the setting that names the address, and `purpose` what the address is
/// for, in logs and metrics. Returns the address and the server.
fn serve(
    context: &Arc<Context>,
    key: &str,
    purpose: &'static str,
    address: &str,
) -> Result<(String, Arc<Server>), String> {
    let server = Server::http(address)
        .map_err(|error| format!("key `{key}`: cannot listen at {address}: {error}; choose a free address"))?;
    let server = Arc::new(server);
    let (shared, port) = (Arc::clone(context), Arc::clone(&server));
    let body = move || {
        while let Ok(request) = port.recv() {
            answer(&shared, purpose, request);
        }
    };
    std::thread::Builder::new().name("operators".to_owned()).spawn(body).map_err(|error| error.to_string())?;
    Ok((address.to_owned(), server))
}

/// Why a daemon is ready, or not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Readiness {
    /// Whether callers may send requests to this daemon.
    pub ready: bool,
    /// What is missing, or limited although the daemon is ready; empty if nothing.
    pub reasons: Vec<&'static str>,
}

/// Returns whether the daemon is ready, and if not, why.
pub fn readiness(context: &Context) -> Readiness {
    let mut reasons = Vec::new();
    let inputs = context.steering_inputs();
    if context.stopping() {
        reasons.push("stopping");
    }
    if lock(&context.roster).superseded() {
        reasons.push("another process runs under this name");
    }
    if !inputs.policy {
        reasons.push("no policy");
    }
    if !inputs.list {
        reasons.push("no list of instances");
    }
    let ready = reasons.is_empty();
    if inputs.version == Version::default() && inputs.policy {
        reasons.push("policy of the settings only");
    }
    Readiness { ready, reasons }
}

/// Counts and logs that `request` is for nothing that the address serves, as a request for work that was led here would be.
fn record_rejection(context: &Context, address: &str, request: &Request, path: &str) {
    let header = |name: &str| {
        let found = request.headers().iter().find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
        found.map_or("-", |header| header.value.as_str())
    };
    let (source, kind) = ("error", Kind::UnknownPath.as_str());
    let (id, host) = (header(context.dialect.request_id.as_str()), policy::host_name(header(HOST.as_str())));
    Rejection { address, source, kind, status: "404", signed: false, request: id, host, path }.record(context);
}

fn answer(context: &Arc<Context>, address: &str, mut request: Request) {
    let mut body = Vec::new();
    if request.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body).is_err() {
        log::debug!("operators: body not read");
    }
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let response = match path.as_str() {
        "/health" => text(200, b"ok\n".to_vec(), "text/plain"),
        "/ready" => {
            let readiness = readiness(context);
            json(if readiness.ready { 200 } else { 503 }, &readiness)
        }
        "/metrics" => {
            update_ages(context);
            text(200, context.metrics.render(), "text/plain; version=0.0.4")
        }
        "/decisions" => json(200, &decisions(context)),
        "/burn" => json(200, &burn_report(context)),
        "/accounts" => json(200, &accounts::lines(context)),
        _ => {
            record_rejection(context, address, &request, &path);
            text(404, b"try /health /ready /metrics /decisions /burn /accounts\n".to_vec(), "text/plain")
        }
    };
    if let Err(error) = request.respond(response) {
        log::debug!("operators: answer not sent reason={:?}", error.to_string());
    }
}

fn text(status: u16, body: Vec<u8>, kind: &str) -> Response<std::io::Cursor<Vec<u8>>> {
    let header = Header::from_bytes("content-type", kind).expect("the header is constant");
    Response::from_data(body).with_status_code(status).with_header(header)
}

fn json<T: Serialize>(status: u16, value: &T) -> Response<std::io::Cursor<Vec<u8>>> {
    text(status, serde_json::to_vec_pretty(value).unwrap_or_default(), "application/json")
}

#[derive(Debug, Serialize)]
struct Member {
    name: String,
    incarnation: u64,
    state: String,
    domain: String,
    /// Seconds since it last sent this daemon a message itself, not through others; `None` if it never did.
    silent_s: Option<f64>,
}

#[derive(Debug, Serialize)]
#[expect(clippy::struct_excessive_bools, reason = "each is shown on its own")]
struct Backend {
    /// Name, or the id of a server that was removed meanwhile.
    name: String,
    /// This daemon's attempts in flight.
    in_flight: u32,
    /// Maximum number of this daemon's attempts in flight.
    limit: u32,
    /// All work at the server, in requests, as far as known.
    load: f64,
    /// How long work takes at the server, relative to the typical latency.
    ratio: f64,
    /// Whether the server is drained, was removed or announced that it leaves.
    leaving: bool,
    /// Whether the server is ejected, or was and has not passed its trial yet.
    suspect: bool,
    /// Whether the server gets no work now, because of an ejection, a shed request or a pause.
    closed: bool,
    /// Whether this daemon may run waiting work there.
    hosts_waiting_work: bool,
}

#[derive(Debug, Serialize)]
struct Decisions {
    instance: String,
    region: String,
    domain: String,
    /// Version of the policy that the routing state was built from; zero for the policy of the settings or none.
    #[serde(flatten)]
    version: Version,
    ready: Readiness,
    /// Seconds since the store last answered; since one second before the start if it never did.
    store_silent_s: f64,
    members: Vec<Member>,
    /// Entry instances with their standing.
    entries: Vec<String>,
    /// Fraction of each region's callers (row) that is steered to each region (column).
    shares: Vec<Vec<f64>>,
    /// Fraction of the region's grants that this daemon may use.
    grant_share: f64,
    backends: Vec<Backend>,
    /// Requests that are waiting or running.
    open: usize,
    /// Requests that are waiting, held ones included.
    queued: usize,
    /// Fingerprints whose requests are refused because they crashed servers.
    poisonous: usize,
    drains: Vec<config::policy::Drain>,
    /// What is not used of the policy and of the entries of backend servers, one reason each.
    passed_over: Vec<String>,
}

fn decisions(context: &Context) -> Decisions {
    let now = context.now();
    let active = context.policy();
    let steering = context.steering();
    let roster = lock(&context.roster);
    let silence: BTreeMap<&str, Option<Duration>> = roster.silence(now).collect();
    let members = roster.records().into_iter().map(|record| Member {
        silent_s: silence.get(record.name.as_str()).copied().flatten().map(|age| age.as_secs_f64()),
        name: record.name,
        incarnation: record.incarnation,
        state: format!("{:?}", record.state).to_lowercase(),
        domain: record.domain,
    });
    let members = members.collect();
    drop(silence);
    drop(roster);
    let regions = active.regions.len() as u16;
    let row = |from: u16| (0..regions).map(|to| steering.shares.share(from, to)).collect();
    let name = |id: u32| steering.backends.get(&id).map_or_else(|| id.to_string(), |known| known.name.clone());
    let backends = context.driver.with_engine(|engine| {
        let backend = |server: &dispatch::backend::Backend| Backend {
            name: name(server.spec.id),
            in_flight: server.in_flight,
            limit: server.limit(),
            load: server.load(now),
            ratio: server.latency_ratio(),
            leaving: server.leaving(),
            suspect: server.suspect(),
            closed: server.unavailable(now),
            hosts_waiting_work: server.spec.hosts,
        };
        engine.backends().map(backend).collect()
    });
    let entry = |entry: &steer::view::Entry| format!("{} {:?}", entry.name, entry.standing).to_lowercase();
    Decisions {
        instance: context.settings.instance.clone(),
        region: context.settings.region.clone(),
        domain: context.settings.domain.clone(),
        version: context.steering_inputs().version,
        ready: readiness(context),
        store_silent_s: age_s(&context.store_answered_at, now),
        members,
        entries: steering.view.entries().iter().map(entry).collect(),
        shares: (0..regions).map(row).collect(),
        grant_share: lock(&context.grant_manager).share(now),
        backends,
        open: context.driver.with_engine(dispatch::Engine::open_requests),
        queued: context.driver.with_engine(dispatch::Engine::queued),
        poisonous: context.driver.with_engine(|engine| engine.quarantined(now)),
        drains: active.policy.drains.clone(),
        passed_over: passed_over(context),
    }
}

fn passed_over(context: &Context) -> Vec<String> {
    let state = lock(&context.catalog_state);
    state.policy_error.iter().chain(&state.policy_passed_over).chain(&state.entries_passed_over).cloned().collect()
}

/// Returns the seconds since `time`, which is in microseconds of the clock.
fn age_s(time: &AtomicU64, now: Time) -> f64 {
    now.since(Time::from_micros(time.load(Ordering::Relaxed))).as_secs_f64()
}

/// Updates the metrics that are computed only when they are read: ages, silent members and log lines left out.
fn update_ages(context: &Context) {
    let now = context.now();
    let list_read_at = lock(&context.instance_list).read_at.unwrap_or(Time::ZERO);
    context.metrics.store_age.set(age_s(&context.store_answered_at, now));
    let mirror_age = lock(&context.mirror).age(now);
    context.metrics.mirror_age.set(mirror_age.map_or(-1.0, |age| age.as_secs_f64()));
    context.metrics.peers_age.set(age_s(&context.peer_answered_at, now));
    update_silent_peers(context, now);
    context.metrics.caller_memory.set(context.caller_memory.used() as i64);
    context.metrics.list_age.set(now.since(list_read_at).as_secs_f64());
    context.metrics.log_lines_left_out.set(logs::left_out() as i64);
}

/// Counts, for each threshold, the members that have sent this daemon no message themselves for longer.
fn update_silent_peers(context: &Context, now: Time) {
    let roster = lock(&context.roster);
    for seconds in SILENCE_THRESHOLDS_S {
        let limit = Duration::from_secs(seconds);
        let silent = roster.silence(now).filter(|(_, age)| age.is_none_or(|age| age > limit)).count();
        context.metrics.silent_peers.with_label_values(&[&seconds.to_string()]).set(silent as i64);
    }
}

fn burn_report(context: &Context) -> Report {
    let now = context.now();
    let active = context.policy();
    let region = &context.settings.region;
    let mut series = lock(&context.burn);
    let line = |(class, series): (&String, &mut burn::Series)| {
        let target = active.policy.classes.get(class)?;
        Some(Line::new(class, region, target.target_share, series, now))
    };
    Report { lines: series.iter_mut().filter_map(line).collect() }
}
