//! A deployment as replay needs it.

use std::path::Path;
use std::time::Duration;

use base::instance::{Instance, Role};
use config::policy::Policy;
use dispatch::class;

use crate::error::{Error, Result};

/// A deployment with its distances.
#[derive(Debug, Clone)]
pub struct Site {
    /// Name.
    pub name: String,
    /// The operators' policy.
    pub policy: Policy,
    /// Classes by position.
    pub classes: Vec<String>,
    /// Services by position.
    pub services: Vec<String>,
    /// Regions by position.
    pub regions: Vec<String>,
    /// Entry instances.
    pub entries: Vec<Instance>,
    /// Backend servers.
    pub servers: Vec<Instance>,
    /// One way between failure domains.
    pub between_domains: Duration,
    /// One way between regions.
    pub between_regions: Duration,
    /// One way to callers.
    pub to_callers: Duration,
}

impl Site {
    /// Reads the deployment in `folder`.
    pub fn read(folder: &Path) -> Result<Self> {
        let name = folder.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        let wrong = |error: &dyn std::fmt::Display| Error::File(folder.display().to_string(), error.to_string());
        let policy = Policy::read(&folder.join("policy.toml")).map_err(|error| wrong(&error))?;
        let text = std::fs::read(folder.join("instances.json")).map_err(|error| wrong(&error))?;
        let instances: Vec<Instance> = serde_json::from_slice(&text).map_err(|error| wrong(&error))?;
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
            between_domains: Duration::from_micros(if onfot { 1_000 } else { 1_500 }),
            between_regions: Duration::from_millis(if onfot { 20 } else { 12 }),
            to_callers: Duration::from_millis(if onfot { 3 } else { 1 }),
            name,
        })
    }

    /// Targets of the classes, as dispatch takes them.
    pub fn specs(&self) -> Vec<class::Spec> {
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

    /// The position of a region.
    pub fn region(&self, name: &str) -> Option<usize> {
        self.regions.iter().position(|region| region == name)
    }

    /// One way between an entry instance and a server.
    pub fn distance(&self, entry: &Instance, server: &Instance) -> Duration {
        if entry.domain == server.domain {
            Duration::from_micros(100)
        } else if entry.region == server.region {
            self.between_domains
        } else {
            self.between_regions
        }
    }
}
