//! The state machine of one daemon's keys.

use std::collections::BTreeMap;
use std::time::Duration;

use base::error::{self, Kind};
use base::time::Time;

use crate::acquire::{Outcome, Status};
use crate::cache::Cache;

/// Keys of claims in the store remembered at most; what is forgotten counts as perhaps run.
const MOST_STORED: usize = 65_536;

/// What to do with a request that came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission<A> {
    /// Make its claim in the store, then call [`Ledger::finish_claim`].
    Claim,
    /// Run it.
    Run,
    /// Answer with the answer of an earlier send.
    Replay(A),
    /// Refuse it.
    Refuse(Kind),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The claim is being made.
    Claiming,
    /// The claim is ours and the request may be sent from now on.
    Running,
    /// The claim may stand in the store under our name, but nothing was sent.
    Idle,
    /// The request may have run.
    Done,
    /// Another daemon was told that we never run it under this claim.
    GivenUp,
}

#[derive(Debug, Clone)]
struct Entry {
    state: State,
    fingerprint: u64,
    session: bool,
    /// Whether a claim under our name may stand in the store.
    stored: bool,
    changed: Time,
}

/// Limits of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long a key is remembered.
    pub retention: Duration,
    /// Keys of sessions at most.
    pub max_session_keys: usize,
    /// Answers kept, in bytes.
    pub max_answer_bytes: u64,
}

/// One daemon's keys.
#[derive(Debug, Clone)]
pub struct Ledger<A> {
    limits: Limits,
    entries: BTreeMap<u128, Entry>,
    sessions: usize,
    kept: Cache<A>,
}

impl<A: Clone> Ledger<A> {
    /// An empty ledger.
    pub const fn new(limits: Limits) -> Self {
        let kept = Cache::new(limits.max_answer_bytes);
        Self { limits, entries: BTreeMap::new(), sessions: 0, kept }
    }

