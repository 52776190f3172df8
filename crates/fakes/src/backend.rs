//! A backend server: slots, cold start, drain, shed, slowness, late load reports, cancel, deadline and crash.
//!
//! Work is any path but these: `GET /load`, `POST /cancel?id=`, `POST /fault` with [`Faults`] as JSON, and
//! `GET /runs` with how often each idempotency key was run. Work names its time with `work_ms=` in the query
//! and its answer's size with `bytes=`. A request with `crash=1` in its query stops the server.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tiny_http::{Request, Response, Server};

use crate::http;

/// How often running work looks for its cancellation.
const CANCEL_CHECK: Duration = Duration::from_millis(2);

/// How a server is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The server's name, told in each answer.
    pub name: String,
    /// Requests run at once.
    pub slots: u32,
    /// Requests that wait for a slot before more are shed.
    pub queue: u32,
    /// Time of work that names none, in milliseconds.
    pub work_ms: u64,
    /// How long after the start work takes three times as long, in milliseconds.
    pub cold_ms: u64,
    /// Age of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether a crash ends the process; otherwise the server just stops answering.
    pub exit_on_crash: bool,
}

impl Setup {
    /// A server named `name` with three slots, work of 20 ms and reports 500 ms old.
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

    /// Sets the time of work that names none, in milliseconds.
    #[must_use]
    pub const fn with_work_ms(mut self, work_ms: u64) -> Self {
        self.work_ms = work_ms;
        self
    }
}

/// Faults in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each fault is switched on its own")]
pub struct Faults {
    /// Work takes so many times as long.
    pub slow: f64,
    /// Load reports say so, and new work is shed.
    pub draining: bool,
    /// Requests are run and never answered.
    pub silent: bool,
    /// Answers end in the middle.
    pub cut: bool,
    /// All work is shed.
    pub shed: bool,
    /// Connections are closed without an answer before anything is run.
    pub dead: bool,
    /// All work is for another server: the address was used again.
    pub misdirected: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self { slow: 1.0, draining: false, silent: false, cut: false, shed: false, dead: false, misdirected: false }
    }
}

/// A load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running.
    pub busy: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Requests run at once.
    pub slots: u32,
    /// Whether the server is about to stop.
    pub draining: bool,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug)]
struct Shared {
    setup: Setup,
    start: Instant,
    faults: Faults,
    busy: u32,
    queued: u32,
    /// Reports by the time they were made, oldest first.
    reports: Vec<(Instant, u32, u32)>,
    cancelled: BTreeSet<String>,
    runs: BTreeMap<String, u32>,
    served: u64,
}

#[derive(Debug)]
struct Cell {
    shared: Mutex<Shared>,
    freed: Condvar,
}

/// A running backend server.
pub struct Running {
    server: Arc<Server>,
    cell: Arc<Cell>,
}

impl std::fmt::Debug for Running {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Running").field("address", &self.address()).finish_non_exhaustive()
    }
}

impl Running {
    /// Starts a server at `address`.
    pub fn start(address: &str, setup: Setup) -> std::io::Result<Self> {
        let server = Arc::new(Server::http(address).map_err(std::io::Error::other)?);
        let shared = Shared {
            setup,
            start: Instant::now(),
            faults: Faults::default(),
            busy: 0,
            queued: 0,
            reports: Vec::new(),
            cancelled: BTreeSet::new(),
            runs: BTreeMap::new(),
            served: 0,
        };
        let cell = Arc::new(Cell { shared: Mutex::new(shared), freed: Condvar::new() });
        let handle = Arc::clone(&cell);
        http::serve(Arc::clone(&server), move |request| answer(request, &handle));
        Ok(Self { server, cell })
    }

    /// Where the server listens, `IP:PORT`.
    pub fn address(&self) -> String {
        self.server.server_addr().to_string()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.cell.lock().faults = faults;
    }

    /// How often each idempotency key was run.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.cell.lock().runs.clone()
    }

    /// Requests run so far.
    pub fn served(&self) -> u64 {
        self.cell.lock().served
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

impl Cell {
    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no handler panics while holding the server")
    }

    /// Waits for a slot; `false` if the work is shed.
    fn enter(&self) -> bool {
        let mut shared = self.lock();
        let faults = &shared.faults;
        if faults.shed || faults.draining {
            return false;
        }
        if shared.busy >= shared.setup.slots && shared.queued >= shared.setup.queue {
            return false;
        }
        shared.queued += 1;
        while shared.busy >= shared.setup.slots {
            shared = self.freed.wait(shared).expect("no handler panics while holding the server");
        }
        shared.queued -= 1;
        shared.busy += 1;
        shared.note();
        true
    }

    fn leave(&self) {
        let mut shared = self.lock();
        shared.busy -= 1;
        shared.served += 1;
        shared.note();
        drop(shared);
        self.freed.notify_one();
    }
}

impl Shared {
    fn note(&mut self) {
        let now = Instant::now();
        let lag = Duration::from_millis(self.setup.report_lag_ms);
        self.reports.push((now, self.busy, self.queued));
        let visible = self.reports.iter().rposition(|(made, _, _)| now.duration_since(*made) >= lag);
        self.reports.drain(..visible.unwrap_or(0));
    }

