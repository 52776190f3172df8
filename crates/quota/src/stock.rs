//! Tokens that a daemon holds, and how many more it asks for.
//!
//! Load pattern: a large account sends hundreds of requests a second through each daemon, and one message for each would cost
//! more than the requests; a small one sends a request now and then, and tokens that are held for it are missing elsewhere. So
//! tokens are asked for ahead of demand only as far as requests are expected within the time in which tokens can be spent.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use base::time::Time;

use crate::message::{Account, MAX_WANTS, Part, Verdict};

/// Time for which tokens are asked ahead of demand; shorter than they can be spent.
const AHEAD: Duration = Duration::from_millis(300);
/// Time for which the tokens in stock must last, or more are asked for.
const LOW: Duration = Duration::from_millis(120);
/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(800);
/// Longest time for which an account counts as used up without asking again.
const MAX_USED_UP: Duration = Duration::from_millis(100);
/// Time after which an allocator that holds no share of a quota is asked again.
const NO_SHARE_PAUSE: Duration = Duration::from_millis(60);
/// Wait for the next token up to which a request waits here; a caller that came back would not be served sooner.
const SHORT_WAIT: Duration = Duration::from_millis(150);
/// Time without a request after which an account is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What becomes of a request of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent, and has spent a token that would have expired at this time.
    Granted(Time),
    /// Tokens have to be asked for.
    Pending,
    /// The quota is used up; a request would pass after this time.
    UsedUp(Duration),
}

#[derive(Debug, Clone, PartialEq)]
struct Entry {
    /// Tokens with the time at which they expire, the earliest first.
    tokens: VecDeque<(u32, Time)>,
    /// Requests per second, averaged up to `seen_at`.
    demand: f64,
    seen_at: Time,
    /// Requests that wait for tokens.
    waiting: u32,
    /// Whether tokens were asked for and no answer has come.
    asked: bool,
    /// Until when the quota counts as used up, and when a request would pass.
    used_up: Option<(Time, Time)>,
}

/// The tokens of all accounts at one daemon.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Stock {
    accounts: BTreeMap<Account, Entry>,
}

impl Stock {
    /// Creates an empty stock.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a new request of an account, or counts it as waiting.
    pub fn admit(&mut self, account: Account, now: Time) -> Admission {
        let entry = self.accounts.entry(account).or_insert_with(|| Entry::new(now));
        entry.count(now);
        if let Some(expires) = entry.take(now) {
            return Admission::Granted(expires);
        }
        let used_up = entry.used_up.filter(|(until, _)| now < *until).map(|(_, passes_at)| passes_at.since(now));
        if let Some(after) = used_up.filter(|after| *after > SHORT_WAIT) {
            return Admission::UsedUp(after);
        }
        entry.waiting += 1;
        Admission::Pending
    }

    /// Gives back the token of a request that has not run. A token keeps its expiry: what it was lent for may have been lent
    /// again since.
    pub fn give_back(&mut self, account: Account, expires: Time, now: Time) {
        if let Some(entry) = self.accounts.get_mut(&account).filter(|_| now < expires) {
            entry.tokens.push_front((1, expires));
        }
    }

    /// Gives a token to a request that waits; returns when the token would have expired, or `None` if none was given.
    pub fn take_waiting(&mut self, account: Account, now: Time) -> Option<Time> {
        let entry = self.accounts.get_mut(&account).filter(|entry| entry.waiting > 0)?;
        let expires = entry.take(now)?;
        entry.waiting -= 1;
        Some(expires)
    }

    /// Counts a request that waited as gone.
    pub fn stop_waiting(&mut self, account: Account) {
        if let Some(entry) = self.accounts.get_mut(&account) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }

    /// Returns how many tokens to ask for now, for the accounts that `chosen` accepts, and marks them as asked for.
    pub fn wants(&mut self, chosen: impl Fn(Account) -> bool, now: Time) -> Vec<(Account, u32)> {
        self.accounts.retain(|_, entry| entry.waiting > 0 || now.since(entry.seen_at) < FORGET_AFTER);
        let mut wants = Vec::new();
        for (account, entry) in self.accounts.iter_mut().filter(|(account, _)| chosen(**account)) {
            let wanted = entry.wanted(now);
            if wanted > 0 && wants.len() < MAX_WANTS {
                entry.asked = true;
                wants.push((*account, wanted));
            }
        }
        wants
    }