    /// A request with `key` came; `session` says that the key belongs to a session of this incarnation.
    pub fn begin(&mut self, key: u128, fingerprint: u64, session: bool, now: Time) -> Admission<A> {
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.fingerprint != fingerprint {
                return Admission::Refuse(Kind::KeyReused);
            }
            return match entry.state {
                State::Claiming | State::Running => Admission::Refuse(Kind::StillRunning),
                State::Done | State::GivenUp => self.again(key),
                State::Idle => {
                    entry.state = if session { State::Running } else { State::Claiming };
                    entry.changed = now;
                    if session { Admission::Run } else { Admission::Claim }
                }
            };
        }
        if session && !self.room_for_session(now) {
            return Admission::Refuse(Kind::ClaimUnavailable);
        }
        self.make_room(now);
        let state = if session { State::Running } else { State::Claiming };
        self.sessions += usize::from(session);
        self.entries.insert(key, Entry { state, fingerprint, session, stored: false, changed: now });
        if session { Admission::Run } else { Admission::Claim }
    }

    /// The claim of `key` is about to be sent to the store.
    pub fn record_claim_sent(&mut self, key: u128) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.stored = true;
        }
    }

    /// The claim of `key` has come to `held`; called once for each [`Admission::Claim`].
    pub fn finish_claim(&mut self, key: u128, held: Outcome<A>, now: Time) -> Admission<A> {
        let Some(entry) = self.entries.get_mut(&key) else {
            return Admission::Refuse(Kind::AlreadyClaimed);
        };
        if entry.state != State::Claiming {
            return Admission::Refuse(Kind::AlreadyClaimed);
        }
        entry.changed = now;
        match held {
            Outcome::Acquired(_) => {
                entry.state = State::Running;
                return Admission::Run;
            }
            Outcome::Unavailable if entry.stored => {
                entry.state = State::Idle;
                return Admission::Refuse(Kind::ClaimUnavailable);
            }
            _ => self.remove(key),
        }
        match held {
            Outcome::Ran(answer) => Admission::Replay(answer),
            Outcome::Running => Admission::Refuse(Kind::StillRunning),
            Outcome::KeyReused => Admission::Refuse(Kind::KeyReused),
            Outcome::Unavailable => Admission::Refuse(Kind::ClaimUnavailable),
            Outcome::Unknown | Outcome::Acquired(_) => Admission::Refuse(Kind::AlreadyClaimed),
        }
    }

    /// Whether `key` is being claimed and nothing was sent for it, so a claim of ours in the store is unused.
    ///
    /// Such a claim may be replaced by compare-and-swap at its revision, and counts as ours only once that is done:
    /// a peer that was told [`Status::NeverRun`] may be taking it over at the same revision.
    pub fn is_unsent(&self, key: u128) -> bool {
        self.entries.get(&key).is_some_and(|entry| entry.state == State::Claiming)
    }

    /// A request that ran, or was to run, got its whole answer.
    pub fn record_answer(&mut self, key: u128, answer: A, bytes: u64, now: Time) {
        self.set(key, State::Done, now);
        self.kept.put(key, answer, bytes);
    }

    /// A request ended with an error; `true` if its claim should be deleted from the store.
    pub fn record_failure(&mut self, key: u128, kind: Kind, now: Time) -> bool {
        let unknown = kind.answer().outcome == error::Outcome::Unknown;
        let Some(entry) = self.entries.get_mut(&key) else {
            return false;
        };
        if entry.state != State::Running {
            return false;
        }
        entry.changed = now;
        entry.state = if unknown { State::Done } else { State::Idle };
        let release = !unknown && !entry.session;
        if !unknown && entry.session {
            self.remove(key);
        }
        release
    }

    /// The claim of a key that never ran is gone from the store.
    pub fn record_release(&mut self, key: u128) {
        let idle = self.entries.get(&key).is_some_and(|entry| entry.state == State::Idle);
        if idle {
            self.remove(key);
        }
    }

    /// What a peer that holds a claim of ours may be told; a key that never ran is given up for good.
    pub fn status(&mut self, key: u128, now: Time) -> Status<A> {
        let Some(entry) = self.entries.get_mut(&key) else {
            return Status::Unknown;
        };
        match entry.state {
            State::Claiming | State::Running => Status::Running,
            State::Done => self.kept.get(key).map_or(Status::Unknown, Status::Ran),
            State::Idle | State::GivenUp => {
                entry.state = State::GivenUp;
                entry.changed = now;
                Status::NeverRun
            }
        }
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn again(&mut self, key: u128) -> Admission<A> {
        let given_up = self.entries.get(&key).is_some_and(|entry| entry.state == State::GivenUp);
        match self.kept.get(key) {
            Some(answer) => Admission::Replay(answer),
            None if given_up => {
                // A peer took the key over; the store knows who.
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.state = State::Claiming;
                }
                Admission::Claim
            }
            None => Admission::Refuse(Kind::AlreadyClaimed),
        }
    }

    fn set(&mut self, key: u128, state: State, now: Time) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = state;
            entry.changed = now;
        }
    }

    /// Whether one more key of a session can be remembered for its whole time.
    fn room_for_session(&mut self, now: Time) -> bool {
        if self.sessions < self.limits.max_session_keys {
            return true;
        }
        self.forget_old(now);
        self.sessions < self.limits.max_session_keys
    }

    /// Forgets the oldest stored claims when there are too many; the store still knows them.
    fn make_room(&mut self, now: Time) {
        if self.entries.len() - self.sessions < MOST_STORED {
            return;
        }
        self.forget_old(now);
        let stored = self.entries.iter().filter(|(_, entry)| !entry.session && entry.state == State::Done);
        let mut oldest: Vec<(Time, u128)> = stored.map(|(key, entry)| (entry.changed, *key)).collect();
        oldest.sort_unstable();
        for (_, key) in oldest.into_iter().take(MOST_STORED / 8) {
            self.remove(key);
        }
    }

    fn forget_old(&mut self, now: Time) {
        let kept = self.limits.retention;
        let settled = |state| matches!(state, State::Done | State::Idle | State::GivenUp);
        let old = |entry: &Entry| now.since(entry.changed) >= kept && settled(entry.state);
        let keys: Vec<u128> = self.entries.iter().filter(|(_, entry)| old(entry)).map(|(key, _)| *key).collect();
        for key in keys {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: u128) {
        if let Some(entry) = self.entries.remove(&key) {
            self.sessions -= usize::from(entry.session);
        }
    }
}
