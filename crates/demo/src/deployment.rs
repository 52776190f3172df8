//! A deployment read from its folder: `instances.json`, `policy.toml` and the settings of each daemon.

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

/// Timeout for the stand-ins to listen, for the store to accept the policy, and for the daemons to become ready.
const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// Time between two checks while waiting for one of these.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A deployment on one machine.
#[derive(Debug)]
pub struct Deployment {
    /// The running processes.
    pub children: Children,
    /// All instances: backend servers and daemons.
    pub instances: Vec<Instance>,
    /// The initial policy.
    pub policy: Policy,
    /// Address of the store, `IP:PORT`.
    pub store_address: String,
    /// Address of the list of instances, `IP:PORT`.
    pub list_address: String,
    folder: PathBuf,
    logs: PathBuf,
}

impl Deployment {
    /// Reads the deployment in `folder`; logs go to `logs`.
    pub fn read(folder: &Path, logs: &Path) -> Result<Self> {
        let path = folder.join("instances.json");
        let invalid = |reason: String| Error::File { path: path.clone(), reason };
        let text = std::fs::read(&path).map_err(|error| invalid(error.to_string()))?;
        let instances: Vec<Instance> = serde_json::from_slice(&text).map_err(|error| invalid(error.to_string()))?;
        let policy = Policy::read(&folder.join("policy.toml")).map_err(|error| Error::Start(error.to_string()))?;
        std::fs::create_dir_all(logs).map_err(|error| Error::Start(error.to_string()))?;
        let entry = instances.iter().find(|instance| instance.role == Role::Entry);
        let entry = entry.ok_or_else(|| invalid("lists no entry instance".to_owned()))?;
        let settings = read_settings(folder, &entry.name)?;
        Ok(Self {
            children: Children::from_current_exe()?,
            instances,
            policy,
            store_address: settings.platform.address,
            list_address: settings.list.address,
            folder: folder.to_owned(),
            logs: logs.to_owned(),
        })
    }

    /// Starts the stand-ins for the platform and all backend servers, and waits until they listen.
    pub fn start_platform(&mut self) -> Result<()> {
        self.start_store()?;
        let instances = self.folder.join("instances.json");
        let arguments =
            ["--address", &self.list_address, "--instances", &instances.to_string_lossy(), "--lag-ms", "1000"];
        self.children.start("list", "fakelist", &arguments, None)?;
        for instance in self.instances.clone() {
            if instance.role == Role::Backend {
                self.start_backend(&instance)?;
            }
        }
        let backends = self.instances.iter().filter(|instance| instance.role == Role::Backend);
        let addresses = backends.map(|backend| &backend.address);
        addresses.chain([&self.store_address, &self.list_address]).try_for_each(|address| wait_listening(address))
    }

    /// Starts the store.
    pub fn start_store(&mut self) -> Result<()> {
        self.children.start("store", "fakestore", &["--address", &self.store_address], None)
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

    /// Returns the entry instances.
    pub fn entries(&self) -> impl Iterator<Item = &Instance> {
        self.instances.iter().filter(|instance| instance.role == Role::Entry)
    }

    /// Writes the initial policy to the store, retrying while the store fails. Returns its revision, or that of the
    /// policy that the store already holds.
    pub fn apply_policy(&self) -> Result<u64> {
        let store = store::Client::new(&self.store_address, Duration::from_secs(5));
        let store = store.map_err(|error| Error::Start(error.to_string()))?;
        let start = Instant::now();
        loop {
            let id = format!("start-{}", start.elapsed().as_micros());
            match ctl::change::replace(&store, &id, self.policy.clone(), 0) {
                Ok(done) => return Ok(done.revision()),
                Err(ctl::Error::Conflict { found, .. }) => return Ok(found),
                Err(error) if start.elapsed() > READY_TIMEOUT => return Err(Error::Start(error.to_string())),
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// Waits until every daemon is ready and has `revision` or a later one in force.
    pub fn wait_ready(&self, revision: u64) -> Result<()> {
        let agent = ctl::fleet::agent();
        let start = Instant::now();
        loop {
            let missing = self.entries().find(|entry| !is_ready(&agent, entry, revision));
            let Some(missing) = missing else { return Ok(()) };
            if start.elapsed() > READY_TIMEOUT {
                return Err(Error::Start(format!("{} is not ready; see its log", missing.name)));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the addresses at which the entry instances answer look-ups.
    pub fn lookup_addresses(&self) -> Result<Vec<String>> {
        self.entries().map(|entry| Ok(read_settings(&self.folder, &entry.name)?.callers.lookup_address())).collect()
    }

    /// Returns one flow for each class, to its first path. A class that may wait sends 2 % of `per_second`, any other
    /// idempotent class 90 %, and the rest 4 % each. With the classes of the checked-in deployments, this is
    /// `per_second` in all.
    pub fn flows(&self, per_second: f64) -> Vec<Flow> {
        let flow = |(name, class): (&String, &config::policy::Class)| {
            let waits = class.may_wait;
            let fraction = if waits {
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
                per_second: per_second * fraction,
                keyed: !class.idempotent,
                body_bytes: if class.idempotent { 0 } else { 300 },
            }
        };
        self.policy.classes.iter().map(flow).collect()
    }
}

/// Reads the settings of the daemon `name`.
fn read_settings(folder: &Path, name: &str) -> Result<Settings> {
    Settings::read(&folder.join(format!("{name}.toml"))).map_err(|error| Error::Start(error.to_string()))
}

/// Waits until something listens at `address`.
fn wait_listening(address: &str) -> Result<()> {
    let start = Instant::now();
    while let Err(error) = TcpStream::connect(address) {
        if start.elapsed() > READY_TIMEOUT {
            return Err(Error::Start(format!("nothing listens at {address}: {error}")));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Whether the daemon `entry` is ready and has `revision` or a later one in force.
fn is_ready(agent: &ureq::Agent, entry: &Instance, revision: u64) -> bool {
    let url = format!("http://{}/decisions", entry.operators);
    let Ok(state) = ctl::fleet::get::<serde_json::Value>(agent, &url) else {
        return false;
    };
    let in_force = state["revision"].as_u64().unwrap_or(0);
    state["ready"]["ready"].as_bool().unwrap_or(false) && in_force >= revision
}
