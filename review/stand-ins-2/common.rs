//! Stand-ins for the scripts of the second review: the platform's store, workers, clients, and the start of the project's own
//! program with the command of the deploy file. Only the standard library is used, and only loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;
/// Longest time that a case may take.
const MAX_RUN: Duration = Duration::from_secs(110);

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
pub const SIGTERM: i32 = 15;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

// ---------------------------------------------------------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run, with the milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = lock(&self.file);
        if writeln!(file, "{now:>7} {text}").is_err() {
            eprintln!("record not written");
        }
    }
}

// ------------------------------------------------------------------------------------------------------------------ case

/// One run of a case: its record, its folder for temporary files, its loopback addresses and the processes that it started.
pub struct Case {
    pub record: Arc<Record>,
    /// Whether the disruption is brought about (`TROUBLE` is not 0).
    pub trouble: bool,
    folder: PathBuf,
    root: PathBuf,
    net: String,
    children: Mutex<Vec<Child>>,
}

impl Case {
    /// Prepares a run. The first argument of the program is the path of the record.
    pub fn new() -> Arc<Self> {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(NOT_RUN)
        });
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("hemlock-review-{pid}"));
        fs::create_dir_all(&folder).expect("the folder for temporary files is writable");
        let case = Arc::new(Self {
            record: Arc::new(Record { file: Mutex::new(file), start: Instant::now() }),
            trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            folder,
            root: std::env::current_dir().expect("the working folder exists"),
            net: format!("127.{}.{}", 64 + pid % 128, pid / 128 % 250),
            children: Mutex::default(),
        });
        let watchdog = Arc::clone(&case);
        thread::spawn(move || {
            thread::sleep(MAX_RUN);
            watchdog.record.line("the run took too long");
            watchdog.end(NOT_RUN);
        });
        case
    }

    /// A loopback address of this run.
    pub fn ip(&self, last: u8) -> String {
        format!("{}.{last}", self.net)
    }

    /// Ends all processes that the run started, and the run itself.
    pub fn end(&self, code: i32) -> ! {
        for child in lock(&self.children).iter_mut() {
            drop(child.kill());
            drop(child.wait());
        }
        drop(fs::remove_dir_all(&self.folder));
        let verdict = match code {
            BROKEN => "the rule was broken",
            HELD => "the rule held",
            _ => "the case could not run",
        };
        self.record.line(&format!("result: {verdict}"));
        println!("{verdict}");
        std::process::exit(code)
    }

    /// Ends the run as one that could not be carried out.
    pub fn give_up(&self, reason: &str) -> ! {
        self.record.line(&format!("not run: {reason}"));
        self.end(NOT_RUN)
    }

    pub fn require(&self, condition: bool, reason: &str) {
        if !condition {
            self.give_up(reason);
        }
    }
}

/// Polls until `condition` holds, for at most `limit`; returns whether it held.
pub fn wait(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(ms(10));
    }
}

// --------------------------------------------------------------------------------------------------------------- machine

/// A machine of the system: one process of the project's program.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub pid: u32,
}

/// What a machine is given; the defaults are those of `mich-a` in the sheet of Bayline.
#[derive(Clone)]
pub struct Plan {
    pub name: String,
    pub zone: String,
    pub memory_mb: u32,
    pub descriptors: u32,
    pub seeds: Vec<String>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Further words of the platform's table `bounds`, such as `revoke_strict`.
    pub bounds: BTreeMap<String, String>,
}

impl Plan {
    pub fn new(name: &str, zone: &str) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            memory_mb: 260,
            descriptors: 4_100,
            seeds: Vec::new(),
            bootstrap: true,
            bounds: BTreeMap::new(),
        }
    }
}

const ZONES: [(&str, &str); 6] = [
    ("mich-a", "mich"),
    ("ohio-a", "ohio"),
    ("ontario-a", "ontario"),
    ("mich-b", "mich"),
    ("ohio-b", "ohio"),
    ("ontario-b", "ontario"),
];

fn region_of(zone: &str) -> &'static str {
    ZONES.iter().find(|(name, _)| *name == zone).map_or("mich", |(_, region)| region)
}

