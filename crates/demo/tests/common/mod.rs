//! Starts a separate deployment for each test, on separate loopback addresses.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::instance::{Instance, Role};
use demo::deployment::Deployment;
use load::plan::{Flow, Plan};
use load::run;
use load::tally::Tally;
use serde_json::Value;

/// Timeout for events that must happen; no assertion depends on how long they took.
pub const TIMEOUT: Duration = Duration::from_secs(90);

/// Held while a deployment runs: each has about forty processes, so that only one runs at a time.
static EXCLUSIVE: Mutex<()> = Mutex::new(());

/// A running deployment and a client for it.
pub struct Testbed {
    pub deployment: Deployment,
    pub revision: u64,
    pub agent: ureq::Agent,
    _exclusive: MutexGuard<'static, ()>,
}

impl Testbed {
    /// Starts the deployment `name` on addresses `127.0.net.x`.
    pub fn start(name: &str, net: u8) -> Self {
        let exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
        let folder = copy_deployment(name, net);
        let logs = folder.join("logs");
        let mut deployment = Deployment::read(&folder, &logs).expect("the deployment is valid");
        deployment.start_platform().expect("the stand-ins start");
        let revision = deployment.apply_policy().expect("the store accepts the policy");
        deployment.start_daemons().expect("the daemons start");
        deployment.wait_ready(revision).expect("the daemons become ready");
        Self { deployment, revision, agent: agent(), _exclusive: exclusive }
    }

    pub fn entry(&self, index: usize) -> Instance {
        self.deployment.entries().nth(index).expect("there are seven entry instances").clone()
    }

    pub fn backends(&self) -> Vec<Instance> {
        let instances = self.deployment.instances.iter();
        instances.filter(|instance| instance.role == Role::Backend).cloned().collect()
    }

    pub fn plan(&self, flows: Vec<Flow>, seconds: u64, callers: usize) -> Plan {
        Plan {
            lookup_addresses: self.deployment.lookup_addresses().expect("the settings are valid"),
            flows,
            duration: Duration::from_secs(seconds),
            callers,
            timeout: Duration::from_secs(20),
            resends: 8,
            seed: 5,
        }
    }

    /// Sends the requests of `plan` while `meanwhile` acts on the deployment; returns the tally of each flow.
    pub fn load<F>(&mut self, plan: &Plan, meanwhile: F) -> BTreeMap<String, Tally>
    where
        F: FnOnce(&mut Deployment),
    {
        let stop = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let running = scope.spawn(|| run::run(plan, &stop));
            meanwhile(&mut self.deployment);
            running.join().expect("the load tool does not panic")
        })
    }

    pub fn decisions(&self, entry: &Instance) -> Option<Value> {
        ctl::fleet::get(&self.agent, &format!("http://{}/decisions", entry.operators)).ok()
    }

    /// Returns how often each key was run, by all backend servers that are still running.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut total = BTreeMap::new();
        for backend in self.backends() {
            let url = format!("http://{}/runs", backend.address);
            let runs: BTreeMap<String, u64> = ctl::fleet::get(&self.agent, &url).unwrap_or_default();
            for (key, count) in runs {
                *total.entry(key).or_default() += count;
            }
        }
        total
    }

    /// Replaces the faults of the stand-in at `address`.
    pub fn set_faults(&self, address: &str, json: &str) {
        let result = self.agent.post(format!("http://{address}/fault")).send(json);
        assert!(result.is_ok_and(|response| response.status() == 200), "the stand-in accepts the faults");
    }

    /// Sends one request; returns the status, the outcome header and the body.
    pub fn send(
        &self,
        address: &str,
        method: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(u16, String, String), String> {
        let mut builder = ureq::http::Request::builder().method(method).uri(format!("http://{address}{path}"));
        builder = builder.header("x-echo", key.unwrap_or("none"));
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder.body(Vec::new()).expect("the request is valid");
        let mut response = self.agent.run(request).map_err(|error| error.to_string())?;
        let outcome =
            response.headers().get("x-outcome").and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
        let body = response.body_mut().read_to_string().map_err(|error| error.to_string())?;
        Ok((response.status().as_u16(), outcome, body))
    }
}

/// Waits until `condition` holds; `what` names it in the error.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

pub fn flow(name: &str, method: &str, path: &str, per_second: f64) -> Flow {
    let keyed = method == "POST";
    Flow { name: name.to_owned(), method: method.to_owned(), path: path.to_owned(), per_second, keyed, body_bytes: 0 }
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(20)))
        .http_status_as_error(false)
        .max_idle_connections(0)
        .proxy(None)
        .build();
    config.into()
}

/// Copies a checked-in deployment. The copy uses addresses `127.0.net.x` and shorter times: callers may keep the answer
/// to a look-up for one second, and a planned stop waits two seconds for callers that still use such an answer.
fn copy_deployment(name: &str, net: u8) -> PathBuf {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name);
    let to = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{net}"));
    std::fs::create_dir_all(&to).expect("the folder can be created");
    for file in std::fs::read_dir(from).expect("the deployment exists") {
        let path = file.expect("the folder can be read").path();
        let text = std::fs::read_to_string(&path).expect("the file can be read");
        let text = text.replace("127.0.1.", &format!("127.0.{net}.")).replace("127.0.2.", &format!("127.0.{net}."));
        let text = text
            .replace("answer_ttl_s = 10", "answer_ttl_s = 1")
            .replace("answer_kept_ms = 10000", "answer_kept_ms = 2000");
        std::fs::write(to.join(path.file_name().expect("files have names")), text).expect("the file can be written");
    }
    to
}