    fn load(&self, now: Instant) -> Load {
        let lag = Duration::from_millis(self.setup.report_lag_ms);
        let visible = self.reports.iter().rfind(|(made, _, _)| now.duration_since(*made) >= lag);
        let (busy, queued) = visible.map_or((0, 0), |(_, busy, queued)| (*busy, *queued));
        let age_ms = self.setup.report_lag_ms;
        Load { busy, queued, slots: self.setup.slots, draining: self.faults.draining, age_ms }
    }

    fn work_time(&self, asked_ms: Option<u64>) -> Duration {
        let cold = self.start.elapsed() < Duration::from_millis(self.setup.cold_ms);
        let factor = self.faults.slow * if cold { 3.0 } else { 1.0 };
        Duration::from_millis(asked_ms.unwrap_or(self.setup.work_ms)).mul_f64(factor)
    }
}

fn answer(mut request: Request, cell: &Cell) {
    let url = request.url().to_owned();
    let body = http::body(&mut request);
    match url.split('?').next().unwrap_or_default() {
        "/load" => {
            let load = cell.lock().load(Instant::now());
            http::answer_json(request, &load);
        }
        "/runs" => {
            let runs = cell.lock().runs.clone();
            http::answer_json(request, &runs);
        }
        "/cancel" => {
            let id = http::query(&url, "id").unwrap_or_default().to_owned();
            cell.lock().cancelled.insert(id);
            http::answer_status(request, 200);
        }
        "/fault" => match serde_json::from_slice::<Faults>(&body) {
            Ok(faults) => {
                cell.lock().faults = faults;
                http::answer_status(request, 200);
            }
            Err(_) => http::answer_status(request, 400),
        },
        _ => work(request, &url, &body, cell),
    }
}

fn work(request: Request, url: &str, body: &[u8], cell: &Cell) {
    if cell.lock().faults.dead {
        return drop(request.into_writer());
    }
    if cell.lock().faults.misdirected {
        return http::answer_status(request, 421);
    }
    if !cell.enter() {
        return shed(request);
    }
    if http::query(url, "crash") == Some("1") {
        crash(cell);
        cell.leave();
        return drop(request.into_writer());
    }
    let id = http::header(&request, "x-request-id").unwrap_or_default().to_owned();
    if let Some(key) = http::header(&request, "idempotency-key") {
        *cell.lock().runs.entry(key.to_owned()).or_default() += 1;
    }
    let finished = run(&request, url, &id, cell);
    cell.leave();
    let faults = cell.lock().faults.clone();
    if faults.silent {
        // The connection stays open and nothing is ever said on it.
        std::mem::forget(request.into_writer());
        return;
    }
    if !finished {
        return http::answer_status(request, 499);
    }
    reply(request, url, body, cell, faults.cut);
}

fn crash(cell: &Cell) {
    if cell.lock().setup.exit_on_crash {
        std::process::exit(70);
    }
    cell.lock().faults.dead = true;
}

/// Runs the work; `false` if it was cancelled or its deadline passed.
fn run(request: &Request, url: &str, id: &str, cell: &Cell) -> bool {
    let asked = http::query(url, "work_ms").and_then(|text| text.parse().ok());
    let start = Instant::now();
    let done = start + cell.lock().work_time(asked);
    let deadline_ms: Option<u64> = http::header(request, "x-deadline-ms").and_then(|text| text.parse().ok());
    let deadline = deadline_ms.map(|deadline_ms| start + Duration::from_millis(deadline_ms));
    loop {
        let now = Instant::now();
        if now >= done {
            return true;
        }
        if deadline.is_some_and(|deadline| now >= deadline) || cell.lock().cancelled.remove(id) {
            return false;
        }
        thread::sleep(CANCEL_CHECK.min(done - now));
    }
}

/// Says that nothing was run.
fn shed(request: Request) {
    let response =
        Response::from_data(Vec::new()).with_status_code(503).with_header(http::make_header("x-outcome", "not-run"));
    drop(request.respond(response));
}

/// Answers with the request's own words, so that callers can tell whose answer it is.
fn reply(request: Request, url: &str, body: &[u8], cell: &Cell, cut: bool) {
    let size: usize = http::query(url, "bytes").and_then(|text| text.parse().ok()).unwrap_or(0);
    let echo = http::header(&request, "x-echo").unwrap_or_default().to_owned();
    let name = cell.lock().setup.name.clone();
    let text = format!("echo={echo} body={:016x} server={name}\n", base::hash::bytes(body));
    let mut data = text.into_bytes();
    data.resize(data.len().max(size), b'.');
    if cut {
        return reply_cut(request, &data);
    }
    drop(request.respond(Response::from_data(data)));
}

fn reply_cut(request: Request, data: &[u8]) {
    let mut writer = request.into_writer();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", data.len() + 1_000);
    let written = writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(data));
    drop(written.and_then(|()| writer.flush()));
}
