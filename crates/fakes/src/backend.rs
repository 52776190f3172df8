//! A backend server with slots, a cold start, load shedding, delayed load reports, cancellation, deadlines, and faults
//! on demand.
//!
//! `GET /load` returns the load report, `POST /cancel?id=` cancels a request, `POST /fault` sets [`Faults`] given as
//! JSON, `GET /runs` returns how often each idempotency key was run, and `GET /peak` how many requests arrived beside the
//! rate limit that it stated. Any other path is work: `work_ms=` in its
//! query sets its running time and `bytes=` the size of its answer. A request with `crash=1` in its query crashes the
//! server.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tiny_http::{Request, Response};

use crate::http;
use crate::tally::Tally;

/// Time between two checks whether running work was cancelled.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Configuration of a server.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The server's name, part of each answer.
    pub name: String,
    /// Maximum number of requests run at the same time.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot before more are shed.
    pub queue: u32,
    /// Running time of work without `work_ms`, in milliseconds.
    pub work_ms: u64,
    /// How long after the start the server is cold, so that work takes three times as long; in milliseconds.
    pub cold_ms: u64,
    /// Age of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether a crash ends the process; otherwise the server closes all later work connections without an answer.
    pub exit_on_crash: bool,
}

impl Setup {
    /// Returns the configuration of a server `name` with three slots, work of 20 ms and load reports 500 ms old.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            slots: 3,
            queue: 3,
            work_ms: 20,
            cold_ms: 0,
            report_lag_ms: 500,
            exit_on_crash: false,
        }
    }

    /// Sets the running time of work without `work_ms`, in milliseconds.
    #[must_use]
    pub const fn with_work_ms(mut self, work_ms: u64) -> Self {
        self.work_ms = work_ms;
        self
    }
}

/// The active faults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each fault is switched on its own")]
pub struct Faults {
    /// Factor by which the running time of work is multiplied.
    pub slow: f64,
    /// Load reports announce a drain, and new work is shed.
    pub draining: bool,
    /// Requests are run but never answered.
    pub silent: bool,
    /// Answers are cut off before their announced length.
    pub cut: bool,
    /// All work is shed.
    pub shed: bool,
    /// Connections with work are closed without an answer, and nothing is run.
    pub dead: bool,
    /// All work is rejected with status 421, as by another server that has taken over the address.
    pub misdirected: bool,
    /// Requests per second from all daemons together that answers state as the server's limit.
    pub rate_limit: Option<f64>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            draining: false,
            silent: false,
            cut: false,
            shed: false,
            dead: false,
            misdirected: false,
            rate_limit: None,
        }
    }
}

/// A load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running requests.
    pub busy: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Maximum number of requests run at the same time.
    pub slots: u32,
    /// Whether the server is draining and takes no new work.
    pub draining: bool,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug)]
struct State {
    setup: Setup,
    start: Instant,
    faults: Faults,
    busy: u32,
    queued: u32,
    /// Reports as (time, busy, queued), oldest first.
    reports: Vec<(Instant, u32, u32)>,
    cancelled: BTreeSet<String>,
    runs: BTreeMap<String, u32>,
    tally: Tally,
    served: u64,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    slot_freed: Condvar,
}

/// A running backend server; dropping it stops it.
pub struct Running {
    listener: Arc<tiny_http::Server>,
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Running {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Running").field("address", &self.address()).finish_non_exhaustive()
    }
}

