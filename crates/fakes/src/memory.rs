//! The store in the test's own process, with virtual time and faults on demand.

use std::sync::Mutex;
use std::time::Duration;

use base::time::Time;
use store::wire::prefix_end;
use store::{Change, Commit, Entry, Error, Lease, Result, Store};

use crate::state::State;

/// The fault that calls encounter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Calls succeed.
    #[default]
    None,
    /// Calls cannot be sent; the client receives [`Error::Unreachable`].
    Down,
    /// Calls take effect, but their answers are lost; the client receives [`Error::Ambiguous`].
    LoseAnswer,
    /// Calls are lost before they take effect; the client cannot tell and receives [`Error::Ambiguous`] too.
    LoseRequest,
}

#[derive(Debug, Default)]
struct Inner {
    state: State,
    now: Time,
    fault: Fault,
    calls: u64,
    writes: u64,
}

/// A store in memory.
#[derive(Debug, Default)]
pub struct Memory {
    inner: Mutex<Inner>,
}

impl Memory {
    /// Returns an empty store at time zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the store's clock.
    pub fn set_now(&self, now: Time) {
        self.lock().now = now;
    }

    /// Sets the fault of all later calls.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Expires all leases at once.
    pub fn expire_leases(&self) {
        self.lock().state.expire_leases();
    }

    /// Returns the number of calls so far, and how many of them were writes.
    pub fn counts(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.calls, inner.writes)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no test panics while holding the store")
    }

    /// Counts a call and applies `operation` as the present fault allows.
    fn call<T>(&self, write: bool, operation: impl FnOnce(&mut State, Time) -> T) -> Result<T> {
        let mut inner = self.lock();
        inner.calls += 1;
        inner.writes += u64::from(write);
        let now = inner.now;
        match inner.fault {
            Fault::None => Ok(operation(&mut inner.state, now)),
            Fault::Down => Err(Error::Unreachable("the store is down".to_owned())),
            Fault::LoseRequest => Err(Error::Ambiguous("the request was lost".to_owned())),
            Fault::LoseAnswer => {
                operation(&mut inner.state, now);
                Err(Error::Ambiguous("the answer was lost".to_owned()))
            }
        }
    }
}

impl Store for Memory {
    fn read(&self, key: &str) -> Result<Option<Entry>> {
        self.call(false, |state, now| state.range(key, None, now).pop())
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let end = String::from_utf8_lossy(&prefix_end(prefix.as_bytes())).into_owned();
        self.call(false, |state, now| state.range(prefix, Some(&end), now))
    }

    fn commit(&self, changes: &[Change]) -> Result<Commit> {
        self.call(true, |state, now| state.commit(changes, now))
    }

    fn grant(&self, ttl: Duration) -> Result<Lease> {
        self.call(true, |state, now| state.grant(ttl, now))
    }

    fn renew(&self, lease: Lease) -> Result<bool> {
        self.call(true, |state, now| state.renew(lease, now))
    }
}
