//! A small deployment on loopback: the store, workers and the project's own program as one process a machine, started
//! with the template and the command of the deploy file.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client;
use crate::http;
use crate::link::Link;
use crate::record;
use crate::store::Store;
use crate::worker::{Crashes, Runs, Work, Worker};

/// Zones with their regions, as in the site `bayline-underlay`.
pub const ZONES: [(&str, &str); 6] = [
    ("mich-a", "mich"),
    ("ohio-a", "ohio"),
    ("ontario-a", "ontario"),
    ("mich-b", "mich"),
    ("ohio-b", "ohio"),
    ("ontario-b", "ontario"),
];
/// The zones of the site `onfot-gslb`.
pub const ONFOT_ZONES: [(&str, &str); 6] = [
    ("casa-ain-sebaa", "casa-settat"),
    ("settat-nord", "casa-settat"),
    ("fes-sidi-brahim", "fes-meknes"),
    ("meknes-mejjat", "fes-meknes"),
    ("agadir-tassila", "souss-massa"),
    ("ait-melloul", "souss-massa"),
];
pub type Zones = [(&'static str, &'static str); 6];
pub const PORTAL: &str = "store-portal";
pub const GATEWAY: &str = "dist-gateway";
pub const HOST: &str = "ficu95.example";
/// Seconds from SIGTERM to SIGKILL.
pub const GRACE_S: f64 = 6.0;

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub ip: String,
    child: Option<Child>,
}

impl Machine {
    pub fn front(&self) -> String {
        format!("{}:8144", self.ip)
    }

