//! The operators' port: health, readiness, metrics, decisions in force, and burn.

use std::collections::BTreeMap;
use std::io::Read as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use base::time::Time;
use burn::report::{Line, Report};
use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

use crate::context::lock;
use crate::plugin::Plugin;
use crate::{Context, logs};

/// Largest request body read and thrown away, in bytes.
const MAX_BODY_BYTES: u64 = 65_536;
/// Times by which members are counted that have been silent for longer, in seconds: a few exchanges, and when to look.
const SILENCES_S: [u64; 3] = [5, 30, 120];

inventory::submit! {
    Plugin(kernel::Plugin { name: "operators", stage: 5, start })
}

struct Port(Vec<Arc<Server>>);

impl kernel::Component for Port {
    fn close(&mut self) {
        self.0.iter().for_each(|server| server.unblock());
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let settings = &context.settings.operators;
    let addresses =
        [("operators.address", &settings.address), ("operators.metrics_address", &settings.metrics_address)];
    let used = addresses.into_iter().filter(|(_, address)| !address.is_empty());
    let servers = used.map(|(key, address)| serve(context, key, address)).collect::<Result<Vec<_>, String>>()?;
    Ok(Box::new(Port(servers)))
}

/// Answers operators at `address` on a thread of its own.
fn serve(context: &Arc<Context>, key: &str, address: &str) -> Result<Arc<Server>, String> {
    let server = Server::http(address)
        .map_err(|error| format!("key `{key}`: cannot listen at {address}: {error}; choose a free address"))?;
    let server = Arc::new(server);
    let (shared, port) = (Arc::clone(context), Arc::clone(&server));
    let body = move || {
        while let Ok(request) = port.recv() {
            answer(&shared, request);
        }
    };
    std::thread::Builder::new().name("operators".to_owned()).spawn(body).map_err(|error| error.to_string())?;
    Ok(server)
}

/// Why a daemon is ready, or not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Readiness {
    /// Whether callers may be sent here.
    pub ready: bool,
    /// What is missing, in short words.
    pub reasons: Vec<&'static str>,
}

/// Whether the daemon is ready, and if not, why.
pub fn readiness(context: &Context) -> Readiness {
    let mut missing = Vec::new();
    let prepared = context.prepared();
    if context.stopping() {
        missing.push("stopping");
    }
    if lock(&context.roster).superseded() {
        missing.push("another process runs under this name");
    }
    if !prepared.policy {
        missing.push("no policy");
    }
    if !prepared.list {
        missing.push("no list of instances");
    }
    let ready = missing.is_empty();
    if prepared.revision == 0 && prepared.policy {
        missing.push("policy of the settings only");
    }
    Readiness { ready, reasons: missing }
}

fn answer(context: &Arc<Context>, mut request: Request) {
    let mut body = Vec::new();
    if request.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body).is_err() {
        log::debug!("operators: body skipped");
    }
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let response = match path.as_str() {
        "/health" => text(200, b"ok\n".to_vec(), "text/plain"),
        "/ready" => {
            let readiness = readiness(context);
            json(if readiness.ready { 200 } else { 503 }, &readiness)
        }
        "/metrics" => {
            note_ages(context);
            text(200, context.metrics.render(), "text/plain; version=0.0.4")
        }
        "/decisions" => json(200, &decisions(context)),
        "/burn" => json(200, &burn_report(context)),
        _ => text(404, b"try /health /ready /metrics /decisions /burn\n".to_vec(), "text/plain"),
    };
    if let Err(error) = request.respond(response) {
        log::debug!("operators: answer skipped reason={:?}", error.to_string());
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
    /// Seconds since it last spoke to this daemon itself.
    silent_s: Option<f64>,
}

#[derive(Debug, Serialize)]
#[expect(clippy::struct_excessive_bools, reason = "each is shown on its own")]
struct Backend {
    name: String,
    in_flight: u32,
    limit: u32,
    load: f64,
    ratio: f64,
    leaving: bool,
    suspect: bool,
    closed: bool,
    hosts_waiting_work: bool,
}

#[derive(Debug, Serialize)]
struct Decisions {
    instance: String,
    region: String,
    domain: String,
    revision: u64,
    ready: Readiness,
    store_silent_s: f64,
    members: Vec<Member>,
    entries: Vec<String>,
    shares: Vec<Vec<f64>>,
    grant_share: f64,
    backends: Vec<Backend>,
    open: usize,
    queued: usize,
    poisonous: usize,
    drains: Vec<config::policy::Drain>,
    /// What of the policy and of the entries of backend servers is not used, and why.
    passed_over: Vec<String>,
}

fn decisions(context: &Context) -> Decisions {
    let now = context.now();
    let in_force = context.policy();
    let steering = context.steering();
    let roster = lock(&context.roster);
    let words: BTreeMap<&str, Option<Duration>> = roster.silence(now).collect();
    let members = roster.records().into_iter().map(|record| Member {
        silent_s: words.get(record.name.as_str()).copied().flatten().map(|age| age.as_secs_f64()),
        name: record.name,
        incarnation: record.incarnation,
        state: format!("{:?}", record.state).to_lowercase(),
        domain: record.domain,
    });
    let members = members.collect();
    drop(words);
    drop(roster);
    let regions = in_force.regions.len() as u16;
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
        revision: context.prepared().revision,
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
        drains: in_force.policy.drains.clone(),
        passed_over: passed_over(context),
    }
}

fn passed_over(context: &Context) -> Vec<String> {
    let known = lock(&context.catalog_state);
    known.policy_error.iter().chain(&known.policy_passed_over).chain(&known.entries_passed_over).cloned().collect()
}

/// Seconds since `seen`, a time in microseconds of the clock.
fn age_s(seen: &AtomicU64, now: Time) -> f64 {
    now.since(Time::from_micros(seen.load(Ordering::Relaxed))).as_secs_f64()
}

/// Brings the ages of what is believed up to date.
fn note_ages(context: &Context) {
    let now = context.now();
    let listed = lock(&context.instance_list).read_at.unwrap_or(Time::ZERO);
    context.metrics.store_age.set(age_s(&context.store_answered_at, now));
    context.metrics.peers_age.set(age_s(&context.peer_answered_at, now));
    note_words(context, now);
    context.metrics.list_age.set(now.since(listed).as_secs_f64());
    context.metrics.log_lines_left_out.set(logs::left_out() as i64);
}

/// Counts the members by how long they have not spoken to this daemon themselves.
fn note_words(context: &Context, now: Time) {
    let roster = lock(&context.roster);
    for seconds in SILENCES_S {
        let limit = Duration::from_secs(seconds);
        let silent = roster.silence(now).filter(|(_, age)| age.is_none_or(|age| age > limit)).count();
        context.metrics.silent_peers.with_label_values(&[&seconds.to_string()]).set(silent as i64);
    }
}

fn burn_report(context: &Context) -> Report {
    let now = context.now();
    let in_force = context.policy();
    let region = &context.settings.region;
    let mut series = lock(&context.burn);
    let line = |(class, series): (&String, &mut burn::Series)| {
        let target = in_force.policy.classes.get(class)?;
        Some(Line::new(class, region, target.target_share, series, now))
    };
    Report { lines: series.iter_mut().filter_map(line).collect() }
}
