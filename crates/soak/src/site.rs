//! A deployment whose backend servers, store and callers' ports stand behind links of the soak.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::{Duration, Instant};

use base::instance::{Instance, Role};
use demo::deployment::Deployment;

use crate::Result;
use crate::caller;
use crate::check::Runs;
use crate::plan::{Blow, Ill};
use crate::proxy::Proxy;

/// How much higher a backend server's own port is than that of the link to it.
const OWN_PORT: u16 = 1_000;
/// How much higher the store's own port is than that of the link to it.
const STORE_PORT: u16 = 100;
/// How much higher the port of the link to an entry daemon's callers' port is than that port.
const CALLERS_PORT: u16 = 2_000;
/// Longest time for a process to end by itself.
const PATIENCE: Duration = Duration::from_mins(1);
/// Time in which a process starts to listen to signals.
const STARTS: Duration = Duration::from_secs(1);
/// Answers of the store that are lost in one fault.
const LOST: u32 = 5;

/// The processes and the links between them.
#[derive(Debug)]
pub struct Site {
    /// The processes.
    pub deployment: Deployment,
    /// The links: one to each backend server, the store's last.
    pub links: Vec<Proxy>,
    /// The links from callers to the entry daemons, and where callers find each.
    pub caller_links: Vec<(Proxy, String)>,
    /// How often each process was started, by name.
    pub lives: BTreeMap<String, u64>,
    /// When each process was started last.
    begun: BTreeMap<String, Instant>,
    /// Processes that were asked to stop.
    asked: BTreeSet<String>,
    /// Processes that stand still.
    paused: BTreeSet<String>,
    /// What killed or stopped backend servers had run.
    gone: Runs,
    agent: ureq::Agent,
}

impl Site {
    /// Starts the deployment in `deploy` on `127.0.net.x`, with its files and logs in `folder`.
    pub fn start(deploy: &Path, folder: &Path, net: u8) -> Result<Self> {
        copy(deploy, folder, net)?;
        let mut deployment = Deployment::read(folder, &folder.join("logs"))?;
        let mut links = Vec::new();
        for instance in deployment.instances.iter_mut().filter(|instance| instance.role == Role::Backend) {
            let own = higher(&instance.address, OWN_PORT);
            links.push(Proxy::start(&instance.address, &own)?);
            instance.address = own;
        }
        let own = higher(&deployment.store, STORE_PORT);
        links.push(Proxy::start(&deployment.store, &own)?);
        deployment.store = own;
        let caller_link = |entry: &Instance| {
            let address = higher(&entry.address, CALLERS_PORT);
            Proxy::start(&address, &entry.address).map(|proxy| (proxy, address))
        };
        let caller_links = deployment.entries().map(caller_link).collect::<std::io::Result<Vec<_>>>()?;
        deployment.start_platform()?;
        let revision = deployment.apply()?;
        deployment.start_daemons()?;
        deployment.wait_ready(revision)?;
        let agent = caller::agent();
        Ok(Self {
            deployment,
            links,
            caller_links,
            lives: BTreeMap::new(),
            begun: BTreeMap::new(),
            asked: BTreeSet::new(),
            paused: BTreeSet::new(),
            gone: Runs::new(),
            agent,
        })
    }

    /// The instance in place `place` among those with `role`.
    pub fn instance(&self, role: Role, place: usize) -> Instance {
        let all: Vec<&Instance> = self.deployment.instances.iter().filter(|one| one.role == role).collect();
        all[place % all.len()].clone()
    }

    /// Whether a process stands still.
    pub fn paused(&self, name: &str) -> bool {
        self.paused.contains(name)
    }

    /// How often each key was run, over all backend servers so far.
    pub fn runs(&self) -> Runs {
        let mut sum = self.gone.clone();
        for instance in self.deployment.instances.iter().filter(|instance| instance.role == Role::Backend) {
            add(&mut sum, self.told(instance));
        }
        sum
    }

    /// Begins a fault of a process.
    pub fn strike(&mut self, instance: &Instance, blow: Blow) {
        if self.deployment.children.id(&instance.name).is_none() {
            return;
        }
        if instance.role == Role::Backend && blow != Blow::Pause && !self.paused(&instance.name) {
            let told = self.told(instance);
            add(&mut self.gone, told);
        }
        let children = &mut self.deployment.children;
        match (blow, instance.role) {
            // Backend servers are stand-ins: they know no orderly end.
            (Blow::Kill, _) | (Blow::Stop, Role::Backend) => children.kill(&instance.name),
            (Blow::Stop, _) => {
                // Before it listens to signals, a process has taken no work and may end as it likes.
                if self.begun.get(&instance.name).is_none_or(|begun| begun.elapsed() > STARTS) {
                    drop(children.signal(&instance.name, "TERM"));
                    self.asked.insert(instance.name.clone());
                }
            }
            (Blow::Pause, _) => {
                drop(children.signal(&instance.name, "STOP"));
                self.paused.insert(instance.name.clone());
            }
        }
    }

    /// Ends a fault of a process: it goes on, or a new one takes its place. Says what a planned stop did wrong.
    pub fn restore(&mut self, instance: &Instance) -> Result<Option<String>> {
        let children = &mut self.deployment.children;
        let mut wrong = None;
        self.paused.remove(&instance.name);
        if children.id(&instance.name).is_some() {
            drop(children.signal(&instance.name, "CONT"));
            // Another fault may have put a new process in the place of the one that was asked.
            if !self.asked.remove(&instance.name) {
                return Ok(None);
            }
            let code = children.wait(&instance.name, PATIENCE);
            wrong = (code != Some(0)).then(|| format!("{}: a planned stop ended with {code:?}", instance.name));
            children.kill(&instance.name);
        }
        self.asked.remove(&instance.name);
        self.begun.insert(instance.name.clone(), Instant::now());
        *self.lives.entry(instance.name.clone()).or_default() += 1;
        match instance.role {
            Role::Backend => self.deployment.start_backend(instance)?,
            Role::Entry => self.deployment.start_daemon(&instance.name)?,
        }
        Ok(wrong)
    }

    /// Begins a fault of the store, or ends all.
    pub fn sicken(&self, ill: Option<Ill>) {
        let faults = match ill {
            None => "{}".to_owned(),
            Some(Ill::Down) => "{\"down\":true}".to_owned(),
            Some(Ill::Slow(ms)) => format!("{{\"slow_ms\":{ms}}}"),
            Some(Ill::Lost) => format!("{{\"lose_answers\":{LOST}}}"),
        };
        drop(self.agent.post(format!("http://{}/fault", self.deployment.store)).send(&faults));
    }

    fn told(&self, instance: &Instance) -> Runs {
        ctl::fleet::get(&self.agent, &format!("http://{}/runs", instance.address)).unwrap_or_default()
    }
}

fn add(sum: &mut Runs, runs: Runs) {
    for (key, count) in runs {
        *sum.entry(key).or_default() += count;
    }
}

/// `address` with a port that is higher by `by`.
fn higher(address: &str, by: u16) -> String {
    let (host, port) = address.rsplit_once(':').unwrap_or((address, "0"));
    format!("{host}:{}", port.parse::<u16>().unwrap_or_default() + by)
}

/// Copies a deployment, in place of what an earlier soak left, to addresses of its own, with answers that callers keep for a second.
fn copy(from: &Path, to: &Path, net: u8) -> Result<()> {
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
