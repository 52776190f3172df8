//! Applies policies: from the store, from peers and from the settings.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use accounts::Directory;
use base::hash;
use base::time::Time;
use config::policy::{Allowed, Class, Policy};
use dispatch::split::Share;
use dispatch::{class, engine, regions};
use fleet::Document;
use fleet::replica::{Origin, Version};

use crate::context::lock;
use crate::{Context, decision_log, view};

/// Where the policy in force came from, and when.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Provenance {
    /// The store, a file, or the address of the daemon that passed it on; empty before any policy was applied.
    pub source: String,
    /// When it came into force here.
    pub since: Time,
}

/// The policy in force with its revision, and the names that the engine refers to by position.
#[derive(Debug, Clone, Default)]
pub struct ActivePolicy {
    /// Version of the policy; zero for that of the settings file or before any was applied.
    pub version: Version,
    /// Where it came from, and when.
    pub provenance: Provenance,
    /// The policy.
    pub policy: Policy,
    /// Class names; the index is the class's position.
    pub classes: Vec<String>,
    /// Service names; the index is the service's position.
    pub services: Vec<String>,
    /// Region names; the index is the region's position.
    pub regions: Vec<String>,
    /// Home regions by callers' address ranges.
    pub table: Arc<steer::Table>,
    /// Keys of client accounts.
    pub directory: Directory,
}

impl ActivePolicy {
    /// Prepares `policy` at `version`, with no policy before it.
    pub fn new(version: impl Into<Version>, policy: Policy) -> Self {
        Self::replacing(&Self::default(), version.into(), policy)
    }

    /// Prepares `policy` at `version`; classes and services keep the positions that they have in `previous`.
    pub fn replacing(previous: &Self, version: Version, policy: Policy) -> Self {
        let classes = append_new(&previous.classes, policy.classes.keys());
        let services = append_new(&previous.services, policy.classes.values().flat_map(Class::services));
        let regions = policy.regions.keys().cloned().collect();
        let table = Arc::new(steer::Table::from_policy(&policy));
        let accounts = policy.accounts.iter().flatten();
        let directory = accounts.fold(Directory::new(fastrand::u64(..)), |directory, (name, account)| {
            directory.with_account(name, &account.keys)
        });
        Self { version, provenance: Provenance::default(), policy, classes, services, regions, table, directory }
    }

    /// Sets where the policy came from, and when.
    #[must_use]
    pub fn with_provenance(mut self, provenance: Provenance) -> Self {
        self.provenance = provenance;
        self
    }

    /// Returns the position of a service; `None` if no class of this policy or of an earlier one refers to it.
    pub fn service_position(&self, name: &str) -> Option<u16> {
        self.services.iter().position(|service| service == name).map(|position| position as u16)
    }

    /// Returns the position of a region; `None` if the policy does not have it.
    pub fn region_position(&self, name: &str) -> Option<u16> {
        self.regions.iter().position(|region| region == name).map(|position| position as u16)
    }

