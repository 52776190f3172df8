//! The operators' policy: regions, links, classes of work, client accounts, drains and home regions of callers.
//!
//! A policy is stored as TOML. Its revision is assigned by the store and is sent beside the text, never in it.

mod account;
mod allowed;
mod block;
mod class;
mod drain;
mod link;
mod region;
mod service;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

use serde::{Deserialize, Serialize};

pub use self::account::Account;
pub use self::allowed::Allowed;
pub use self::block::Block;
pub use self::class::{Class, host_name};
pub use self::drain::{Drain, Scope};
pub use self::link::Link;
pub use self::region::Region;
pub use self::service::Service;
use crate::error::{Error, Result};

/// Maximum number of change ids that a policy keeps. They show an operator whether a change whose answer was lost
/// took effect.
pub const MAX_CHANGES: usize = 64;

/// The settings of the whole fleet that operators declare.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Unique ids of the latest changes, oldest first.
    pub changes: Vec<String>,
    /// Regions by name.
    pub regions: BTreeMap<String, Region>,
    /// Links between regions.
    pub links: Vec<Link>,
    /// Classes of work by name.
    pub classes: BTreeMap<String, Class>,
    /// Properties of services by name; a service that is absent has the defaults.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<String, Service>,
    /// Client accounts by name. With `None` requests need no key; with an empty map no key is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub accounts: Option<BTreeMap<String, Account>>,
    /// Drains in force.
    pub drains: Vec<Drain>,
    /// Home regions of callers; the longest prefix wins.
    pub blocks: Vec<Block>,
}