impl Machine {
    pub fn front(&self) -> String {
        format!("{}:8144", self.ip)
    }

    pub fn control(&self) -> String {
        format!("{}:8146", self.ip)
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started by this run, and is waited for only at its end.
        unsafe { kill(self.pid as i32, signal) };
    }

    /// Whether the platform's readiness question is answered with 200.
    pub fn is_ready(&self) -> bool {
        let text = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        exchange(&format!("{}:8140", self.ip), text.as_bytes(), ms(1_000)).is_some_and(|answer| answer.status == 200)
    }

    /// A figure of the process's status in kilobytes; `None` if it has ended.
    pub fn status_kb(&self, name: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Case {
    /// Starts a machine at the address `127.x.y.last` with the command and the template of the deploy file.
    pub fn start_machine(&self, plan: &Plan, last: u8, store: &str) -> Machine {
        let ip = self.ip(last);
        let mut values: BTreeMap<String, String> = BTreeMap::new();
        let mut set = |key: &str, value: &str| drop(values.insert(key.to_owned(), value.to_owned()));
        set("node_name", &plan.name);
        set("zone", &plan.zone);
        set("region", region_of(&plan.zone));
        set("ip", &ip);
        for (name, port) in [("front", 8_144), ("ready", 8_140), ("control", 8_146), ("directory", 8_143)] {
            set(&format!("listen.{name}"), &format!("{ip}:{port}"));
        }
        set("port_range.0", "7660");
        set("provider.address", store);
        set("bounds.retry_budget_ratio", "0.2");
        set("bounds.retry_budget_burst", "58");
        set("limits.cpu_share", "0.2");
        set("limits.cpu_cores", "1");
        set("limits.memory_mb", &plan.memory_mb.to_string());
        set("limits.max_fds", &plan.descriptors.to_string());
        set("limits.link_mbps", "1000.0");
        for (name, value) in &plan.bounds {
            set(&format!("bounds.{name}"), value);
        }
        let template = self.read("platform/settings.toml");
        let settings = render(&template, &values, plan);
        let path = self.folder.join(format!("{}.toml", plan.name));
        fs::write(&path, settings).expect("the folder is writable");
        let deploy = self.read("deploy/system.toml");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).and_then(|line| line.strip_suffix('"'));
        let Some(run) = run else { self.give_up("the deploy file has no run line") };
        let words: Vec<String> = run.split(' ').map(|word| render(word, &values, plan)).collect();
        let words = words.into_iter().map(|word| {
            if word == "/etc/hemlockcross/node.toml" { path.display().to_string() } else { word }
        });
        let words: Vec<String> = words.collect();
        let log = File::create(self.folder.join(format!("{}.log", plan.name))).expect("the folder is writable");
        let errors = log.try_clone().expect("a file can be cloned");
        let mut command = Command::new(self.root.join(&words[0]));
        command.args(&words[1..]).current_dir(&self.root).stdin(Stdio::null()).stdout(log).stderr(errors);
        // A process that this run starts ends with it, also if the run itself is killed.
        // SAFETY: only an async-signal-safe call is made between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = match command.spawn() {
            Ok(child) => child,
            Err(error) => self.give_up(&format!("{} does not start: {error}", words[0])),
        };
        let pid = child.id();
        lock(&self.children).push(child);
        self.record.line(&format!("machine {} started", plan.name));
        Machine { name: plan.name.clone(), ip, pid }
    }

