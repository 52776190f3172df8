//! Which objects each server has handled lately: a server works faster on those.

use std::collections::{BTreeMap, VecDeque};

use crate::backend::BackendId;

/// Objects that a server is trusted to keep warm.
const MAX_OBJECTS: usize = 32;

/// Objects by server, the latest handled last.
#[derive(Debug, Clone, Default)]
pub struct Warmth {
    servers: BTreeMap<BackendId, VecDeque<u64>>,
}

impl Warmth {
    /// Nothing is known to be warm.
    pub fn new() -> Self {
        Self::default()
    }

    /// `server` handles `object`; says whether that is news.
    pub fn touch(&mut self, server: BackendId, object: u64) -> bool {
        let objects = self.servers.entry(server).or_default();
        let known = objects.iter().position(|known| *known == object);
        if let Some(position) = known {
            objects.remove(position);
        } else if objects.len() == MAX_OBJECTS {
            objects.pop_front();
        }
        objects.push_back(object);
        known.is_none()
    }

    /// Whether `server` handled `object` lately.
    pub fn has(&self, server: BackendId, object: u64) -> bool {
        self.servers.get(&server).is_some_and(|objects| objects.contains(&object))
    }

    /// `server` started anew: it knows nothing of before.
    pub fn forget(&mut self, server: BackendId) {
        self.servers.remove(&server);
    }

    /// Forgets the servers that are not in use any more.
    pub fn retain(&mut self, in_use: impl Fn(BackendId) -> bool) {
        self.servers.retain(|server, _| in_use(*server));
    }
}
