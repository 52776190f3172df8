//! Instances that the platform lists, each parsed once and then shared.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base::hash;
use base::instance::Instance;
use base::time::Time;
use config::configs::Settings;
use dispatch::backend::BackendId;
use store::{Mirror, Version};

use crate::adapter::Catalog;

/// A listed instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Number of the backend server, see [`backend_id`].
    pub id: BackendId,
    /// The instance as listed.
    pub instance: Arc<Instance>,
    /// When the server's cold start ends; in the past for a warm one.
    pub cold_until: Time,
}

impl Item {
    /// Creates an item of an instance that is cold until `cold_until`.
    pub fn new(instance: Instance, cold_until: Time) -> Self {
        Self { id: backend_id(&instance), instance: Arc::new(instance), cold_until }
    }
}

/// Returns a backend server's number, a hash of its name, address and start time, so that its successor has another
/// number. Where no start time is listed, a successor at the same address has the same number.
pub fn backend_id(instance: &Instance) -> BackendId {
    let Instance { name, address, started_at, .. } = instance;
    let text = if *started_at == 0 { format!("{name}\n{address}") } else { format!("{name}\n{address}\n{started_at}") };
    hash::bytes(text.as_bytes()) as BackendId
}

/// The list as last read.
#[derive(Debug, Clone, Default)]
pub struct List {
    /// All instances listed.
    pub items: Arc<Vec<Item>>,
    /// When the list was last read; `None` before the first time.
    pub read_at: Option<Time>,
    /// Number of changes so far.
    pub version: u64,
}

impl List {
    /// Replaces the items by those read at `now`; the version rises if they differ.
    pub fn replace(&mut self, items: Vec<Item>, now: Time) {
        self.read_at = Some(now);
        if *self.items != items {
            self.items = Arc::new(items);
            self.version += 1;
        }
    }
}

/// Entries of backend servers in the store, by key, with the version and the result of parsing; each is parsed again only
/// after it was written again.
#[derive(Debug, Clone, Default)]
pub struct ServerEntries(BTreeMap<String, (Version, Result<Item, String>)>);

impl ServerEntries {
    /// Parses what is new in `mirror`; returns all servers, and the reason for each entry that was skipped.
    pub fn read(&mut self, mirror: &Mirror, catalog: Catalog, settings: &Settings) -> (Vec<Item>, BTreeSet<String>) {
        let mut previous = std::mem::take(&mut self.0);
        let era = mirror.version().era;
        for (key, stored) in mirror.range(catalog.server_prefix) {
            let version = Version::new(era, stored.revision);
            let unchanged = previous.remove_entry(key).filter(|(_, (known, _))| *known == version);
            let (key, entry) = unchanged.unwrap_or_else(|| {
                let name = key.strip_prefix(catalog.server_prefix).unwrap_or(key);
                let server = (catalog.parse_server)(name, &stored.value, settings);
                let item = server.map(|server| Item::new(server.instance, stored.first_seen + server.cold_for));
                let result = item.map_err(|reason| format!("{key} at revision {}: {reason}", stored.revision));
                (key.to_owned(), (version, result))
            });
            self.0.insert(key, entry);
        }
        let items = self.0.values().filter_map(|(_, entry)| entry.as_ref().ok().cloned());
        let skipped = self.0.values().filter_map(|(_, entry)| entry.as_ref().err().cloned());
        (items.collect(), skipped.collect())
    }
}