    /// Ends a machine's process at once, as the platform does when it kills one.
    pub fn kill_machine(&self, machine: &Machine) {
        for child in lock(&self.children).iter_mut().filter(|child| child.id() == machine.pid) {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// What a machine has logged.
    pub fn log_of(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    fn read(&self, path: &str) -> String {
        fs::read_to_string(self.root.join(path)).unwrap_or_else(|error| self.give_up(&format!("{path}: {error}")))
    }
}

/// Fills in a template as the platform does; of its sections, only that for the zones is known.
fn render(template: &str, values: &BTreeMap<String, String>, plan: &Plan) -> String {
    let mut text = template.to_owned();
    if let (Some(begin), Some(end)) = (text.find("{{#zones}}"), text.find("{{/zones}}")) {
        let zones: String = ZONES.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
        text.replace_range(begin..end + "{{/zones}}".len(), &zones);
    }
    let mut out = String::new();
    let mut rest = text.as_str();
    while let Some((before, after)) = rest.split_once("{{") {
        let Some((name, after)) = after.split_once("}}") else { break };
        out.push_str(before);
        rest = after;
        match name.strip_suffix("|json") {
            Some("seeds") => drop(write!(out, "{:?}", plan.seeds)),
            Some("bootstrap") => drop(write!(out, "{}", plan.bootstrap)),
            Some(name) => drop(write!(out, "{:?}", values.get(name).cloned().unwrap_or_default())),
            None => out.push_str(values.get(name).map_or("", String::as_str)),
        }
    }
    out + rest
}

// ------------------------------------------------------------------------------------------------------------------ HTTP

/// A request as a stand-in reads it.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Reads the next request of a connection; `None` if the connection ends first.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        Self::read_slowly(reader, Duration::ZERO)
    }

    /// Does the same, with a pause after each 64 KiB of the body.
    pub fn read_slowly(reader: &mut impl BufRead, pause: Duration) -> Option<Self> {
        const PIECE: usize = 65_536;
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        let mut words = line.split_whitespace();
        let mut request = Self {
            method: words.next()?.to_owned(),
            target: words.next()?.to_owned(),
            ..Self::default()
        };
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            request.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        request.body = vec![0; length];
        for piece in request.body.chunks_mut(PIECE) {
            reader.read_exact(piece).ok()?;
            if piece.len() == PIECE {
                thread::sleep(pause);
            }
        }
        Some(request)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or_default()
    }

    fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.target.split_once('?')?.1.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value)
    }
}

/// An answer as a client reads it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn retry_after(&self) -> Duration {
        let seconds = self.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        Duration::from_secs_f64(seconds.unwrap_or(0.0).clamp(0.0, 10.0))
    }

    /// Reads a whole answer; `None` if the connection ends or nothing comes in time.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        let mut answer = Self { status: line.split_whitespace().nth(1)?.parse().ok()?, ..Self::default() };
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            answer.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let length = answer.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        answer.body = vec![0; length];
        reader.read_exact(&mut answer.body).ok()?;
        Some(answer)
    }
}

