//! The state machine of the idempotency keys of one daemon.

use std::collections::BTreeMap;
use std::time::Duration;

use base::error::{self, Kind};
use base::time::Time;

use crate::acquire::{Outcome, Status};
use crate::cache::Cache;

/// Maximum number of keys with claims in the store; the request of an evicted key counts as one that may have run.
const MAX_STORED_KEYS: usize = 65_536;

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission<A> {
    /// Acquire its claim in the store, then call [`Ledger::finish_claim`].
    Claim,
    /// Run it.
    Run,
    /// Answer it with this answer of an earlier send.
    Replay(A),
    /// Refuse it.
    Refuse(Kind),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The claim is being acquired.
    Claiming,
    /// The claim is ours, and the request may be sent to a backend server from now on.
    Running,
    /// The claim may be stored as ours, but nothing was sent to a backend server.
    Unsent,
    /// The request ran or may have run.
    Done,
    /// Another daemon got [`Status::NeverRun`] for the key: the request never runs here under this claim.
    Yielded,
}

#[derive(Debug, Clone)]
struct Entry {
    state: State,
    fingerprint: u64,
    /// Whether the key belongs to a session of this incarnation; such a key has no claim in the store.
    session: bool,
    /// Whether the store may have a claim of ours.
    may_be_stored: bool,
    /// When the state last changed.
    changed_at: Time,
}

/// Limits of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long a key is kept after its state last changed.
    pub retention: Duration,
    /// Maximum number of keys of sessions.
    pub max_session_keys: usize,
    /// Maximum total size of the answers kept, in bytes.
    pub max_answer_bytes: u64,
}

/// The idempotency keys of one daemon, with their answers of type `A`.
#[derive(Debug, Clone)]
pub struct Ledger<A> {
    limits: Limits,
    entries: BTreeMap<u128, Entry>,
    /// Number of entries that belong to sessions.
    session_keys: usize,
    answers: Cache<A>,
}

impl<A: Clone> Ledger<A> {
    /// Creates an empty ledger.
    pub const fn new(limits: Limits) -> Self {
        let answers = Cache::new(limits.max_answer_bytes);
        Self { limits, entries: BTreeMap::new(), session_keys: 0, answers }
    }

