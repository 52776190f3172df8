//! Workers: `slots` requests at a time, a queue, the headers that PROTOCOL.md names.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record;

pub const SLOTS: usize = 3;
const QUEUE: usize = 9;

/// What became of a request at a worker.
#[derive(Debug, Clone, Default)]
pub struct Run {
    pub worker: String,
    pub arrived: f64,
    /// When the worker began to work on it; `None` if it rejected it.
    pub began: Option<f64>,
    /// When its work ended; `None` while it runs.
    pub ended: Option<f64>,
}

/// All requests that reached workers, by request id.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

/// Returns how long a request's work takes.
pub type Work = Arc<dyn Fn(&Message) -> Duration + Send + Sync>;

/// Whether a request crashes the worker that begins to run it.
pub type Crashes = Arc<dyn Fn(&Message) -> bool + Send + Sync>;

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// The requests of one boot, which its successor knows nothing of.
type Boot = Arc<(Mutex<Load>, Condvar)>;

/// Open connections of a worker, and whether it is down.
#[derive(Default)]
struct Process {
    connections: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    /// Number of the boot: work of an earlier one ended with it.
    number: AtomicU32,
    boot: Mutex<Boot>,
    /// When it crashed.
    crashes: Mutex<Vec<f64>>,
    /// Number of its last report to the store.
    sequence: AtomicU64,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: String,
    runs: Runs,
    work: Work,
    crashes: Crashes,
    process: Arc<Process>,
}

impl Worker {
    pub fn start(id: &str, address: &str, runs: &Runs, work: &Work, crashes: &Crashes) -> Self {
        let worker = Self {
            id: id.to_owned(),
            address: address.to_owned(),
            runs: Arc::clone(runs),
            work: Arc::clone(work),
            crashes: Arc::clone(crashes),
            process: Arc::default(),
        };
        let listener = TcpListener::bind(address).expect("the worker's address is free");
        worker.accept(listener);
        worker
    }

    /// Accepts connections until the worker is down.
    fn accept(&self, listener: TcpListener) {
        let shared = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.process.is_down.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    shared.process.connections.lock().unwrap().push(copy);
                }
                let worker = shared.clone();
                std::thread::spawn(move || worker.serve(stream));
            }
        });
    }

    /// Ends the worker's process: its port refuses and its connections end.
    pub fn end(&self) {
        if self.process.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.process.number.fetch_add(1, Ordering::SeqCst);
        // Wakes the loop that accepts, which then drops the listener.
        let _ = TcpStream::connect(&self.address);
        for stream in self.process.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        record::line(&format!("worker {} ends", self.id));
    }

    fn crash(&self) {
        if !self.is_down() {
            self.process.crashes.lock().unwrap().push(record::now());
            record::line(&format!("worker {} crashes", self.id));
            self.end();
        }
    }

    pub fn is_down(&self) -> bool {
        self.process.is_down.load(Ordering::SeqCst)
    }

    /// When the worker crashed.
    pub fn crashes(&self) -> Vec<f64> {
        self.process.crashes.lock().unwrap().clone()
    }

    /// Starts the worker again at its address, a new boot; the caller writes its key.
    pub fn restart(&self) {
        let Ok(listener) = TcpListener::bind(&self.address) else { return };
        *self.process.boot.lock().unwrap() = Boot::default();
        self.process.sequence.store(0, Ordering::SeqCst);
        self.process.is_down.store(false, Ordering::SeqCst);
        self.accept(listener);
        record::line(&format!("worker {} starts again", self.id));
    }

    /// The value of the worker's key in the store.
    pub fn entry(&self, service: &str, zone: &str, born: u64, cold_s: f64, state: &str) -> String {
        let sequence = self.process.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"cold_remaining_s\":{cold_s},\"sequence\":{sequence},\"born\":{born}}}",
            self.address
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.is_down() {
                return;
            }
            let Some((status, headers, body)) = self.handle(&request) else { return };
            if http::answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a request; `None` if the process ended meanwhile.
    fn handle(&self, request: &Message) -> Option<(u16, String, String)> {
        let number = self.process.number.load(Ordering::SeqCst);
        let has_ended = || self.process.number.load(Ordering::SeqCst) != number;
        let boot = Arc::clone(&*self.process.boot.lock().unwrap());
        let instance = format!("Instance-Id: {}\r\n", self.id);
        if request.path() == "/healthz" {
            return Some((200, format!("{instance}{}", load_header(&boot)), String::new()));
        }
        let Some(id) = request.header("request-id").map(str::to_owned) else {
            return Some((400, "Not-Executed: 1\r\n".to_owned(), String::new()));
        };
        let echo = format!("Request-Id: {id}\r\nKeep-Alive: timeout=10\r\n");
        if request.header("target-instance").is_some_and(|target| target != self.id) {
            return Some((421, format!("{echo}Not-Executed: 1\r\n{instance}"), String::new()));
        }
        let place = self.note_arrival(&id);
        let arrived = Instant::now();
        let budget = request.header("deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(60_000);
        let end = arrived + Duration::from_millis(budget);
        if !take_slot(&boot, end) {
            return Some((503, format!("{echo}Not-Executed: 1\r\n{}", load_header(&boot)), String::new()));
        }
        if has_ended() {
            return None;
        }
        self.note(&id, place, |run| run.began = Some(record::now()));
        record::line(&format!("worker {} runs {id} {} deadline_ms={budget}", self.id, request.line));
        if (self.crashes)(request) {
            self.crash();
            return None;
        }
        let work = (self.work)(request);
        let left = end.saturating_duration_since(Instant::now());
        std::thread::sleep(work.min(left));
        if has_ended() {
            return None;
        }
        self.note(&id, place, |run| run.ended = Some(record::now()));
        let load = load_header(&boot);
        free_slot(&boot);
        record::line(&format!("worker {} has run {id}", self.id));
        if work > left {
            return Some((504, format!("{echo}Response-Signature: late.{id}\r\n{load}"), String::new()));
        }
        Some((200, format!("{echo}Response-Signature: {}.{id}\r\n{load}", self.id), format!("answer to {id}")))
    }

    fn note_arrival(&self, id: &str) -> usize {
        let mut runs = self.runs.lock().unwrap();
        let all = runs.entry(id.to_owned()).or_default();
        let run = Run { worker: self.id.clone(), arrived: record::now(), ..Run::default() };
        all.push(run);
        all.len() - 1
    }

    fn note(&self, id: &str, place: usize, change: impl Fn(&mut Run)) {
        if let Some(run) = self.runs.lock().unwrap().get_mut(id).and_then(|all| all.get_mut(place)) {
            change(run);
        }
    }
}

/// Waits for a slot until `end`; returns whether there was one.
fn take_slot(boot: &Boot, end: Instant) -> bool {
    let (lock, freed) = &**boot;
    let mut load = lock.lock().unwrap();
    if load.running >= SLOTS && load.waiting >= QUEUE {
        return false;
    }
    load.waiting += 1;
    while load.running >= SLOTS {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            load.waiting -= 1;
            return false;
        }
        load = freed.wait_timeout(load, left).unwrap().0;
    }
    load.waiting -= 1;
    load.running += 1;
    true
}

fn free_slot(boot: &Boot) {
    boot.0.lock().unwrap().running -= 1;
    boot.1.notify_one();
}

fn load_header(boot: &Boot) -> String {
    let load = boot.0.lock().unwrap();
    format!("Server-Load: {},{},{SLOTS},100\r\n", load.running, load.waiting)
}