/// Sends `bytes` over a new connection and reads one answer.
pub fn exchange(address: &str, bytes: &[u8], limit: Duration) -> Option<Answer> {
    let mut stream = connect(address, ms(1_000)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(bytes).ok()?;
    Answer::read(&mut BufReader::new(stream))
}

pub fn connect(address: &str, limit: Duration) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Listens at a free port of `ip` and serves each connection on a thread of its own; returns the bound address.
pub fn listen(ip: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("the address is free");
    let bound = listener.local_addr().expect("it is bound").to_string();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    bound
}

// ----------------------------------------------------------------------------------------------------------------- store

#[derive(Debug, Clone)]
struct Item {
    key: String,
    /// In base64, as it is sent; `None` for a deletion.
    value: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// All changes, in order.
    history: Vec<Item>,
    revision: u64,
    leases: u64,
}

/// The platform's metadata store: keys, watches, transactions and leases as the page "The platform's metadata store" has them.
/// It keeps its whole history, and its leases do not end.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves at an address of `ip`; returns it.
    pub fn start(&self, ip: &str) -> String {
        let store = self.clone();
        listen(ip, move |stream| store.serve(stream))
    }

    /// Writes a key, as the operator and the workers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = lock(&self.0.0);
        state.put(key, base64(value.as_bytes()), 0);
        self.0.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.0.0);
        state.remove(key);
        self.0.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/hemlockcross/kv-key") => self.read(request),
            ("GET", "/hemlockcross/kv-range") => self.range(request),
            ("GET", "/hemlockcross/kv-watch") => self.watch(request),
            ("POST", "/hemlockcross/kv-txn") => self.commit(request),
            ("POST", "/hemlockcross/kv-lease") => {
                let mut state = lock(&self.0.0);
                state.leases += 1;
                (200, format!("{{\"lease\":{},\"ttl_s_time\":60}}", state.leases))
            }
            ("POST", _) if path.starts_with("/hemlockcross/kv-keep/") => (200, "{\"ttl_s_time\":60}".to_owned()),
            ("DELETE", _) if path.starts_with("/hemlockcross/kv-lease-end/") => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let state = lock(&self.0.0);
        let item = request.query("key").and_then(|key| state.items.get(key));
        item.map_or((404, format!("{{\"current_rev\":{}}}", state.revision)), |item| (200, item.json(Some(state.revision))))
    }

    fn range(&self, request: &Request) -> (u16, String) {
        const PAGE: usize = 50;
        let state = lock(&self.0.0);
        let (prefix, after) = (request.query("prefix").unwrap_or(""), request.query("after").unwrap_or(""));
        let fitting = state.items.values().filter(|item| item.key.starts_with(prefix) && item.key.as_str() > after);
        let mut items: Vec<String> = fitting.take(PAGE + 1).map(|item| item.json(None)).collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        (200, format!("{{\"items\":[{}],\"has_more\":{more},\"current_rev\":{}}}", items.join(","), state.revision))
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let after: u64 = request.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait: u64 = request.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let prefix = request.query("prefix").unwrap_or("").to_owned();
        let end = Instant::now() + ms(wait.min(30_000));
        let mut state = lock(&self.0.0);
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|item| item.revision > after && item.key.starts_with(&prefix))
                .map(|item| item.json(None))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"current_rev\":{}}}", events.join(","), state.revision));
            }
            state = self.0.1.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn commit(&self, request: &Request) -> (u16, String) {
        let Some(call) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        let mut state = lock(&self.0.0);
        let own = |key: &str| !key.starts_with("op/") && !key.starts_with("servers/");
        let rows: Vec<(String, u64)> =
            call.list("precondition").iter().map(|row| (row.text("key"), row.number("revision"))).collect();
        let puts: Vec<(String, String, u64)> =
            call.list("puts").iter().map(|put| (put.text("key"), put.text("value"), put.number("lease"))).collect();
        let removed: Vec<String> = call.list("remove").iter().map(Json::as_text).collect();
        if !puts.iter().all(|(key, _, _)| own(key)) || !removed.iter().all(|key| own(key)) {
            return (403, "{}".to_owned());
        }
        let holds = |(key, revision): &(String, u64)| state.items.get(key).map_or(0, |item| item.revision) == *revision;
        if !rows.iter().all(holds) {
            let items: Vec<String> =
                rows.iter().filter_map(|(key, _)| state.items.get(key)).map(|item| item.json(None)).collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        for (key, value, lease) in puts {
            state.put(&key, value, lease);
        }
        for key in removed {
            state.remove(&key);
        }
        self.0.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { key: key.to_owned(), value: Some(value), revision, created, lease };
        self.history.push(item.clone());
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if let Some(item) = self.items.remove(key) {
            self.revision += 1;
            self.history.push(Item { value: None, revision: self.revision, ..item });
        }
    }
}

impl Item {
    fn json(&self, current: Option<u64>) -> String {
        let Self { key, value, revision, created, lease } = self;
        let current = current.map_or_else(String::new, |current| format!(",\"current_rev\":{current}"));
        match value {
            Some(value) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}{current}}}"
            ),
            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let all = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            let known = digit <= chunk.len();
            text.push(if known { char::from(DIGITS[(all >> (18 - 6 * digit)) as usize & 63]) } else { '=' });
        }
    }
    text
}

/// A JSON value, as far as calls to the store need it.
#[derive(Debug, Clone)]
enum Json {
    Text(String),
    Number(f64),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
    Other,
}

