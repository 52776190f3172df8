//! Workers: `slots` requests at a time, a queue, the headers that PROTOCOL.md names.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
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

/// Open connections of a worker, and whether it is down.
#[derive(Default)]
struct Process {
    connections: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    /// Number of its crashes.
    crashes: AtomicU32,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: String,
    load: Arc<(Mutex<Load>, Condvar)>,
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
            load: Arc::default(),
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
    fn crash(&self) {
        if self.process.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.process.crashes.fetch_add(1, Ordering::SeqCst);
        record::line(&format!("worker {} crashes", self.id));
        // Wakes the loop that accepts, which then drops the listener.
        let _ = TcpStream::connect(&self.address);
        for stream in self.process.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn is_down(&self) -> bool {
        self.process.is_down.load(Ordering::SeqCst)
    }

    pub fn crash_count(&self) -> u32 {
        self.process.crashes.load(Ordering::SeqCst)
    }

    /// Starts the worker again at its address; the caller writes its key.
    pub fn restart(&self) {
        let Ok(listener) = TcpListener::bind(&self.address) else { return };
        *self.load.0.lock().unwrap() = Load::default();
        self.process.is_down.store(false, Ordering::SeqCst);
        self.accept(listener);
        record::line(&format!("worker {} starts again", self.id));
    }

    /// The value of the worker's key in the store.
    pub fn entry(&self, service: &str, zone: &str, born: u64, cold_s: f64, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"cold_remaining_s\":{cold_s},\"sequence\":4,\"born\":{born}}}",
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
            let (status, headers, body) = self.handle(&request);
            if http::answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, String, String) {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let echo = format!("Request-Id: {id}\r\nKeep-Alive: timeout=10\r\n");
        if request.header("target-instance").is_some_and(|target| target != self.id) {
            return (421, format!("{echo}Instance-Id: {}\r\n", self.id), String::new());
        }
        let place = self.note_arrival(&id);
        let arrived = Instant::now();
        let budget = request.header("deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(60_000);
        let end = arrived + Duration::from_millis(budget);
        if !self.take_slot(end) {
            return (503, format!("{echo}Not-Executed: 1\r\n{}", self.load_header()), String::new());
        }
        self.note(&id, place, |run| run.began = Some(record::now()));
        if (self.crashes)(request) {
            self.crash();
        }
        record::line(&format!("worker {} runs {id} {} deadline_ms={budget}", self.id, request.line));
        let work = (self.work)(request);
        let left = end.saturating_duration_since(Instant::now());
        std::thread::sleep(work.min(left));
        self.note(&id, place, |run| run.ended = Some(record::now()));
        let load = self.load_header();
        self.free_slot();
        record::line(&format!("worker {} ends {id}", self.id));
        if work > left {
            return (504, format!("{echo}Response-Signature: late.{id}\r\n{load}"), String::new());
        }
        (200, format!("{echo}Response-Signature: {}.{id}\r\n{load}", self.id), format!("answer to {id}"))
    }

    fn take_slot(&self, end: Instant) -> bool {
        let (lock, freed) = &*self.load;
        let mut load = lock.lock().unwrap();
        if load.running >= SLOTS && load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= SLOTS {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.waiting = load.waiting.saturating_sub(1);
                return false;
            }
            load = freed.wait_timeout(load, left).unwrap().0;
        }
        load.waiting = load.waiting.saturating_sub(1);
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        let mut load = self.load.0.lock().unwrap();
        load.running = load.running.saturating_sub(1);
        drop(load);
        self.load.1.notify_one();
    }

    fn load_header(&self) -> String {
        let load = self.load.0.lock().unwrap();
        format!("Server-Load: {},{},{SLOTS},100\r\n", load.running, load.waiting)
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
