//! The pool of idle connections to backend servers.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use base::time::Time;
use dispatch::backend::BackendId;
use h1::client::Connection;

use crate::context::lock;

/// Maximum number of idle connections kept for each server.
const MAX_IDLE_PER_BACKEND: usize = 8;
/// Maximum time for which an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
/// How long before the server's own idle timeout a connection is no longer used.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Time,
    expires_at: Time,
}

/// Idle connections by server, the most recently used last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<BackendId, Vec<IdleConnection>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes and returns the most recently used connection to `backend`, or returns `None` if it has been idle for
    /// longer than `max_idle`. Drops connections that are no longer usable.
    pub fn take(&self, backend: BackendId, max_idle: Duration, now: Time) -> Option<Connection> {
        let mut all = lock(&self.idle);
        let idle = all.get_mut(&backend)?;
        while let Some(last) = idle.pop() {
            let usable = now < last.expires_at && last.connection.is_idle();
            if usable && now.since(last.idle_since) <= max_idle {
                return Some(last.connection);
            }
            if usable {
                idle.push(last);
                return None;
            }
        }
        None
    }

    /// Adds an idle connection, unless the maximum for its server is reached. `server_timeout` is the idle timeout that
    /// the server stated in its answer, if any.
    pub fn put(&self, backend: BackendId, connection: Connection, server_timeout: Option<Duration>, now: Time) {
        let max_idle = server_timeout
            .map_or(MAX_IDLE_TIME, |timeout| timeout.saturating_sub(IDLE_TIMEOUT_MARGIN).min(MAX_IDLE_TIME));
        let mut all = lock(&self.idle);
        let idle = all.entry(backend).or_default();
        idle.retain(|idle| now < idle.expires_at);
        if idle.len() < MAX_IDLE_PER_BACKEND && !max_idle.is_zero() {
            idle.push(IdleConnection { connection, idle_since: now, expires_at: now + max_idle });
        }
    }

    /// Drops all connections to `backend`. Called when one of them failed or stalled, as the others may have too.
    pub fn clear(&self, backend: BackendId) {
        lock(&self.idle).remove(&backend);
    }

    /// Drops connections to servers that are no longer in use, and connections that have expired.
    pub fn retain(&self, in_use: impl Fn(BackendId) -> bool, now: Time) {
        let mut all = lock(&self.idle);
        all.retain(|backend, _| in_use(*backend));
        all.values_mut().for_each(|idle| idle.retain(|idle| now < idle.expires_at));
    }
}
