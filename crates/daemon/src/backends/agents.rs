//! Connections to backend servers, a pool for each server.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use dispatch::backend::BackendId;

use super::http;
use crate::context::lock;

/// Idle connections kept for each server.
const POOLED: usize = 3;

/// Pools by server.
#[derive(Debug)]
pub struct Agents {
    connect: Duration,
    pools: Mutex<BTreeMap<BackendId, ureq::Agent>>,
}

impl Agents {
    /// Pools whose connections are made within `connect`.
    pub const fn new(connect: Duration) -> Self {
        Self { connect, pools: Mutex::new(BTreeMap::new()) }
    }

    /// An agent for `backend`; a `fresh` one makes a new connection and keeps none.
    pub fn get(&self, backend: BackendId, fresh: bool) -> ureq::Agent {
        if fresh {
            return http::agent(self.connect, 0);
        }
        let mut pools = lock(&self.pools);
        pools.entry(backend).or_insert_with(|| http::agent(self.connect, POOLED)).clone()
    }

    /// Drops the pool of `backend`: one of its connections went silent or broke, so the others may have too.
    pub fn renew(&self, backend: BackendId) {
        lock(&self.pools).remove(&backend);
    }

    /// Drops the pools of servers that are not in use any more.
    pub fn keep(&self, in_use: impl Fn(BackendId) -> bool) {
        lock(&self.pools).retain(|backend, _| in_use(*backend));
    }
}