impl Json {
    fn parse(bytes: &[u8]) -> Option<Self> {
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        skip(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                let mut fields = Vec::new();
                Self::sequence(bytes, at, b'}', |bytes, at| {
                    let Self::Text(name) = Self::value(bytes, at)? else { return None };
                    skip(bytes, at);
                    *at += 1;
                    fields.push((name, Self::value(bytes, at)?));
                    Some(())
                })?;
                Some(Self::Object(fields))
            }
            b'[' => {
                let mut values = Vec::new();
                Self::sequence(bytes, at, b']', |bytes, at| {
                    values.push(Self::value(bytes, at)?);
                    Some(())
                })?;
                Some(Self::List(values))
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                while *bytes.get(*at)? != b'"' {
                    *at += usize::from(bytes[*at] == b'\\');
                    text.push(*bytes.get(*at)?);
                    *at += 1;
                }
                *at += 1;
                Some(Self::Text(String::from_utf8_lossy(&text).into_owned()))
            }
            _ => {
                let begin = *at;
                while bytes.get(*at).is_some_and(|byte| !b",]}\t\r\n ".contains(byte)) {
                    *at += 1;
                }
                let word = std::str::from_utf8(&bytes[begin..*at]).ok()?;
                Some(word.parse().map_or(Self::Other, Self::Number))
            }
        }
    }

    fn sequence(
        bytes: &[u8],
        at: &mut usize,
        end: u8,
        mut next: impl FnMut(&[u8], &mut usize) -> Option<()>,
    ) -> Option<()> {
        *at += 1;
        loop {
            skip(bytes, at);
            match *bytes.get(*at)? {
                byte if byte == end => {
                    *at += 1;
                    return Some(());
                }
                b',' => *at += 1,
                _ => next(bytes, at)?,
            }
        }
    }

    fn get(&self, name: &str) -> Option<&Self> {
        let Self::Object(fields) = self else { return None };
        fields.iter().find(|(known, _)| known == name).map(|(_, value)| value)
    }

    fn list(&self, name: &str) -> Vec<Self> {
        if let Some(Self::List(values)) = self.get(name) { values.clone() } else { Vec::new() }
    }

    fn text(&self, name: &str) -> String {
        self.get(name).map(Self::as_text).unwrap_or_default()
    }

    fn as_text(&self) -> String {
        if let Self::Text(text) = self { text.clone() } else { String::new() }
    }

    fn number(&self, name: &str) -> u64 {
        if let Some(Self::Number(number)) = self.get(name) { *number as u64 } else { 0 }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

// --------------------------------------------------------------------------------------------------------------- workers

/// One request that a worker began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: u64,
    pub service: String,
    pub worker: String,
    pub id: String,
    pub path: String,
    /// When the answer was ready; `None` while it works.
    pub done: Option<u64>,
}

/// All that the workers have run.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        lock(&self.0).clone()
    }
}

/// How the workers of a case work.
#[derive(Clone)]
pub struct Work {
    pub slots: usize,
    pub time: Duration,
    /// Bytes of an answer.
    pub answer_bytes: usize,
    /// Pause of the worker after each 64 KiB of a body that it reads.
    pub read_pause: Duration,
    /// While the flag is set, work takes this time instead.
    pub slow: Option<(Arc<AtomicBool>, Duration)>,
}

/// Starts `count` workers of a service and registers them in the store. A worker works on `slots` requests at once, lets some more
/// wait, turns others away as not run, stops at the deadline that it was given, and answers 421 if another worker is meant.
pub fn start_workers(case: &Arc<Case>, store: &Store, runs: &Runs, service: &str, zone: &str, count: usize, work: &Work) {
    static LAST: AtomicUsize = AtomicUsize::new(100);
    for _ in 0..count {
        let number = LAST.fetch_add(1, Ordering::Relaxed);
        let name = format!("w-{number}");
        let worker = Arc::new(Worker {
            case: Arc::clone(case),
            runs: runs.clone(),
            service: service.to_owned(),
            name: name.clone(),
            work: work.clone(),
            load: Mutex::default(),
            freed: Condvar::new(),
        });
        let address = listen(&case.ip(number as u8), move |stream| worker.serve(stream));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |now| now.as_millis());
        let slots = work.slots;
        store.put(
            &format!("servers/{name}"),
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
\"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":1,\"born\":{born}}}"
            ),
        );
        case.record.line(&format!("worker {name} of {service} at {address}"));
    }
}

struct Worker {
    case: Arc<Case>,
    runs: Runs,
    service: String,
    name: String,
    work: Work,
    /// Requests that run, and requests that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
}

/// Requests that may wait at a worker.
const QUEUE: usize = 9;

