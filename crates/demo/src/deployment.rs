//! A deployment from its folder: `instances.json`, `policy.toml` and the settings of each daemon.

use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use base::instance::{Instance, Role};
use config::configs::Settings;
use config::policy::Policy;
use load::plan::Flow;

use crate::children::Children;
use crate::error::{Error, Result};

/// Longest time for the daemons to become ready.
const READY: Duration = Duration::from_mins(1);
/// Time between two looks at their readiness.
const LOOK: Duration = Duration::from_millis(50);

/// A deployment on one machine.
#[derive(Debug)]
pub struct Deployment {
    /// The processes.
    pub children: Children,
    /// Instances.
    pub instances: Vec<Instance>,
    /// The policy to start with.
    pub policy: Policy,
    /// The store, `IP:PORT`.
    pub store: String,
    /// The list, `IP:PORT`.
    pub list: String,
    folder: PathBuf,
    logs: PathBuf,
}

impl Deployment {
    /// Reads the deployment in `folder`; logs go to `logs`.
    pub fn read(folder: &Path, logs: &Path) -> Result<Self> {
        let path = folder.join("instances.json");
        let wrong = |reason: String| Error::File { path: path.clone(), reason };
        let text = std::fs::read(&path).map_err(|error| wrong(error.to_string()))?;
        let instances: Vec<Instance> = serde_json::from_slice(&text).map_err(|error| wrong(error.to_string()))?;
        let policy = Policy::read(&folder.join("policy.toml")).map_err(|error| Error::Start(error.to_string()))?;
        std::fs::create_dir_all(logs).map_err(|error| Error::Start(error.to_string()))?;
        let first = instances.iter().find(|instance| instance.role == Role::Entry);
        let first = first.ok_or_else(|| wrong("names no entry instance".to_owned()))?;
        let settings = Settings::read(&folder.join(format!("{}.toml", first.name)));
        let settings = settings.map_err(|error| Error::Start(error.to_string()))?;
        Ok(Self {
            children: Children::beside_this()?,
            instances,
            policy,
            store: settings.platform.address,
            list: settings.list.address,
            folder: folder.to_owned(),
            logs: logs.to_owned(),
        })
    }

    /// Starts the platform's stand-ins and all backend servers.
    pub fn start_platform(&mut self) -> Result<()> {
        self.start_store()?;
        let instances = self.folder.join("instances.json");
        let list = ["--address", &self.list, "--instances", &instances.to_string_lossy(), "--lag-ms", "1000"];
        self.children.start("list", "fakelist", &list, None)?;
        for instance in self.instances.clone() {
            if instance.role == Role::Backend {
                self.start_backend(&instance)?;
            }
        }
        let backends = self.instances.iter().filter(|instance| instance.role == Role::Backend);
        let addresses = backends.map(|backend| &backend.address);
        addresses.chain([&self.store, &self.list]).try_for_each(|address| wait_listening(address))
    }

    /// Starts the store.
    pub fn start_store(&mut self) -> Result<()> {
        self.children.start("store", "fakestore", &["--address", &self.store], None)
    }

    /// Starts one backend server.
    pub fn start_backend(&mut self, instance: &Instance) -> Result<()> {
        let slots = instance.slots.to_string();
        let arguments = ["--name", &instance.name, "--address", &instance.address, "--slots", &slots];
        self.children.start(&instance.name, "fakebackend", &arguments, None)
    }

    /// Starts one daemon.
    pub fn start_daemon(&mut self, name: &str) -> Result<()> {
        let settings = self.folder.join(format!("{name}.toml"));
        let log = self.logs.join(format!("{name}.log"));
        self.children.start(name, "hemlockd", &[&settings.to_string_lossy()], Some(&log))
    }

    /// Starts all daemons.
    pub fn start_daemons(&mut self) -> Result<()> {
        for name in self.entries().map(|entry| entry.name.clone()).collect::<Vec<_>>() {
            self.start_daemon(&name)?;
        }
        Ok(())
    }

    /// Entry instances.
    pub fn entries(&self) -> impl Iterator<Item = &Instance> {
        self.instances.iter().filter(|instance| instance.role == Role::Entry)
    }

    /// Puts the policy into the store.
    pub fn apply(&self) -> Result<u64> {
        let store = store::Client::new(&self.store, Duration::from_secs(5));
        let store = store.map_err(|error| Error::Start(error.to_string()))?;
        let start = Instant::now();
        loop {
            let id = format!("start-{}", start.elapsed().as_micros());
            match ctl::change::replace(&store, &id, self.policy.clone(), 0) {
                Ok(done) => return Ok(done.revision()),
                Err(ctl::Error::Conflict { found, .. }) => return Ok(found),
                Err(error) if start.elapsed() > READY => return Err(Error::Start(error.to_string())),
                Err(_) => thread::sleep(LOOK),
            }
        }
    }

    /// Waits until every daemon is ready at `revision` or later.
    pub fn wait_ready(&self, revision: u64) -> Result<()> {
        let agent = ctl::fleet::agent();
        let start = Instant::now();
        loop {
            let missing = self.entries().find(|entry| !ready(&agent, entry, revision));
            let Some(missing) = missing else { return Ok(()) };
            if start.elapsed() > READY {
                return Err(Error::Start(format!("{} is not ready; see its log", missing.name)));
            }
            thread::sleep(LOOK);
        }
    }

    /// One flow for each class: its first path, and `per_second` requests in all.
    pub fn flows(&self, per_second: f64) -> Vec<Flow> {
        let flow = |(name, class): (&String, &config::policy::Class)| {
            let waits = class.may_wait;
            let part = if waits {
                0.02
            } else if class.idempotent {
                0.9
            } else {
                0.04
            };
            let query = if waits { "?work_ms=1000&bytes=200000" } else { "?work_ms=20" };
            Flow {
                name: name.clone(),
                method: if class.idempotent { "GET" } else { "POST" }.to_owned(),
                path: format!("{}{query}", class.paths[0]),
                per_second: per_second * part,
                keyed: !class.idempotent,
                body_bytes: if class.idempotent { 0 } else { 300 },
            }
        };
        self.policy.classes.iter().map(flow).collect()
    }
}

/// Waits until somebody listens at `address`.
fn wait_listening(address: &str) -> Result<()> {
    let start = Instant::now();
    while let Err(error) = TcpStream::connect(address) {
        if start.elapsed() > READY {
            return Err(Error::Start(format!("nobody listens at {address}: {error}")));
        }
        thread::sleep(LOOK);
    }
    Ok(())
}

/// Whether the daemon `entry` is ready at `revision` or later.
fn ready(agent: &ureq::Agent, entry: &Instance, revision: u64) -> bool {
    let url = format!("http://{}/decisions", entry.operators);
    let Ok(state) = ctl::fleet::get::<serde_json::Value>(agent, &url) else {
        return false;
    };
    let at = state["revision"].as_u64().unwrap_or(0);
    state["ready"]["ready"].as_bool().unwrap_or(false) && at >= revision
}
