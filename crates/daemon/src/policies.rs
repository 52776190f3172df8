//! Putting a policy into force.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use base::hash;
use config::policy::{Class, Policy};
use dispatch::class;
use dispatch::split::Share;
use fleet::Document;

use crate::context::lock;
use crate::{Context, view};

/// A policy with its revision and the names that decisions use by position.
#[derive(Debug, Clone, Default)]
pub struct ActivePolicy {
    /// Revision in the store; zero for a policy of the settings.
    pub revision: u64,
    /// The policy.
    pub policy: Policy,
    /// Names of classes, in the order of their positions.
    pub classes: Vec<String>,
    /// Names of services, in the order of their positions.
    pub services: Vec<String>,
    /// Names of regions, in the order of their positions.
    pub regions: Vec<String>,
    /// Home regions of callers.
    pub table: Arc<steer::Table>,
}

impl ActivePolicy {
    /// Prepares `policy` at `revision`.
    pub fn new(revision: u64, policy: Policy) -> Self {
        Self::replacing(&Self::default(), revision, policy)
    }

    /// Prepares `policy`; classes and services keep the positions they have in `before`.
    pub fn replacing(before: &Self, revision: u64, policy: Policy) -> Self {
        let classes = extend(&before.classes, policy.classes.keys());
        let services = extend(&before.services, policy.classes.values().flat_map(Class::services));
        let regions = policy.regions.keys().cloned().collect();
        let table = Arc::new(steer::Table::from_policy(&policy));
        Self { revision, policy, classes, services, regions, table }
    }

    /// The position of a service.
    pub fn service_position(&self, name: &str) -> Option<u16> {
        self.services.iter().position(|service| service == name).map(|position| position as u16)
    }

    /// The position of a region.
    pub fn region_position(&self, name: &str) -> Option<u16> {
        self.regions.iter().position(|region| region == name).map(|position| position as u16)
    }

    /// The position of a class.
    pub fn class_position(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// What dispatch needs of its classes, by position.
    pub fn class_specs(&self) -> Vec<class::Spec> {
        self.classes.iter().map(|name| self.spec(name)).collect()
    }

    /// What dispatch needs of a class; a class that is gone keeps its place and gets no work.
    fn spec(&self, name: &str) -> class::Spec {
        let Some(class) = self.policy.classes.get(name) else {
            let none = class::Spec::new(0, Duration::from_secs(1));
            return class::Spec { idempotent: false, rank: u8::MAX, may_wait: true, ..none };
        };
        let service = self.service_position(&class.service).unwrap_or_default();
        let usual = class::Spec::new(service, Duration::from_millis(class.deadline_ms));
        let split = class.split.iter().filter_map(|(name, weight)| Some((self.service_position(name)?, *weight)));
        class::Spec {
            key: hash::bytes(name.as_bytes()),
            idempotent: class.idempotent,
            rank: class.rank,
            target: Duration::from_millis(class.target_ms),
            may_wait: class.may_wait,
            max_attempts: if class.max_attempts == 0 { usual.max_attempts } else { class.max_attempts as usize },
            affinity: class.affinity,
            regions: class.regions.iter().filter_map(|name| self.region_position(name)).collect(),
            split: split.map(|(service, weight)| Share { service, weight }).collect(),
            ..usual
        }
    }
}

/// Takes a copy of the policy from the store or a peer; says whether it is now in force.
pub fn apply(context: &Arc<Context>, copy: Document, source: &str) -> bool {
    let revision = copy.revision;
    let mut holder = lock(&context.policy_replica);
    match holder.apply(copy) {
        Ok(Some(policy)) => {
            put(context, revision, policy);
            log::info!("policy: in force revision={revision} source={source}");
            true
        }
        Ok(None) => {
            log::debug!("policy: skipped, not newer revision={revision} source={source}");
            false
        }
        Err(error) => {
            log::warn!("policy: refused revision={revision} source={source} reason={:?}", error.to_string());
            context.metrics.policy_refused.inc();
            false
        }
    }
}

/// Puts the policy of the settings into force, if they name one.
pub fn apply_from_settings(context: &Arc<Context>) -> Result<(), config::Error> {
    let path = &context.settings.policy;
    if path.is_empty() {
        return Ok(());
    }
    let policy = Policy::read(Path::new(path))?;
    let _order = lock(&context.policy_replica);
    put(context, 0, policy);
    log::info!("policy: in force from the settings file={path}");
    Ok(())
}

/// Called with the holder locked, so that policies come into force in the order of their revisions.
fn put(context: &Arc<Context>, revision: u64, policy: Policy) {
    let next = ActivePolicy::replacing(&context.policy(), revision, policy);
    view::adopt(context, Arc::new(next));
    context.metrics.policy_revision.set(revision as i64);
}

/// Adds names that are new; those known keep their positions.
fn extend<'a>(before: &[String], names: impl Iterator<Item = &'a String>) -> Vec<String> {
    let mut all = before.to_vec();
    for name in names {
        if !all.contains(name) {
            all.push(name.clone());
        }
    }
    all
}
