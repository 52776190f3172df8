//! The instances that the platform lists, each read once and then shared.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base::hash;
use base::instance::Instance;
use base::time::Time;
use config::configs::Settings;
use dispatch::backend::BackendId;
use store::Mirror;

use crate::adapter::Catalog;

/// A listed instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its number.
    pub id: BackendId,
    /// What is listed of it.
    pub instance: Arc<Instance>,
    /// Until when it starts slowly.
    pub cold_until: Time,
}

impl Item {
    /// An instance that starts slowly until `cold_until`.
    pub fn new(instance: Instance, cold_until: Time) -> Self {
        Self { id: backend_id(&instance), instance: Arc::new(instance), cold_until }
    }
}

/// A backend server's number: its name, address and start together, so that a successor is another one.
pub fn backend_id(instance: &Instance) -> BackendId {
    let Instance { name, address, started_at, .. } = instance;
    let text = if *started_at == 0 { format!("{name}\n{address}") } else { format!("{name}\n{address}\n{started_at}") };
    hash::bytes(text.as_bytes()) as BackendId
}

/// The list as it was read last.
#[derive(Debug, Clone, Default)]
pub struct List {
    /// All that is listed.
    pub items: Arc<Vec<Item>>,
    /// When it was read.
    pub read_at: Option<Time>,
    /// Rises with each change.
    pub version: u64,
}

impl List {
    /// Takes what was read at `now`.
    pub fn replace(&mut self, items: Vec<Item>, now: Time) {
        self.read_at = Some(now);
        if *self.items != items {
            self.items = Arc::new(items);
            self.version += 1;
        }
    }
}

/// Entries of the store that name servers; each is read again only after it was written anew.
#[derive(Debug, Clone, Default)]
pub struct ServerEntries(BTreeMap<String, (u64, Result<Item, String>)>);

impl ServerEntries {
    /// Reads what is new in `mirror`; gives the servers, and why entries were passed over.
    pub fn read(&mut self, mirror: &Mirror, catalog: Catalog, settings: &Settings) -> (Vec<Item>, BTreeSet<String>) {
        let mut known = std::mem::take(&mut self.0);
        for (key, held) in mirror.range(catalog.server_prefix) {
            let kept = known.remove_entry(key).filter(|(_, (revision, _))| *revision == held.revision);
            let (key, entry) = kept.unwrap_or_else(|| {
                let name = key.strip_prefix(catalog.server_prefix).unwrap_or(key);
                let server = (catalog.parse_server)(name, &held.value, settings);
                let item = server.map(|server| Item::new(server.instance, held.first_seen + server.cold_for));
                let told = item.map_err(|reason| format!("{key} at revision {}: {reason}", held.revision));
                (key.to_owned(), (held.revision, told))
            });
            self.0.insert(key, entry);
        }
        let items = self.0.values().filter_map(|(_, entry)| entry.as_ref().ok().cloned());
        let refused = self.0.values().filter_map(|(_, entry)| entry.as_ref().err().cloned());
        (items.collect(), refused.collect())
    }
}
