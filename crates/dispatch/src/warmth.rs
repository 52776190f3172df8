//! Which objects each server has handled recently (warm objects): a server works faster on those.

use std::collections::{BTreeMap, VecDeque};

use crate::backend::BackendId;

/// Maximum number of objects that a server is expected to keep warm.
const MAX_OBJECTS: usize = 32;

/// Warm objects by server, the latest last.
#[derive(Debug, Clone, Default)]
pub struct Warmth {
    servers: BTreeMap<BackendId, VecDeque<u64>>,
}

impl Warmth {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `server` handles `object`; returns whether the object was not warm there.
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

    /// Returns whether `object` is warm at `server`.
    pub fn has(&self, server: BackendId, object: u64) -> bool {
        self.servers.get(&server).is_some_and(|objects| objects.contains(&object))
    }

    /// Removes all objects of `server`, as after its restart none is warm there.
    pub fn forget(&mut self, server: BackendId) {
        self.servers.remove(&server);
    }

    /// Removes the servers that are no longer in use.
    pub fn retain(&mut self, in_use: impl Fn(BackendId) -> bool) {
        self.servers.retain(|server, _| in_use(*server));
    }
}
