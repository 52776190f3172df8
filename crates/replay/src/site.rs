//! A deployment as the replay uses it.

use std::path::Path;
use std::time::Duration;

use base::instance::{Instance, Role};
use config::policy::Policy;
use dispatch::class;

use crate::error::{Error, Result};

/// A deployment with its network latencies.
#[derive(Debug, Clone)]
pub struct Site {
    /// Name of the deployment: the last component of its path.
    pub name: String,
    /// The operators' policy.
    pub policy: Policy,
    /// Names of the classes; the position is the class's id in the engine.
    pub classes: Vec<String>,
    /// Names of the services; the position is the service's id in the engine.
    pub services: Vec<String>,
    /// Names of the regions; the position is the region's id.
    pub regions: Vec<String>,
    /// Entry instances.
    pub entries: Vec<Instance>,
    /// Backend servers.
    pub servers: Vec<Instance>,
    /// One-way latency between two failure domains of a region.
    pub domain_latency: Duration,
    /// One-way latency between two regions.
    pub region_latency: Duration,
    /// One-way latency between a caller and an entry instance.
    pub caller_latency: Duration,
}

impl Site {
    /// Reads the policy and the instances of the deployment in `folder`.
    pub fn read(folder: &Path) -> Result<Self> {
        let name = folder.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        let file_error = |error: &dyn std::fmt::Display| Error::File(folder.display().to_string(), error.to_string());
        let policy = Policy::read(&folder.join("policy.toml")).map_err(|error| file_error(&error))?;
        let text = std::fs::read(folder.join("instances.json")).map_err(|error| file_error(&error))?;
        let instances: Vec<Instance> = serde_json::from_slice(&text).map_err(|error| file_error(&error))?;
        let (entries, servers) = instances.into_iter().partition(|instance| instance.role == Role::Entry);
        let mut services: Vec<String> = policy.classes.values().map(|class| class.service.clone()).collect();
        services.sort();
        services.dedup();
        let onfot = name == "onfot";
        Ok(Self {
            classes: policy.classes.keys().cloned().collect(),
            regions: policy.regions.keys().cloned().collect(),
            services,
            policy,
            entries,
            servers,
            domain_latency: Duration::from_micros(if onfot { 1_000 } else { 1_500 }),
            region_latency: Duration::from_millis(if onfot { 20 } else { 12 }),
            caller_latency: Duration::from_millis(if onfot { 3 } else { 1 }),
            name,
        })
    }

    /// Returns the classes as the dispatch engine takes them.
    pub fn class_specs(&self) -> Vec<class::Spec> {
        let spec = |name: &String| {
            let class = &self.policy.classes[name];
            let service = self.services.iter().position(|service| *service == class.service).unwrap_or(0) as u16;
            class::Spec {
                idempotent: class.idempotent,
                rank: class.rank,
                target: Duration::from_millis(class.target_ms),
                may_wait: class.may_wait,
                ..class::Spec::new(service, Duration::from_millis(class.deadline_ms))
            }
        };
        self.classes.iter().map(spec).collect()
    }

    /// Returns the position of a region; `None` if the policy does not list it.
    pub fn region_position(&self, name: &str) -> Option<usize> {
        self.regions.iter().position(|region| region == name)
    }

    /// Returns the one-way latency between an entry instance and a server.
    pub fn latency(&self, entry: &Instance, server: &Instance) -> Duration {
        if entry.domain == server.domain {
            Duration::from_micros(100)
        } else if entry.region == server.region {
            self.domain_latency
        } else {
            self.region_latency
        }
    }
}