    pub fn directory(&self) -> String {
        format!("{}:8143", self.ip)
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn is_ready(&self) -> bool {
        client::get(&format!("{}:8140", self.ip), "/ready", "ready").is_some_and(|answer| answer.status() == 200)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

pub struct Deployment {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub workers: Vec<Worker>,
    /// Service and zone of each worker.
    places: Vec<(String, String)>,
    pub runs: Runs,
    /// The path of each machine to the store.
    pub store_links: Vec<Link>,
    zones: Zones,
    /// Start of the workers, in Unix milliseconds.
    born: u64,
    block: String,
    folder: String,
}

impl Deployment {
    /// Starts the store with `config`, the workers of both services, and 7 machines in 6 zones; waits until all are ready.
    pub fn start(config: &str, work: &Work) -> Option<Self> {
        Self::start_with(config, work, &(Arc::new(|_: &http::Message| false) as Crashes))
    }

    /// The same with requests that crash the workers that run them.
    pub fn start_with(config: &str, work: &Work, crashes: &Crashes) -> Option<Self> {
        Self::start_in(ZONES, config, work, crashes)
    }

    /// The same with other zones; the first of them has two machines.
    pub fn start_in(zones: Zones, config: &str, work: &Work, crashes: &Crashes) -> Option<Self> {
        let block = free_block()?;
        let folder = std::env::temp_dir().join(format!("hemlock-review-{}", std::process::id()));
        let folder = folder.to_string_lossy().into_owned();
        fs::create_dir_all(&folder).ok()?;
        let runs: Runs = Arc::new(Mutex::new(BTreeMap::new()));
        let store = Store::start(&format!("{block}.250:8142"));
        let mut deployment = Self { store, machines: Vec::new(), workers: Vec::new(), places: Vec::new(), runs, store_links: Vec::new(), zones, born: 0, block, folder };
        deployment.store.put("op/config", config);
        deployment.start_workers(work, crashes);
        for (index, (zone, region)) in [zones[0]].iter().chain(&zones).enumerate() {
            let number = if index == 1 { 2 } else { 1 };
            let ip = format!("{}.{}", deployment.block, 11 + index);
            let name = format!("front-{zone}-{number}");
            let machine = Machine { name, zone: (*zone).into(), region: (*region).into(), ip, child: None };
            deployment.machines.push(machine);
            let (from, to) = (format!("{}.{}:8142", deployment.block, 201 + index), format!("{}.250:8142", deployment.block));
            deployment.store_links.push(Link::start(&from, &to));
        }
        for index in 0..deployment.machines.len() {
            deployment.start_machine(index, true)?;
        }
        let end = Instant::now() + Duration::from_secs(20);
        while !deployment.machines.iter().all(Machine::is_ready) {
            if Instant::now() > end {
                record::say("not all machines became ready");
                return None;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Some(deployment)
    }

    fn start_workers(&mut self, work: &Work, crashes: &Crashes) {
        self.born = unix_ms();
        let born = self.born;
        let services = [(PORTAL, [1, 3, 4, 1, 3, 4]), (GATEWAY, [1, 2, 3, 1, 2, 3])];
        for (service, counts) in services {
            for ((zone, _), count) in self.zones.iter().zip(counts) {
                for _ in 0..count {
                    let number = self.workers.len();
                    let address = format!("{}.{}:8080", self.block, 100 + number);
                    let worker = Worker::start(&format!("i-{number:010x}"), &address, &self.runs, work, crashes);
                    self.store.put(&format!("servers/{}", worker.id), &worker.entry(service, zone, born, 0.0, "ready"));
                    self.places.push((service.to_owned(), (*zone).to_owned()));
                    self.workers.push(worker);
                }
            }
        }
    }

    /// Starts the process of a machine with the settings that the platform fills in.
    pub fn start_machine(&mut self, index: usize, first: bool) -> Option<()> {
        let seeds: Vec<String> = self.machines.iter().step_by(2).take(3).map(|machine| format!("{}:8146", machine.ip)).collect();
        let machine = &mut self.machines[index];
        let path = format!("{}/{}.toml", self.folder, machine.name);
        let template = fs::read_to_string("platform/settings.toml").ok()?;
        let store = format!("{}.{}:8142", self.block, 201 + index);
        fs::write(&path, fill(&template, machine, &seeds, &store, first, &self.zones)).ok()?;
        let log = File::options().create(true).append(true).open(format!("{}/{}.log", self.folder, machine.name)).ok()?;
        let mut command = Command::new("target/release/hemlockplatform");
        command.arg(&path).env("HEMLOCKCROSS_NODE_FILE", &path).stdin(Stdio::null());
        command.stdout(log.try_clone().ok()?).stderr(log);
        let child = command.spawn().ok()?;
        note_process(child.id());
        machine.child = Some(child);
        record::line(&format!("platform starts {} at {}", machine.name, machine.ip));
        Some(())
    }

    /// Starts a worker again after a crash: a new boot, cold, under the id that it had.
    pub fn restart_worker(&self, index: usize) {
        let (service, zone) = &self.places[index];
        let worker = &self.workers[index];
        if worker.is_down() {
            worker.restart();
        }
        self.store.put(&format!("servers/{}", worker.id), &worker.entry(service, zone, unix_ms(), 3.0, "ready"));
    }

    /// A worker leaves: it reports that it drains, or its key is removed; it goes on serving.
    pub fn leave_worker(&self, index: usize, is_reported: bool) {
        let worker = &self.workers[index];
        let (service, zone) = &self.places[index];
        let key = format!("servers/{}", worker.id);
        if is_reported {
            self.store.put(&key, &worker.entry(service, zone, self.born, 0.0, "draining"));
        } else {
            self.store.remove(&key);
        }
    }

    /// A worker that left exits, and its key is gone.
    pub fn end_worker(&self, index: usize) {
        self.workers[index].end();
        self.store.remove(&format!("servers/{}", self.workers[index].id));
    }

    /// Sends a signal to a machine's process.
    pub fn signal(&self, index: usize, signal: &str) {
        let Some(pid) = self.machines[index].pid() else { return };
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(pid.to_string()).status();
        record::line(&format!("platform sends SIG{signal} to {}", self.machines[index].name));
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Writes the id of a process that was started, for `run.sh`, which ends it if the rig itself is ended.
fn note_process(id: u32) {
    let Some(path) = std::env::var_os("RIG_PIDS") else { return };
    if let Ok(mut file) = File::options().create(true).append(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Finds a block of loopback addresses whose ports are free.
fn free_block() -> Option<String> {
    let mut seed = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.subsec_nanos() ^ std::process::id();
    for _ in 0..50 {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let block = format!("127.{}.{}", 16 + (seed >> 24) % 200, 1 + (seed >> 16 & 0xff) % 250);
        let free = ["11:8144", "11:9464", "17:8146", "100:8080", "250:8142"];
        if free.iter().all(|end| TcpListener::bind(format!("{block}.{end}")).is_ok()) {
            return Some(block);
        }
    }
    None
}

/// Fills in the template of the settings, as DEPLOY.md describes it.
fn fill(template: &str, machine: &Machine, seeds: &[String], store: &str, first: bool, zones: &Zones) -> String {
    let quoted = |text: &str| format!("\"{text}\"");
    let seeds: Vec<String> = seeds.iter().map(|seed| quoted(seed)).collect();
    let values = [
        ("node_name|json", quoted(&machine.name)),
        ("zone|json", quoted(&machine.zone)),
        ("region|json", quoted(&machine.region)),
        ("listen.front|json", quoted(&machine.front())),
        ("listen.directory|json", quoted(&machine.directory())),
        ("listen.ready|json", quoted(&format!("{}:8140", machine.ip))),
        ("listen.control|json", quoted(&format!("{}:8146", machine.ip))),
        ("ip", machine.ip.clone()),
        ("seeds|json", format!("[{}]", seeds.join(","))),
        ("bootstrap|json", first.to_string()),
        ("provider.address|json", quoted(store)),
        ("bounds.retry_budget_ratio", "0.2".to_owned()),
        ("bounds.retry_budget_burst", "58".to_owned()),
    ];
    let zones: String = zones.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
    let (before, rest) = template.split_once("{{#zones}}").unwrap_or((template, ""));
    let after = rest.split_once("{{/zones}}").map_or("", |(_, after)| after);
    let mut text = format!("{before}{zones}{after}");
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    text
}

/// A desired state: the routes of `bayline-underlay`, and `more` of them.
pub fn config(version: u32, more: &[String]) -> String {
    let route = |name: &str, prefix: &str, kind: &str, timeout: f64, target: f64, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_s\":{timeout},\
             \"target_latency_s\":{target},\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\
             \"affinity\":true,\"allowed_regions\":[]}}"
        )
    };
    let mut routes = vec![
        route("stock-lookup", "/stock/", "safe", 1.2, 0.3, PORTAL),
        route("order-place", "/orders/", "unsafe", 1.5, 0.4, PORTAL),
        route("catalogue-pull", "/catalogue/", "safe", 3.0, 0.8, GATEWAY),
        route("order-confirm", "/confirm/", "unsafe", 1.0, 0.25, GATEWAY),
    ];
    routes.extend(more.iter().cloned());
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_check_path\":\"/healthz\",\"max_connections\":330,\"protocol\":\"h1\",\
             \"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":3.6}}"
        )
    };
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}}}",
        routes.join(","),
        service(PORTAL),
        service(GATEWAY)
    )
}

/// Connects within a second, as clients do.
pub fn connect(address: &str) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address.parse().ok()?, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}
