//! Hands out tokens of the quotas whose shares other daemons have lent to this one.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;

use crate::Limit;
use crate::lending::allocator_of;
use crate::message::{Account, Ask, Grant, Member, Part, Stamp, Verdict};

/// Time over which tokens are counted that were granted, and that were not: the latter tell when a further one would be.
const WINDOW: Duration = Duration::from_secs(1);
/// Error of a sum of shares: those of all members add up to one only nearly.
const ROUNDING: f64 = 1e-6;

/// A share that a member has lent.
#[derive(Debug, Clone, PartialEq)]
struct Loan {
    incarnation: u64,
    /// Stamp and number of the message that lent it; later ones replace it.
    order: (Stamp, u64),
    share: f64,
    choices: Vec<Vec<Member>>,
    /// Allocators that hold no loan of the member any more.
    released: Vec<Member>,
    ends_at: Time,
}

/// The tokens of an account.
#[derive(Debug, Clone, PartialEq)]
struct Bucket {
    limit: Limit,
    /// Share of the quota that is lent to this daemon.
    share: f64,
    tokens: f64,
    filled_at: Time,
    /// Tokens that were asked for and not granted, fading over [`WINDOW`].
    unmet: f64,
    /// Tokens that were granted, fading over [`WINDOW`].
    granted: f64,
    /// When the two were last brought up to date.
    faded_at: Time,
}

/// An allocator: the shares lent to this daemon, and the tokens of each account with a quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Allocator {
    own: Member,
    incarnation: u64,
    loans: BTreeMap<Member, Loan>,
    /// The earliest end of a loan; `Time::MAX` without loans.
    next_end: Time,
    buckets: BTreeMap<Account, Bucket>,
    /// Whether it takes no loans any more.
    ended: bool,
}

impl Allocator {
    /// Creates the allocator of the member `own`; `incarnation` is that of its process.
    pub const fn new(own: Member, incarnation: u64) -> Self {
        Self { own, incarnation, loans: BTreeMap::new(), next_end: Time::MAX, buckets: BTreeMap::new(), ended: false }
    }