    /// Whether tokens should be asked for now for an account that `chosen` accepts.
    pub fn has_wants(&self, chosen: impl Fn(Account) -> bool, now: Time) -> bool {
        self.accounts.iter().any(|(account, entry)| chosen(*account) && entry.wanted(now) > 0)
    }

    /// Records an allocator's part of an answer to a message that was sent at `sent_at`. Returns the time after which requests
    /// that still wait would pass, if the quota is used up for longer than they may wait.
    pub fn record(&mut self, part: Part, sent_at: Time, now: Time) -> Option<Duration> {
        let Part { account, tokens, lifetime_ms, verdict, .. } = part;
        let entry = self.accounts.get_mut(&account)?;
        entry.asked = false;
        if tokens > 0 {
            entry.tokens.push_back((tokens, sent_at + Duration::from_millis(lifetime_ms)));
        }
        let wait = match verdict {
            Verdict::All => return None,
            Verdict::NoShare => {
                entry.used_up = Some((now + NO_SHARE_PAUSE, now + NO_SHARE_PAUSE));
                return None;
            }
            Verdict::UsedUp(wait_ms) => Duration::from_millis(wait_ms.into()),
        };
        entry.used_up = Some((now + wait.min(MAX_USED_UP), now + wait));
        Some(wait).filter(|wait| *wait > SHORT_WAIT)
    }

    /// Records that no answer came for these accounts.
    pub fn record_failure(&mut self, wants: &[(Account, u32)]) {
        for (account, _) in wants {
            if let Some(entry) = self.accounts.get_mut(account) {
                entry.asked = false;
            }
        }
    }

    /// Whether any request waits for a token.
    pub fn has_waiting(&self) -> bool {
        self.accounts.values().any(|entry| entry.waiting > 0)
    }

    /// Returns the tokens in stock for an account and its requests per second here.
    pub fn state(&self, account: Account, now: Time) -> (u32, f64) {
        self.accounts.get(&account).map_or((0, 0.0), |entry| (entry.in_stock(now), entry.faded(now)))
    }
}

impl Entry {
    const fn new(now: Time) -> Self {
        Self { tokens: VecDeque::new(), demand: 0.0, seen_at: now, waiting: 0, asked: false, used_up: None }
    }

    /// Counts a request into the demand.
    fn count(&mut self, now: Time) {
        self.demand = self.faded(now) + DEMAND_WINDOW.as_secs_f64().recip();
        self.seen_at = now;
    }

    /// Returns the demand at `now`, in requests per second.
    fn faded(&self, now: Time) -> f64 {
        self.demand * (-now.since(self.seen_at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn in_stock(&self, now: Time) -> u32 {
        self.tokens.iter().filter(|(_, expires)| now < *expires).map(|(tokens, _)| tokens).sum()
    }

    /// Takes the token that expires first; returns when it expires.
    fn take(&mut self, now: Time) -> Option<Time> {
        while self.tokens.front().is_some_and(|(tokens, expires)| *tokens == 0 || *expires <= now) {
            self.tokens.pop_front();
        }
        let (tokens, expires) = self.tokens.front_mut()?;
        *tokens -= 1;
        Some(*expires)
    }

    /// Returns how many tokens to ask for: for the requests that wait, and for those that are expected soon.
    fn wanted(&self, now: Time) -> u32 {
        if self.asked || self.used_up.is_some_and(|(until, _)| now < until) {
            return 0;
        }
        let (stock, demand) = (f64::from(self.in_stock(now)), self.faded(now));
        let is_low = stock < (demand * LOW.as_secs_f64()).floor();
        if self.waiting == 0 && !is_low {
            return 0;
        }
        let ahead = (demand * AHEAD.as_secs_f64() - stock).max(0.0);
        self.waiting + ahead as u32
    }
}