impl Running {
    /// Starts a server at `address`.
    pub fn start(address: &str, setup: Setup) -> std::io::Result<Self> {
        let listener = Arc::new(tiny_http::Server::http(address).map_err(std::io::Error::other)?);
        let state = State {
            setup,
            start: Instant::now(),
            faults: Faults::default(),
            busy: 0,
            queued: 0,
            reports: Vec::new(),
            cancelled: BTreeSet::new(),
            runs: BTreeMap::new(),
            tally: Tally::default(),
            served: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), slot_freed: Condvar::new() });
        let handler_state = Arc::clone(&shared);
        http::serve(Arc::clone(&listener), move |request| handle(request, &handler_state));
        Ok(Self { listener, shared })
    }

    /// Returns the address the server listens at, `IP:PORT`.
    pub fn address(&self) -> String {
        self.listener.server_addr().to_string()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Returns how often each idempotency key was run.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.shared.lock().runs.clone()
    }

    /// Returns the number of requests that have released their slot, cancelled ones included.
    pub fn served(&self) -> u64 {
        self.shared.lock().served
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.listener.unblock();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no handler panics while holding the state")
    }

    /// Waits for a slot; returns `false` if the work is shed.
    fn acquire_slot(&self) -> bool {
        let mut state = self.lock();
        let faults = &state.faults;
        if faults.shed || faults.draining {
            return false;
        }
        if state.busy >= state.setup.slots && state.queued >= state.setup.queue {
            return false;
        }
        state.queued += 1;
        while state.busy >= state.setup.slots {
            state = self.slot_freed.wait(state).expect("no handler panics while holding the state");
        }
        state.queued -= 1;
        state.busy += 1;
        state.record_report();
        true
    }

    fn release_slot(&self) {
        let mut state = self.lock();
        state.busy -= 1;
        state.served += 1;
        state.record_report();
        drop(state);
        self.slot_freed.notify_one();
    }
}

impl State {
    /// Records the present load and drops reports that are older than the newest visible one.
    fn record_report(&mut self) {
        let now = Instant::now();
        let lag = Duration::from_millis(self.setup.report_lag_ms);
        self.reports.push((now, self.busy, self.queued));
        let visible = self.reports.iter().rposition(|(at, _, _)| now.duration_since(*at) >= lag);
        self.reports.drain(..visible.unwrap_or(0));
    }

    /// Returns the newest report that is at least as old as the report lag; an idle server's if there is none.
    fn load(&self, now: Instant) -> Load {
        let lag = Duration::from_millis(self.setup.report_lag_ms);
        let visible = self.reports.iter().rfind(|(at, _, _)| now.duration_since(*at) >= lag);
        let (busy, queued) = visible.map_or((0, 0), |(_, busy, queued)| (*busy, *queued));
        let age_ms = self.setup.report_lag_ms;
        Load { busy, queued, slots: self.setup.slots, draining: self.faults.draining, age_ms }
    }

    fn record_arrival(&mut self, id: &str) {
        self.tally.record_arrival(daemon_of(id), self.faults.rate_limit, Instant::now());
    }

    fn work_time(&self, requested_ms: Option<u64>) -> Duration {
        let cold = self.start.elapsed() < Duration::from_millis(self.setup.cold_ms);
        let factor = self.faults.slow * if cold { 3.0 } else { 1.0 };
        Duration::from_millis(requested_ms.unwrap_or(self.setup.work_ms)).mul_f64(factor)
    }
}

fn handle(mut request: Request, shared: &Shared) {
    let url = request.url().to_owned();
    let body = http::read_body(&mut request);
    match url.split('?').next().unwrap_or_default() {
        "/load" => {
            let load = shared.lock().load(Instant::now());
            http::answer_json(request, &load);
        }
        "/runs" => {
            let runs = shared.lock().runs.clone();
            http::answer_json(request, &runs);
        }
        "/peak" => {
            let peak = shared.lock().tally.peak();
            http::answer_json(request, &peak);
        }
        "/cancel" => {
            let id = http::query_param(&url, "id").unwrap_or_default().to_owned();
            shared.lock().cancelled.insert(id);
            http::answer_status(request, 200);
        }
        "/fault" => match serde_json::from_slice::<Faults>(&body) {
            Ok(faults) => {
                shared.lock().faults = faults;
                http::answer_status(request, 200);
            }
            Err(_) => http::answer_status(request, 400),
        },
        _ => handle_work(request, &url, &body, shared),
    }
}