impl Worker {
    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::with_capacity(65_536, stream);
        while let Some(request) = Request::read_slowly(&mut reader, self.work.read_pause) {
            if writer.write_all(&self.answer(&request)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Vec<u8> {
        let id = request.id();
        if request.header("target-instance").is_some_and(|meant| meant != self.name) {
            let text = format!("HTTP/1.1 421 X\r\nInstance-Id: {}\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n", self.name);
            return text.into_bytes();
        }
        let refused = format!("HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n").into_bytes();
        let limit = request.header("deadline-ms").and_then(|text| text.parse().ok()).map_or(Duration::MAX, ms);
        let arrived = Instant::now();
        let mut load = lock(&self.load);
        if load.0 >= self.work.slots && load.1 >= QUEUE {
            return refused;
        }
        load.1 += 1;
        while load.0 >= self.work.slots {
            let left = limit.saturating_sub(arrived.elapsed());
            if left.is_zero() {
                load.1 -= 1;
                return refused;
            }
            load = self.freed.wait_timeout(load, left.min(ms(1_000))).unwrap_or_else(PoisonError::into_inner).0;
        }
        *load = (load.0 + 1, load.1 - 1);
        drop(load);
        let record = &self.case.record;
        record.line(&format!("run   {id} {} {} at {} of {}", request.method, request.target, self.name, self.service));
        let run = Run {
            at: record.now(),
            service: self.service.clone(),
            worker: self.name.clone(),
            id: id.to_owned(),
            path: request.target.clone(),
            done: None,
        };
        let index = {
            let mut runs = lock(&self.runs.0);
            runs.push(run);
            runs.len() - 1
        };
        let slow = self.work.slow.as_ref().filter(|(is_slow, _)| is_slow.load(Ordering::SeqCst));
        let time = slow.map_or(self.work.time, |(_, time)| *time);
        let left = limit.saturating_sub(arrived.elapsed());
        thread::sleep(time.min(left));
        let (running, waiting) = {
            let mut load = lock(&self.load);
            load.0 -= 1;
            self.freed.notify_one();
            (load.0, load.1)
        };
        if time > left {
            return format!("HTTP/1.1 504 X\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n").into_bytes();
        }
        lock(&self.runs.0)[index].done = Some(record.now());
        let bytes = self.work.answer_bytes;
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {id}.{bytes}\r\nServer-Load: {running},{waiting},{}\r\nContent-Length: {bytes}\r\n\r\n",
            self.work.slots
        );
        let mut answer = head.into_bytes();
        answer.resize(answer.len() + bytes, b'x');
        answer
    }
}

// -------------------------------------------------------------------------------------------------------------- operator

/// A route of the desired state.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
    pub target_s: f64,
    pub max_attempts: u32,
    pub priority: u32,
}

/// The desired state as the operator writes it, with the `limits` of the example that `fleetbench wire` shows; `tenants` is the
/// text of the field, empty for none.
pub fn desired_state(version: u32, routes: &[Route<'_>], services: &[&str], tenants: &str) -> String {
    let route = |route: &Route<'_>| {
        let Route { name, kind, service, timeout_s, target_s, max_attempts, priority } = route;
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"service\":\"{service}\",\
\"timeout_s\":{timeout_s},\"target_latency_s\":{target_s},\"max_attempts\":{max_attempts},\"priority\":{priority},\
\"affinity\":false,\"allowed_regions\":[]}}"
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let service = |name: &&str| {
        format!("{{\"name\":\"{name}\",\"health_check_path\":\"/healthz\",\"cold_start_s\":3,\"cold_per_s\":4}}")
    };
    let services: Vec<String> = services.iter().map(service).collect();
    let tenants = if tenants.is_empty() { String::new() } else { format!(",\"tenants\":[{tenants}]") };
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}{tenants}}}",
        routes.join(","),
        services.join(",")
    )
}

// --------------------------------------------------------------------------------------------------------------- clients

/// Returns the text of a request without its body.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64, headers: &str, length: usize) -> String {
    let length = if length > 0 || method == "POST" { format!("Content-Length: {length}\r\n") } else { String::new() };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n{headers}{length}\r\n"
    )
}

/// A number that is new with each call.
pub fn next_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A flag that tells threads to stop.
pub fn flag() -> Arc<AtomicBool> {
    Arc::default()
}
