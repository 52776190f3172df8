//! Idle connections to backend servers.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use base::time::Time;
use dispatch::backend::BackendId;
use h1::client::Connection;

use crate::context::lock;

/// Idle connections kept for each server.
const POOLED: usize = 8;
/// Longest time a connection is kept idle.
const IDLE: Duration = Duration::from_secs(8);
/// Time before a server's own limit at which an idle connection is not used any more.
const MARGIN: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Time,
    until: Time,
}

/// Idle connections by server, the latest used last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<BackendId, Vec<Idle>>>,
}

impl Pool {
    /// An empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// The latest used connection to `backend` that has been idle for `most` at most.
    pub fn take(&self, backend: BackendId, most: Duration, now: Time) -> Option<Connection> {
        let mut all = lock(&self.idle);
        let idle = all.get_mut(&backend)?;
        while let Some(last) = idle.pop() {
            let usable = now < last.until && last.connection.is_idle();
            if usable && now.since(last.since) <= most {
                return Some(last.connection);
            }
            if usable {
                idle.push(last);
                return None;
            }
        }
        None
    }

    /// Keeps a connection; `limit` is how long the server keeps it, if it said so.
    pub fn put(&self, backend: BackendId, connection: Connection, limit: Option<Duration>, now: Time) {
        let kept = limit.map_or(IDLE, |limit| limit.saturating_sub(MARGIN).min(IDLE));
        let mut all = lock(&self.idle);
        let idle = all.entry(backend).or_default();
        idle.retain(|idle| now < idle.until);
        if idle.len() < POOLED && !kept.is_zero() {
            idle.push(Idle { connection, since: now, until: now + kept });
        }
    }

    /// Drops the connections to `backend`: one of them went silent or broke, so the others may have too.
    pub fn clear(&self, backend: BackendId) {
        lock(&self.idle).remove(&backend);
    }

    /// Drops the connections to servers that are not in use any more, and those idle for too long.
    pub fn retain(&self, in_use: impl Fn(BackendId) -> bool, now: Time) {
        let mut all = lock(&self.idle);
        all.retain(|backend, _| in_use(*backend));
        all.values_mut().for_each(|idle| idle.retain(|idle| now < idle.until));
    }
}