    /// Records a request with `key` and returns what to do with it.
    ///
    /// `session` states that the key belongs to a session of this incarnation.
    pub fn begin(&mut self, key: u128, fingerprint: u64, session: bool, now: Time) -> Admission<A> {
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.fingerprint != fingerprint {
                return Admission::Refuse(Kind::KeyReused);
            }
            return match entry.state {
                State::Claiming | State::Running => Admission::Refuse(Kind::StillRunning),
                State::Done | State::Yielded => self.resend(key),
                State::Unsent => {
                    entry.state = if session { State::Running } else { State::Claiming };
                    entry.changed_at = now;
                    if session { Admission::Run } else { Admission::Claim }
                }
            };
        }
        if session && !self.has_session_capacity(now) {
            return Admission::Refuse(Kind::ClaimUnavailable);
        }
        self.evict_oldest(now);
        let state = if session { State::Running } else { State::Claiming };
        self.session_keys += usize::from(session);
        self.entries.insert(key, Entry { state, fingerprint, session, may_be_stored: false, changed_at: now });
        if session { Admission::Run } else { Admission::Claim }
    }

    /// Records that the claim of `key` is about to be sent to the store.
    pub fn record_claim_sent(&mut self, key: u128) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.may_be_stored = true;
        }
    }

    /// Records the `outcome` of acquiring the claim of `key`, and returns what to do with the request.
    ///
    /// Must be called once for each [`Admission::Claim`].
    pub fn finish_claim(&mut self, key: u128, outcome: Outcome<A>, now: Time) -> Admission<A> {
        let Some(entry) = self.entries.get_mut(&key) else {
            return Admission::Refuse(Kind::AlreadyClaimed);
        };
        if entry.state != State::Claiming {
            return Admission::Refuse(Kind::AlreadyClaimed);
        }
        entry.changed_at = now;
        match outcome {
            Outcome::Acquired(_) => {
                entry.state = State::Running;
                return Admission::Run;
            }
            Outcome::Unavailable if entry.may_be_stored => {
                entry.state = State::Unsent;
                return Admission::Refuse(Kind::ClaimUnavailable);
            }
            _ => self.remove(key),
        }
        match outcome {
            Outcome::Ran(answer) => Admission::Replay(answer),
            Outcome::Running => Admission::Refuse(Kind::StillRunning),
            Outcome::KeyReused => Admission::Refuse(Kind::KeyReused),
            Outcome::Unavailable => Admission::Refuse(Kind::ClaimUnavailable),
            Outcome::Unknown | Outcome::Acquired(_) => Admission::Refuse(Kind::AlreadyClaimed),
        }
    }

    /// Whether `key` is being claimed and nothing was sent for it, so that a stored claim of ours is unused.
    ///
    /// Such a claim may be replaced by compare-and-swap at its revision. It counts as ours only after that: a peer that
    /// got [`Status::NeverRun`] may be taking it over at the same revision.
    pub fn is_unsent(&self, key: u128) -> bool {
        self.entries.get(&key).is_some_and(|entry| entry.state == State::Claiming)
    }

    /// Records the complete answer, of `bytes` bytes, of a request.
    pub fn record_answer(&mut self, key: u128, answer: A, bytes: u64, now: Time) {
        self.set_state(key, State::Done, now);
        self.answers.put(key, answer, bytes);
    }

    /// Records that a request ended with an error. Returns whether its claim should be deleted from the store.
    pub fn record_failure(&mut self, key: u128, kind: Kind, now: Time) -> bool {
        let unknown = kind.answer().outcome == error::Outcome::Unknown;
        let Some(entry) = self.entries.get_mut(&key) else {
            return false;
        };
        if entry.state != State::Running {
            return false;
        }
        entry.changed_at = now;
        entry.state = if unknown { State::Done } else { State::Unsent };
        let release = !unknown && !entry.session;
        if !unknown && entry.session {
            self.remove(key);
        }
        release
    }

    /// Records that the claim of a request that never ran was deleted from the store.
    pub fn record_release(&mut self, key: u128) {
        let unsent = self.entries.get(&key).is_some_and(|entry| entry.state == State::Unsent);
        if unsent {
            self.remove(key);
        }
    }

    /// Returns the status of `key` for a peer that read a claim of ours.
    ///
    /// If the request never ran, the key is yielded: the request never runs here under this claim.
    pub fn status(&mut self, key: u128, now: Time) -> Status<A> {
        let Some(entry) = self.entries.get_mut(&key) else {
            return Status::Unknown;
        };
        match entry.state {
            State::Claiming | State::Running => Status::Running,
            State::Done => self.answers.get(key).map_or(Status::Unknown, Status::Ran),
            State::Unsent | State::Yielded => {
                entry.state = State::Yielded;
                entry.changed_at = now;
                Status::NeverRun
            }
        }
    }

    /// Returns the number of keys kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what to do with another send of a request that is done or yielded.
    fn resend(&mut self, key: u128) -> Admission<A> {
        let yielded = self.entries.get(&key).is_some_and(|entry| entry.state == State::Yielded);
        match self.answers.get(key) {
            Some(answer) => Admission::Replay(answer),
            None if yielded => {
                // A peer may have taken the claim over; the store has the current claimant.
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.state = State::Claiming;
                }
                Admission::Claim
            }
            None => Admission::Refuse(Kind::AlreadyClaimed),
        }
    }

    fn set_state(&mut self, key: u128, state: State, now: Time) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = state;
            entry.changed_at = now;
        }
    }

    /// Whether one more key of a session can be kept for the whole retention time; removes expired keys if necessary.
    fn has_session_capacity(&mut self, now: Time) -> bool {
        if self.session_keys < self.limits.max_session_keys {
            return true;
        }
        self.remove_expired(now);
        self.session_keys < self.limits.max_session_keys
    }

    /// Evicts the oldest keys with stored claims if there are too many; the store still has these claims.
    fn evict_oldest(&mut self, now: Time) {
        if self.entries.len() - self.session_keys < MAX_STORED_KEYS {
            return;
        }
        self.remove_expired(now);
        let stored = self.entries.iter().filter(|(_, entry)| !entry.session && entry.state == State::Done);
        let mut oldest: Vec<(Time, u128)> = stored.map(|(key, entry)| (entry.changed_at, *key)).collect();
        oldest.sort_unstable();
        for (_, key) in oldest.into_iter().take(MAX_STORED_KEYS / 8) {
            self.remove(key);
        }
    }

    /// Removes the settled keys whose retention time has passed.
    fn remove_expired(&mut self, now: Time) {
        let retention = self.limits.retention;
        let settled = |state| matches!(state, State::Done | State::Unsent | State::Yielded);
        let expired = |entry: &Entry| now.since(entry.changed_at) >= retention && settled(entry.state);
        let keys: Vec<u128> = self.entries.iter().filter(|(_, entry)| expired(entry)).map(|(key, _)| *key).collect();
        for key in keys {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: u128) {
        if let Some(entry) = self.entries.remove(&key) {
            self.session_keys -= usize::from(entry.session);
        }
    }
}
