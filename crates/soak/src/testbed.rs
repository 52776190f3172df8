//! A deployment whose backend servers, store and callers' ports are reached through proxies, so that links can fail.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::{Duration, Instant};

use base::instance::{Instance, Role};
use demo::deployment::Deployment;
use fakes::tally::Peak;

use crate::Result;
use crate::caller;
use crate::check::Runs;
use crate::plan::{ProcessFault, StoreFault};
use crate::proxy::Proxy;

/// Offset of a backend server's own port from the port of the link to it.
const BACKEND_PORT_OFFSET: u16 = 1_000;
/// Offset of the store's own port from the port of the link to it.
const STORE_PORT_OFFSET: u16 = 100;
/// Offset of the port of the link to an entry daemon's callers' port from that port.
const CALLER_LINK_PORT_OFFSET: u16 = 2_000;
/// Timeout of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_mins(1);
/// Time after its start within which a process installs its signal handlers.
const SIGNAL_SETUP_TIME: Duration = Duration::from_secs(1);
/// Number of writes whose answers the store loses in one fault.
const LOST_ANSWERS: u32 = 5;

/// The processes and the links between them.
#[derive(Debug)]
pub struct Testbed {
    /// The processes.
    pub deployment: Deployment,
    /// The links to each backend server, then the link to the store.
    pub links: Vec<Proxy>,
    /// The links from callers to the entry daemons, each with the address that it listens at.
    pub caller_links: Vec<(Proxy, String)>,
    /// Number of restarts of each process, by name; no entry means none.
    pub restarts: BTreeMap<String, u64>,
    /// When each process was last restarted, by name.
    restarted_at: BTreeMap<String, Instant>,
    /// Daemons that were asked to stop and not restarted since, by name.
    stopping: BTreeSet<String>,
    /// Suspended processes, by name.
    paused: BTreeSet<String>,
    /// How often each key was run by backend servers that have ended since.
    ended_runs: Runs,
    agent: ureq::Agent,
}

impl Testbed {
    /// Starts the deployment in `deploy` on addresses `127.0.net.x`; its files and logs go to `folder`.
    pub fn start(deploy: &Path, folder: &Path, net: u8) -> Result<Self> {
        copy_deployment(deploy, folder, net)?;
        let mut deployment = Deployment::read(folder, &folder.join("logs"))?;
        // Orders may go to any path, also to one that the daemons use themselves.
        let orders = deployment.policy.classes.values_mut().find(|class| !class.idempotent && !class.may_wait);
        orders.into_iter().for_each(|class| class.paths.push("/".to_owned()));
        let mut links = Vec::new();
        for instance in deployment.instances.iter_mut().filter(|instance| instance.role == Role::Backend) {
            let backend_address = offset_port(&instance.address, BACKEND_PORT_OFFSET);
            links.push(Proxy::start(&instance.address, &backend_address)?);
            instance.address = backend_address;
        }
        let store_address = offset_port(&deployment.store_address, STORE_PORT_OFFSET);
        links.push(Proxy::start(&deployment.store_address, &store_address)?);
        deployment.store_address = store_address;
        let caller_link = |entry: &Instance| {
            let address = offset_port(&entry.address, CALLER_LINK_PORT_OFFSET);
            Proxy::start(&address, &entry.address).map(|proxy| (proxy, address))
        };
        let caller_links = deployment.entries().map(caller_link).collect::<std::io::Result<Vec<_>>>()?;
        deployment.start_platform()?;
        let revision = deployment.apply_policy()?;
        deployment.start_daemons()?;
        deployment.wait_ready(revision)?;
        let agent = caller::agent();
        Ok(Self {
            deployment,
            links,
            caller_links,
            restarts: BTreeMap::new(),
            restarted_at: BTreeMap::new(),
            stopping: BTreeSet::new(),
            paused: BTreeSet::new(),
            ended_runs: Runs::new(),
            agent,
        })
    }

    /// Returns the instance at position `target`, modulo their number, among those with `role`.
    pub fn instance(&self, role: Role, target: usize) -> Instance {
        let candidates: Vec<&Instance> =
            self.deployment.instances.iter().filter(|instance| instance.role == role).collect();
        candidates[target % candidates.len()].clone()
    }

    /// Whether the process `name` is suspended.
    pub fn is_paused(&self, name: &str) -> bool {
        self.paused.contains(name)
    }

    /// Returns how often each key was run, by all backend servers so far.
    pub fn runs(&self) -> Runs {
        let mut total = self.ended_runs.clone();
        for instance in self.deployment.instances.iter().filter(|instance| instance.role == Role::Backend) {
            add(&mut total, self.fetch_runs(instance));
        }
        total
    }