    /// Sets the quotas in force. A known account keeps its tokens up to the new burst; a new one begins with none.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (Account, Limit)>, now: Time) {
        self.advance(now);
        let mut known = std::mem::take(&mut self.buckets);
        for (account, limit) in limits {
            let new =
                Bucket { limit, share: 0.0, tokens: 0.0, filled_at: now, unmet: 0.0, granted: 0.0, faded_at: now };
            let mut bucket = known.remove(&account).unwrap_or(new);
            bucket.limit = limit;
            bucket.cap();
            self.buckets.insert(account, bucket);
        }
        self.share_out(now);
    }

    /// Applies a message and answers it.
    pub fn answer(&mut self, ask: &Ask, now: Time) -> Grant {
        self.advance(now);
        self.lend(ask, now);
        let parts = ask.wants.iter().map(|(account, tokens)| self.part(*account, *tokens, now)).collect();
        Grant { stamp: self.stamp(now), parts, ended: self.ended }
    }

    /// Ends the allocator, as before a planned stop of its process: it gives up all loans and takes none any more.
    pub fn end(&mut self, now: Time) {
        self.advance(now);
        self.ended = true;
        self.loans.clear();
        self.next_end = Time::MAX;
        self.share_out(now);
    }

    /// Returns the share of an account's quota that is lent to this daemon at `now`.
    pub fn share(&mut self, account: Account, now: Time) -> f64 {
        self.advance(now);
        self.buckets.get(&account).map_or(0.0, |bucket| bucket.share)
    }

    const fn stamp(&self, now: Time) -> Stamp {
        Stamp { incarnation: self.incarnation, micros: now.as_micros() }
    }

    /// Records the share that a message lends, unless the lending is over already or a later message is known.
    fn lend(&mut self, ask: &Ask, now: Time) {
        let Some(stamp) = ask.stamp.filter(|stamp| stamp.incarnation == self.incarnation) else { return };
        let ends_at = Time::from_micros(stamp.micros) + Duration::from_millis(ask.lent_ms);
        if self.ended || ends_at <= now || ask.share <= 0.0 {
            return;
        }
        let order = (stamp, ask.number);
        let known = self.loans.get(&ask.from);
        // Loans of a process that ended before have ended too, since its successor waits for that.
        let is_later = |known: &Loan| known.incarnation != ask.incarnation || known.order < order;
        if !known.is_none_or(is_later) {
            return;
        }
        let changed = known.is_none_or(|known| {
            known.share.to_bits() != ask.share.to_bits()
                || known.choices != ask.choices
                || known.released != ask.released
        });
        let (choices, released) = (ask.choices.clone(), ask.released.clone());
        let loan = Loan { incarnation: ask.incarnation, order, share: ask.share, choices, released, ends_at };
        self.loans.insert(ask.from, loan);
        self.next_end = self.next_end.min(ends_at);
        if changed {
            self.share_out(now);
        }
    }

    /// Brings all tokens up to `now`, and ends the loans that have ended meanwhile, each at its own time.
    fn advance(&mut self, now: Time) {
        while self.next_end <= now {
            let end = self.next_end;
            let before = self.loans.len();
            self.loans.retain(|_, loan| loan.ends_at > end);
            self.next_end = self.loans.values().map(|loan| loan.ends_at).min().unwrap_or(Time::MAX);
            if self.loans.len() < before {
                self.share_out(end);
            }
        }
    }

    /// Computes the share of each account from the loans, as of `now`.
    fn share_out(&mut self, now: Time) {
        let mut by_choices: BTreeMap<(&[Vec<Member>], &[Member]), f64> = BTreeMap::new();
        for loan in self.loans.values() {
            *by_choices.entry((&loan.choices, &loan.released)).or_default() += loan.share;
        }
        for (account, bucket) in &mut self.buckets {
            let is_ours = |(choices, released): (&[Vec<Member>], &[Member])| {
                let holder = |choice: &Vec<Member>| allocator_of(choice, *account);
                let is_free = |holder: Option<Member>| {
                    holder == Some(self.own) || holder.is_some_and(|one| released.contains(&one))
                };
                choices.first().is_some_and(|present| holder(present) == Some(self.own))
                    && choices.iter().skip(1).map(holder).all(is_free)
            };
            let share = by_choices.iter().filter(|(lent, _)| is_ours(**lent)).map(|(_, share)| share).sum();
            bucket.set_share(share, now);
        }
    }

    fn part(&mut self, account: Account, wanted: u32, now: Time) -> Part {
        match self.buckets.get_mut(&account) {
            Some(bucket) if bucket.can_save_up_one() => bucket.part(account, wanted, now),
            _ => Part { account, tokens: 0, lifetime_ms: 0, per_second: 0.0, verdict: Verdict::NoShare },
        }
    }
}

impl Bucket {
    /// Changes the share. What is lent arrives without tokens; what ends takes its part of the tokens with it.
    fn set_share(&mut self, share: f64, now: Time) {
        self.fill(now);
        if share < self.share {
            self.tokens *= share / self.share;
        }
        self.share = share;
        self.cap();
    }

    fn fill(&mut self, now: Time) {
        self.tokens += now.since(self.filled_at).as_secs_f64() * self.limit.rate * self.share;
        self.filled_at = self.filled_at.max(now);
        self.cap();
    }

    fn cap(&mut self) {
        self.tokens = self.tokens.min(self.limit.saved_up() * self.share);
    }

    /// Whether the share is large enough to save up one token.
    fn can_save_up_one(&self) -> bool {
        self.limit.saved_up() * self.share >= 1.0 - ROUNDING
    }

    fn part(&mut self, account: Account, wanted: u32, now: Time) -> Part {
        self.fill(now);
        let granted = wanted.min((self.tokens + ROUNDING) as u32);
        let lifetime_ms = self.limit.token_lifetime().as_millis() as u64;
        self.tokens -= f64::from(granted);
        let faded = (-now.since(self.faded_at).as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.unmet = self.unmet * faded + f64::from(wanted - granted);
        self.granted = self.granted * faded + f64::from(granted);
        self.faded_at = now;
        let per_second = (self.granted / WINDOW.as_secs_f64()) as f32;
        if granted == wanted {
            return Part { account, tokens: granted, lifetime_ms, per_second, verdict: Verdict::All };
        }
        // Those that were refused before come back first.
        let missing = (1.0 - self.tokens).max(0.0) + (self.unmet - 1.0).max(0.0);
        let wait = missing / (self.limit.rate * self.share);
        Part { account, tokens: granted, lifetime_ms, per_second, verdict: Verdict::UsedUp((wait * 1e3) as u32) }
    }
}