/// Returns the part of an attempt's id that names the daemon's process.
fn daemon_of(id: &str) -> &str {
    id.split('-').next().unwrap_or_default()
}

fn handle_work(request: Request, url: &str, body: &[u8], shared: &Shared) {
    if shared.lock().faults.dead {
        return drop(request.into_writer());
    }
    if shared.lock().faults.misdirected {
        return http::answer_status(request, 421);
    }
    let id = http::header(&request, "x-request-id").unwrap_or_default().to_owned();
    shared.lock().record_arrival(&id);
    if !shared.acquire_slot() {
        return shed(request);
    }
    if http::query_param(url, "crash") == Some("1") {
        crash(shared);
        shared.release_slot();
        return drop(request.into_writer());
    }
    if let Some(key) = http::header(&request, "idempotency-key") {
        *shared.lock().runs.entry(key.to_owned()).or_default() += 1;
    }
    let finished = run(&request, url, &id, shared);
    shared.release_slot();
    let faults = shared.lock().faults.clone();
    if faults.silent {
        // Leaks the writer, so that the connection stays open without an answer.
        std::mem::forget(request.into_writer());
        return;
    }
    if !finished {
        return http::answer_status(request, 499);
    }
    reply(request, url, body, shared, &faults);
}

/// Ends the process, or makes the server close all later work connections without an answer.
fn crash(shared: &Shared) {
    if shared.lock().setup.exit_on_crash {
        std::process::exit(70);
    }
    shared.lock().faults.dead = true;
}

/// Runs the work; returns `false` if it was cancelled or its deadline passed.
fn run(request: &Request, url: &str, id: &str, shared: &Shared) -> bool {
    let requested_ms = http::query_param(url, "work_ms").and_then(|text| text.parse().ok());
    let start = Instant::now();
    let finish_at = start + shared.lock().work_time(requested_ms);
    let deadline_ms: Option<u64> = http::header(request, "x-deadline-ms").and_then(|text| text.parse().ok());
    let deadline = deadline_ms.map(|deadline_ms| start + Duration::from_millis(deadline_ms));
    loop {
        let now = Instant::now();
        if now >= finish_at {
            return true;
        }
        if deadline.is_some_and(|deadline| now >= deadline) || shared.lock().cancelled.remove(id) {
            return false;
        }
        thread::sleep(CANCEL_POLL_INTERVAL.min(finish_at - now));
    }
}

/// Rejects a request with status 503 and the outcome `not-run`.
fn shed(request: Request) {
    let response =
        Response::from_data(Vec::new()).with_status_code(503).with_header(http::make_header("x-outcome", "not-run"));
    drop(request.respond(response));
}

/// Answers with the request's `x-echo` header and a hash of its body, so that callers can detect answers to other
/// requests.
fn reply(request: Request, url: &str, body: &[u8], shared: &Shared, faults: &Faults) {
    let size: usize = http::query_param(url, "bytes").and_then(|text| text.parse().ok()).unwrap_or(0);
    let echo = http::header(&request, "x-echo").unwrap_or_default().to_owned();
    let name = shared.lock().setup.name.clone();
    let text = format!("echo={echo} body={:016x} server={name}\n", base::hash::bytes(body));
    let mut data = text.into_bytes();
    data.resize(data.len().max(size), b'.');
    if faults.cut {
        return reply_truncated(request, &data);
    }
    let mut response = Response::from_data(data);
    if let Some(limit) = faults.rate_limit {
        let id = http::header(&request, "x-request-id").unwrap_or_default();
        shared.lock().tally.record_answer(daemon_of(id), Instant::now());
        response.add_header(http::make_header("x-rate-limit", &limit.to_string()));
    }
    drop(request.respond(response));
}

/// Announces 1000 bytes more than it sends, then closes the connection.
fn reply_truncated(request: Request, data: &[u8]) {
    let mut writer = request.into_writer();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", data.len() + 1_000);
    let written = writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(data));
    drop(written.and_then(|()| writer.flush()));
}
