//! The store within a test's own process, on virtual time and with faults on demand.

use std::sync::Mutex;
use std::time::Duration;

use base::time::Time;
use store::wire::prefix_end;
use store::{Change, Commit, Entry, Error, Lease, Result, Store};

use crate::state::State;

/// What the next calls meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Calls work.
    #[default]
    None,
    /// Calls are not sent.
    Down,
    /// Calls take effect and their answers are lost.
    LoseAnswer,
    /// Calls are lost before they take effect; the client cannot tell.
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
    /// An empty store at the start of time.
    pub fn new() -> Self {
        Self::default()
    }

    /// Moves the store's clock.
    pub fn set_now(&self, now: Time) {
        self.lock().now = now;
    }

    /// Sets what the next calls meet.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Ends all leases at once.
    pub fn lapse(&self) {
        self.lock().state.lapse();
    }

    /// Calls and writes so far.
    pub fn counts(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.calls, inner.writes)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no test panics while holding the store")
    }

    fn call<T>(&self, write: bool, work: impl FnOnce(&mut State, Time) -> T) -> Result<T> {
        let mut inner = self.lock();
        inner.calls += 1;
        inner.writes += u64::from(write);
        let now = inner.now;
        match inner.fault {
            Fault::None => Ok(work(&mut inner.state, now)),
            Fault::Down => Err(Error::Unreachable("down".to_owned())),
            Fault::LoseRequest => Err(Error::Ambiguous("lost".to_owned())),
            Fault::LoseAnswer => {
                work(&mut inner.state, now);
                Err(Error::Ambiguous("lost".to_owned()))
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
