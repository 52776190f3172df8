//! Connections to the daemons that have answered questions lately.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jsonrpsee_http_client::HttpClient;

use crate::context::lock;
use crate::peers::client;

/// Maximum number of connections that are kept between two rounds.
const MAX_CONTACTS: usize = 12;

/// Clients of the daemons that answered last, by address: a busy link takes long to open a new connection.
#[derive(Debug, Clone, Default)]
pub(super) struct Contacts(Arc<Mutex<BTreeMap<String, HttpClient>>>);

impl Contacts {
    /// Whether the client of the daemon at `address` is kept.
    pub(super) fn contains(&self, address: &str) -> bool {
        lock(&self.0).contains_key(address)
    }

    /// Returns the client of the daemon at `address`, or a new one whose calls end within `timeout`.
    pub(super) fn client(&self, address: &str, timeout: Duration) -> Option<HttpClient> {
        let known = lock(&self.0).get(address).cloned();
        known.or_else(|| client::client_with_timeout(address, timeout))
    }

    /// Keeps the client of a daemon that has answered.
    pub(super) fn insert(&self, address: &str, client: &HttpClient) {
        let mut clients = lock(&self.0);
        // Any one gives way: those of daemons that have left are never asked again.
        if clients.len() >= MAX_CONTACTS && !clients.contains_key(address) {
            clients.pop_first();
        }
        clients.insert(address.to_owned(), client.clone());
    }

    /// Forgets the client of a daemon that has not.
    pub(super) fn remove(&self, address: &str) {
        lock(&self.0).remove(address);
    }
}
