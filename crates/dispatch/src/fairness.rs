//! Fair parts of the servers for client accounts while room is short.
//!
//! Load pattern: one account sends many times its usual, or callers repeat at once, and requests wait for servers. In order of
//! arrival, every account would lose the same fraction of its requests to the one that asks most. So requests that wait are
//! ordered by how much work their account had lately: who asks for less than an equal part gets all of it, and the others
//! share the rest equally (max-min fairness). Work at other daemons counts, as far as they tell.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;

/// Time over which work is averaged.
const WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of accounts whose work is known; those with the least work are forgotten first.
const MAX_ACCOUNTS: usize = 4_096;
/// Work below which an account counts as one that had none, in seconds of work in a second.
const LEAST: f64 = 0.01;
/// Time between two computations of an equal part.
const EQUAL_INTERVAL: Duration = Duration::from_millis(200);
/// Fraction of its target that a request may be expected to take, whatever its account had.
const LEAST_TARGET_FRACTION: f64 = 0.75;
/// The same while all requests of accounts with up to an equal part are refused.
const LEAST_TARGET_FRACTION_IN_SHORTAGE: f64 = 0.2;
/// Weight of the latest request in the fraction of refused ones.
const OUTCOME_WEIGHT: f64 = 0.02;
/// Maximum number of refused requests that are remembered.
const MAX_REFUSED: usize = 4_096;
/// Time after which a refused request that comes back counts as a new one.
const REMEMBERED: Duration = Duration::from_secs(5);

/// The work that accounts had lately.
#[derive(Debug, Clone)]
pub struct Usage {
    accounts: BTreeMap<u64, Work>,
    /// An equal part of all work for each account that had any, as of `equal_at`.
    equal: f64,
    equal_at: Time,
    /// Fraction of the latest requests of accounts with up to an equal part that were refused.
    refused: f64,
}

#[derive(Debug, Clone, Copy)]
struct Work {
    /// Seconds of work in a second, averaged up to `at`.
    here: f64,
    at: Time,
    /// Requests in a second at all daemons for each one here, as far as they tell.
    fleet_factor: f64,
}

impl Default for Usage {
    fn default() -> Self {
        Self::new()
    }
}

impl Usage {
    /// Creates the state without accounts.
    pub const fn new() -> Self {
        Self { accounts: BTreeMap::new(), equal: 0.0, equal_at: Time::ZERO, refused: 0.0 }
    }

    /// Whether no account has had work.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns how much of its target a request of an account may be expected to take when it is sent: all of it for an account
    /// with up to an equal part of the work, less for one with more. So while servers are full, those accounts stop sending
    /// first, at all daemons alike, and leave room for the others.
    pub fn target_fraction(&mut self, account: u64, now: Time) -> f64 {
        if now.since(self.equal_at) >= EQUAL_INTERVAL {
            self.update_equal(now);
        }
        let work = self.work(account, now);
        let least = LEAST_TARGET_FRACTION + (LEAST_TARGET_FRACTION_IN_SHORTAGE - LEAST_TARGET_FRACTION) * self.refused;
        if work <= self.equal { 1.0 } else { (self.equal / work).sqrt().max(least) }
    }

    /// Records whether a request with this fraction was refused for lack of room, or sent. While requests of accounts with up to
    /// an equal part are refused, the others get smaller fractions.
    pub fn record_outcome(&mut self, target_fraction: f64, refused: bool) {
        if target_fraction >= 1.0 {
            self.refused += OUTCOME_WEIGHT * (f64::from(u8::from(refused)) - self.refused);
        }
    }

    fn update_equal(&mut self, now: Time) {
        let work = self.accounts.keys().map(|account| self.work(*account, now)).filter(|work| *work >= LEAST);
        let (sum, count) = work.fold((0.0, 0.0), |(sum, count), one| (sum + one, count + 1.0));
        self.equal = sum / f64::max(count, 1.0);
        self.equal_at = now;
    }

    /// Records that work of an expected length starts for `account`.
    pub fn record(&mut self, account: u64, work: Duration, now: Time) {
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(&account) {
            self.forget_least(now);
        }
        let here = self.here(account, now) + work.as_secs_f64() / WINDOW.as_secs_f64();
        let fleet_factor = self.accounts.get(&account).map_or(1.0, |work| work.fleet_factor);
        self.accounts.insert(account, Work { here, at: now, fleet_factor });
    }

    /// Sets how many requests of `account` there are at all daemons for each one at this daemon.
    pub fn set_fleet_factor(&mut self, account: u64, factor: f64) {
        if let Some(work) = self.accounts.get_mut(&account) {
            work.fleet_factor = factor.max(1.0);
        }
    }

    /// Returns the place of an account among those that wait: the binary order of magnitude of its work, lowest first. Accounts
    /// of the same place had about the same work.
    pub fn place(&self, account: u64, now: Time) -> i32 {
        let work = self.work(account, now);
        if work < LEAST { i32::MIN } else { work.log2().floor() as i32 }
    }

    /// Returns the work of an account at all daemons, as far as they tell.
    fn work(&self, account: u64, now: Time) -> f64 {
        let factor = self.accounts.get(&account).map_or(1.0, |work| work.fleet_factor);
        self.here(account, now) * factor
    }

    fn here(&self, account: u64, now: Time) -> f64 {
        self.accounts
            .get(&account)
            .map_or(0.0, |work| work.here * (-now.since(work.at).as_secs_f64() / WINDOW.as_secs_f64()).exp())
    }

    fn forget_least(&mut self, now: Time) {
        let least =
            self.accounts.keys().copied().min_by(|one, other| self.here(*one, now).total_cmp(&self.here(*other, now)));
        if let Some(account) = least {
            self.accounts.remove(&account);
        }
    }
}

/// When a request arrives, compared to when its caller was told to send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It was not refused lately.
    New,
    /// Its caller was told to come back later.
    Early,
    /// Its caller was told to come back, and has waited for as long.
    AsTold,
}

/// Requests that were refused lately, with the time at which their callers were told to come back.
#[derive(Debug, Clone, Default)]
pub struct Refused {
    /// By account and fingerprint.
    until: BTreeMap<(u64, u64), Time>,
}

impl Refused {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request is refused and its caller told to come back at `at`.
    pub fn record(&mut self, account: u64, fingerprint: u64, at: Time, now: Time) {
        if self.until.len() >= MAX_REFUSED {
            self.until.retain(|_, at| now.since(*at) < REMEMBERED);
        }
        if self.until.len() < MAX_REFUSED {
            self.until.insert((account, fingerprint), at);
        }
    }

    /// Returns whether a request was refused lately. One that comes back as told is known once.
    pub fn arrival(&mut self, account: u64, fingerprint: u64, now: Time) -> Arrival {
        let key = (account, fingerprint);
        match self.until.get(&key).copied() {
            Some(at) if now < at => Arrival::Early,
            Some(at) => {
                self.until.remove(&key);
                if now.since(at) < REMEMBERED { Arrival::AsTold } else { Arrival::New }
            }
            None => Arrival::New,
        }
    }
}