    /// Starts a fault of a process; does nothing if the process is not running.
    pub fn inject(&mut self, instance: &Instance, fault: ProcessFault) {
        if self.deployment.children.id(&instance.name).is_none() {
            return;
        }
        if instance.role == Role::Backend && fault != ProcessFault::Pause && !self.is_paused(&instance.name) {
            let runs = self.fetch_runs(instance);
            add(&mut self.ended_runs, runs);
        }
        let children = &mut self.deployment.children;
        match (fault, instance.role) {
            // Backend servers are stand-ins without a graceful stop.
            (ProcessFault::Kill, _) | (ProcessFault::Stop, Role::Backend) => children.kill(&instance.name),
            (ProcessFault::Stop, _) => {
                // Not within the setup time: SIGTERM kills a process without signal handlers. That is allowed, as the
                // process has accepted no work yet, but it would be reported as a failed stop.
                if self.restarted_at.get(&instance.name).is_none_or(|at| at.elapsed() > SIGNAL_SETUP_TIME) {
                    drop(children.signal(&instance.name, "TERM"));
                    self.stopping.insert(instance.name.clone());
                }
            }
            (ProcessFault::Pause, _) => {
                drop(children.signal(&instance.name, "STOP"));
                self.paused.insert(instance.name.clone());
            }
        }
    }

    /// Ends a fault of a process: resumes it, or starts it again. Returns a violation if it failed a planned stop.
    pub fn restore(&mut self, instance: &Instance) -> Result<Option<String>> {
        let children = &mut self.deployment.children;
        let mut violation = None;
        self.paused.remove(&instance.name);
        if children.id(&instance.name).is_some() {
            drop(children.signal(&instance.name, "CONT"));
            // Another fault may have replaced the process that was asked to stop by a new one.
            if !self.stopping.remove(&instance.name) {
                return Ok(None);
            }
            let code = children.wait(&instance.name, STOP_TIMEOUT);
            violation = (code != Some(0)).then(|| format!("{}: a planned stop ended with {code:?}", instance.name));
            children.kill(&instance.name);
        }
        self.stopping.remove(&instance.name);
        self.restarted_at.insert(instance.name.clone(), Instant::now());
        *self.restarts.entry(instance.name.clone()).or_default() += 1;
        match instance.role {
            Role::Backend => self.deployment.start_backend(instance)?,
            Role::Entry => self.deployment.start_daemon(&instance.name)?,
        }
        Ok(violation)
    }

    /// Replaces the faults of the store; `None` ends all.
    pub fn set_store_fault(&self, fault: Option<StoreFault>) {
        let faults = match fault {
            None => "{}".to_owned(),
            Some(StoreFault::Down) => "{\"down\":true}".to_owned(),
            Some(StoreFault::Slow(ms)) => format!("{{\"slow_ms\":{ms}}}"),
            Some(StoreFault::LoseAnswers) => format!("{{\"lose_answers\":{LOST_ANSWERS}}}"),
        };
        drop(self.agent.post(format!("http://{}/fault", self.deployment.store_address)).send(&faults));
    }

    /// Makes the backend server at position `target` state a rate limit, in tenths of a request per second; `None` for no
    /// limit.
    pub fn set_rate_limit(&self, target: usize, tenths: Option<u32>) {
        let instance = self.instance(Role::Backend, target);
        let faults =
            tenths.map_or_else(|| "{}".to_owned(), |tenths| format!("{{\"rate_limit\":{}}}", f64::from(tenths) / 10.0));
        // A server that is paused or has ended states nothing.
        if !self.is_paused(&instance.name) {
            drop(self.agent.post(format!("http://{}/fault", instance.address)).send(&faults));
        }
    }

    /// Returns, for each backend server that answers, the most requests that it got beside the rate limit that it stated.
    pub fn limit_peaks(&self) -> BTreeMap<String, Peak> {
        let backends = self.deployment.instances.iter().filter(|instance| instance.role == Role::Backend);
        let peak = |instance: &Instance| {
            let url = format!("http://{}/peak", instance.address);
            Some((instance.name.clone(), ctl::fleet::get(&self.agent, &url).ok()?))
        };
        backends.filter_map(peak).collect()
    }

    /// Asks a backend server how often it ran each key; empty if it does not answer.
    fn fetch_runs(&self, instance: &Instance) -> Runs {
        ctl::fleet::get(&self.agent, &format!("http://{}/runs", instance.address)).unwrap_or_default()
    }
}

fn add(total: &mut Runs, runs: Runs) {
    for (key, count) in runs {
        *total.entry(key).or_default() += count;
    }
}

/// Returns `address` with `offset` added to its port.
fn offset_port(address: &str, offset: u16) -> String {
    let (host, port) = address.rsplit_once(':').unwrap_or((address, "0"));
    format!("{host}:{}", port.parse::<u16>().unwrap_or_default() + offset)
}

/// Copies the deployment's files from `from` to `to` and replaces what an earlier soak left there. The copy uses
/// addresses `127.0.net.x` and shorter times: callers may keep a look-up's answer for one second, and a planned stop
/// waits 500 ms for callers that still use such an answer.
fn copy_deployment(from: &Path, to: &Path, net: u8) -> Result<()> {
    if to.exists() {
        std::fs::remove_dir_all(to)?;
    }
    std::fs::create_dir_all(to)?;
    for file in std::fs::read_dir(from)? {
        let path = file?.path();
        let text = std::fs::read_to_string(&path)?;
        let text = text.replace("127.0.1.", &format!("127.0.{net}.")).replace("127.0.2.", &format!("127.0.{net}."));
        let text = text
            .replace("answer_ttl_s = 10", "answer_ttl_s = 1")
            .replace("answer_kept_ms = 10000", "answer_kept_ms = 500");
        std::fs::write(to.join(path.file_name().unwrap_or_default()), text)?;
    }
    Ok(())
}