impl Policy {
    /// Reads and checks the policy in `path`.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks `text`; errors call it `name`.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let policy: Self = toml::from_str(text).map_err(|source| Error::parse(name, &source))?;
        policy.check(name)?;
        Ok(policy)
    }

    /// Returns the policy as TOML.
    pub fn to_text(&self) -> Result<String> {
        toml::to_string(self).map_err(|source| Error::Parse { name: "policy".to_owned(), text: source.to_string() })
    }

    /// Checks all values and references; errors name the policy as `name`.
    pub fn check(&self, name: &str) -> Result<()> {
        if self.regions.is_empty() {
            return Err(Error::value(name, "regions", "must name at least one region"));
        }
        self.check_domains(name)?;
        for (index, link) in self.links.iter().enumerate() {
            link.check(name, &format!("links[{index}]"), &self.regions)?;
        }
        self.check_classes(name)?;
        self.check_accounts(name)?;
        for (index, drain) in self.drains.iter().enumerate() {
            self.check_drain(name, &format!("drains[{index}]"), drain)?;
        }
        for (index, block) in self.blocks.iter().enumerate() {
            block.check(name, &format!("blocks[{index}]"), &self.regions)?;
        }
        self.check_remaining_domains(name)
    }

    /// Appends the change `id` to `changes` and drops the oldest ones beyond [`MAX_CHANGES`].
    pub fn record_change(&mut self, id: &str) {
        self.changes.push(id.to_owned());
        let excess = self.changes.len().saturating_sub(MAX_CHANGES);
        self.changes.drain(..excess);
    }

    /// Whether `region` is drained.
    pub fn region_drained(&self, region: &str) -> bool {
        self.has_drain(Scope::Region, region)
    }

    /// Whether `domain` or its region is drained.
    pub fn domain_drained(&self, domain: &str) -> bool {
        let parent = self.region_of(domain);
        self.has_drain(Scope::Domain, domain) || parent.is_some_and(|region| self.region_drained(region))
    }

    /// Whether `instance` itself is drained; drains of its failure domain and region do not count.
    pub fn instance_drained(&self, instance: &str) -> bool {
        self.has_drain(Scope::Instance, instance)
    }

    /// Returns the account `name`; `None` if the policy does not have it.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.as_ref()?.get(name)
    }

    /// Returns the region of a failure domain; `None` if no region has it.
    pub fn region_of(&self, domain: &str) -> Option<&str> {
        let mut regions = self.regions.iter();
        let found = regions.find(|(_, region)| region.domains.iter().any(|name| name == domain));
        found.map(|(name, _)| name.as_str())
    }

    /// Returns the cap of the link from region `from` to region `to`, in bytes per second; `None` without a link.
    pub fn link_cap(&self, from: &str, to: &str) -> Option<f64> {
        let link = self.links.iter().find(|link| link.connects(from, to))?;
        Some(link.bytes_per_second())
    }

    /// Returns the class with the longest path prefix that covers `path`, and its name. Classes that name `host` take
    /// precedence over those of any host.
    pub fn class_of(&self, host: &str, path: &str) -> Option<(&str, &Class)> {
        let candidates =
            self.classes.iter().filter(|(_, class)| class.matches_host(host)).filter_map(|(name, class)| {
                let length = class.prefix_length(path)?;
                Some(((!class.host.is_empty(), length), name.as_str(), class))
            });
        candidates.max_by_key(|(precedence, _, _)| *precedence).map(|(_, name, class)| (name, class))
    }

    /// Returns the regions that most classes of `host` name; none if one of these classes may run everywhere, since its callers
    /// would crowd into the regions of the others.
    pub fn home_regions(&self, host: &str) -> Vec<&str> {
        let classes: Vec<&Class> =
            self.classes.values().filter(|class| !class.closed && class.matches_host(host)).collect();
        if classes.iter().any(|class| class.regions.is_empty()) {
            return Vec::new();
        }
        let mut named = BTreeMap::<&str, usize>::new();
        classes.iter().flat_map(|class| &class.regions).for_each(|region| *named.entry(region).or_default() += 1);
        let most = named.values().max().copied().unwrap_or_default();
        named.into_iter().filter(|(_, classes)| *classes == most).map(|(region, _)| region).collect()
    }

    /// Whether the backend servers of `domain` are drained, by themselves or with the whole failure domain.
    pub fn servers_drained(&self, domain: &str) -> bool {
        self.has_drain(Scope::Servers, domain) || self.domain_drained(domain)
    }

    fn has_drain(&self, scope: Scope, name: &str) -> bool {
        self.drains.iter().any(|drain| drain.scope == scope && drain.name == name)
    }

    fn check_domains(&self, name: &str) -> Result<()> {
        let mut seen = BTreeSet::new();
        for (region, value) in &self.regions {
            let key = format!("regions.{region}.domains");
            if value.domains.is_empty() {
                return Err(Error::value(name, key, "must name at least one failure domain"));
            }
            for domain in &value.domains {
                if !seen.insert(domain) {
                    return Err(Error::value(
                        name,
                        key,
                        format!("`{domain}` is named twice; name each failure domain once"),
                    ));
                }
            }
        }
        Ok(())
    }

    fn check_classes(&self, name: &str) -> Result<()> {
        if self.classes.is_empty() {
            return Err(Error::value(name, "classes", "must name at least one class of work"));
        }
        let mut paths = BTreeSet::new();
        for (class, value) in &self.classes {
            value.check(name, &format!("classes.{class}"))?;
            let unknown = value.regions.iter().find(|region| !self.regions.contains_key(*region));
            if let Some(region) = unknown {
                let key = format!("classes.{class}.regions");
                return Err(Error::value(name, key, format!("`{region}` is not a region; name one of `regions`")));
            }
            for path in &value.paths {
                if !paths.insert((&value.host, path)) {
                    let key = format!("classes.{class}.paths");
                    return Err(Error::value(name, key, format!("`{path}` belongs to two classes; keep it in one")));
                }
            }
        }
        Ok(())
    }

    fn check_accounts(&self, name: &str) -> Result<()> {
        let mut holders = BTreeMap::new();
        for (account, value) in self.accounts.iter().flatten() {
            let key = format!("accounts.{account}");
            value.check(name, &key)?;
            value.check_regions(name, &key, &self.regions)?;
            for (index, digest) in value.keys.iter().enumerate() {
                if let Some(holder) = holders.insert(digest, account).filter(|holder| *holder != account) {
                    let advice = format!("belongs to account `{holder}` too; keep it in one");
                    return Err(Error::value(name, format!("{key}.keys[{index}]"), advice));
                }
            }
        }
        Ok(())
    }

    fn check_drain(&self, name: &str, key: &str, drain: &Drain) -> Result<()> {
        let known = match drain.scope {
            Scope::Region => self.regions.contains_key(&drain.name),
            Scope::Domain | Scope::Servers => self.region_of(&drain.name).is_some(),
            Scope::Instance => !drain.name.is_empty(),
        };
        if known {
            return Ok(());
        }
        let advice = format!("`{}` is unknown; name one that `regions` declares", drain.name);
        Err(Error::value(name, format!("{key}.name"), advice))
    }

    fn check_remaining_domains(&self, name: &str) -> Result<()> {
        let mut domains = self.regions.values().flat_map(|region| &region.domains);
        if domains.any(|domain| !self.domain_drained(domain)) {
            return Ok(());
        }
        Err(Error::value(name, "drains", "would drain every failure domain; end one drain first"))
    }
}