    /// Returns the position of a class; `None` if neither this policy nor an earlier one has it.
    pub fn class_position(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// Returns the regions in which this policy lets a request of a class and an account run; `None` if it does not have the class.
    pub fn allowed(&self, class: &str, account: Option<&str>) -> Option<Allowed> {
        let class = self.policy.classes.get(class)?;
        Some(Allowed::of(class, account.and_then(|name| self.policy.account(name))))
    }

    /// Returns the engine's specification of each class, by position.
    pub fn class_specs(&self) -> Vec<class::Spec> {
        self.classes.iter().map(|name| self.spec(name)).collect()
    }

    /// Returns what the dispatch engine needs of each client account, by the account's number.
    pub fn engine_accounts(&self) -> BTreeMap<u64, engine::Account> {
        let names = self.policy.accounts.iter().flat_map(BTreeMap::keys);
        names.map(|name| self.engine_account(name)).map(|account| (account.id, account)).collect()
    }

    /// Returns what the dispatch engine needs of the client account `name`. One that this policy does not have may run nowhere.
    pub fn engine_account(&self, name: &str) -> engine::Account {
        let account = self.policy.account(name);
        engine::Account {
            id: hash::bytes(name.as_bytes()),
            rank: account.and_then(|account| account.rank),
            regions: account.map_or(regions::Set::NONE, |account| self.region_set(&Allowed::by_account(account))),
        }
    }

    /// Returns the positions of regions; of unknown ones there are none.
    fn region_set(&self, allowed: &Allowed) -> regions::Set {
        let Allowed::Only(names) = allowed else { return regions::Set::ALL };
        let positions: Vec<u16> = names.iter().filter_map(|name| self.region_position(name)).collect();
        if positions.is_empty() { regions::Set::NONE } else { regions::Set::of(&positions) }
    }

    /// Returns the engine's specification of a class. A class that the policy no longer has keeps its position and gets
    /// no work.
    fn spec(&self, name: &str) -> class::Spec {
        let Some(class) = self.policy.classes.get(name) else {
            let defaults = class::Spec::new(0, Duration::from_secs(1));
            return class::Spec { retired: true, ..defaults };
        };
        let service = self.service_position(&class.service).unwrap_or_default();
        let defaults = class::Spec::new(service, Duration::from_millis(class.deadline_ms));
        let split = class.split.iter().filter_map(|(name, weight)| Some((self.service_position(name)?, *weight)));
        class::Spec {
            key: hash::bytes(name.as_bytes()),
            idempotent: class.idempotent,
            rank: class.rank,
            target: Duration::from_millis(class.target_ms),
            may_wait: class.may_wait,
            max_attempts: if class.max_attempts == 0 { defaults.max_attempts } else { class.max_attempts as usize },
            affinity: class.affinity,
            regions: self.region_set(&Allowed::by_class(class)),
            split: split.map(|(service, weight)| Share { service, weight }).collect(),
            ..defaults
        }
    }
}

/// Applies a policy document; returns whether it is now in force, that is, valid and newer than the one before. `source`
/// names its origin in the log.
pub fn apply(context: &Arc<Context>, document: Document, origin: Origin, source: &str) -> bool {
    let version = document.version;
    let mut replica = lock(&context.policy_replica);
    match replica.apply(document, origin) {
        Ok(Some(policy)) => {
            activate(context, version, policy, source);
            true
        }
        Ok(None) => {
            let in_force = replica.version();
            if version.declared < in_force.declared {
                log::warn!("policy: skipped, counted lower version={version} in_force={in_force} source={source}");
            } else {
                log::debug!("policy: skipped, not newer version={version} source={source}");
            }
            false
        }
        Err(error) => {
            log::warn!("policy: refused version={version} source={source} reason={:?}", error.to_string());
            context.metrics.policy_refused.inc();
            false
        }
    }
}

/// Applies the policy file that the settings name, if they name one.
pub fn apply_from_settings(context: &Arc<Context>) -> Result<(), config::Error> {
    let path = &context.settings.policy;
    if path.is_empty() {
        return Ok(());
    }
    let policy = Policy::read(Path::new(path))?;
    let _replica = lock(&context.policy_replica);
    activate(context, Version::default(), policy, path);
    log::info!("policy: in force from the settings file={path}");
    Ok(())
}

/// Replaces the active policy. The caller holds the lock of the policy replica, so that policies are applied in the order
/// of their versions.
fn activate(context: &Arc<Context>, version: Version, policy: Policy, source: &str) {
    let provenance = Provenance { source: source.to_owned(), since: context.now() };
    let before = context.policy();
    let next = Arc::new(ActivePolicy::replacing(&before, version, policy).with_provenance(provenance));
    view::activate(context, Arc::clone(&next));
    decision_log::policy_changed(&before, &next);
    context.metrics.policy_revision.set(version.stored.revision as i64);
}

/// Appends the names that `known` lacks, so that known names keep their positions.
fn append_new<'a>(known: &[String], names: impl Iterator<Item = &'a String>) -> Vec<String> {
    let mut all = known.to_vec();
    for name in names {
        if !all.contains(name) {
            all.push(name.clone());
        }
    }
    all
}
