//! Shares of links and regions that hold whatever two daemons believe.
//!
//! The outgoing links of a region and the spare capacity it may use elsewhere are cut into [`SLOTS`] equal
//! slots. A slot is a key of the platform's store, made by compare-and-swap and hung on its holder's lease. A
//! holder uses its slots only up to a time that lies before the lease's end on any clock, so no two daemons use
//! one slot, through pauses, partitions and outages. With the store gone, holders go on until that time.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;

/// Slots of a region; a daemon at most needs one, so this bounds the entry instances that share links.
pub const SLOTS: u32 = 256;
/// Time to live of a holder's lease: longer than an outage of the store that we go on through.
pub const LEASE_TTL: Duration = Duration::from_hours(2);
/// Part of the lease in which slots are used; the rest covers clocks that run at different speeds.
const USED_PART: f64 = 0.9;
/// Time between renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_mins(15);
/// Time between looks for a fairer part.
pub const REBALANCE_INTERVAL: Duration = Duration::from_secs(30);
/// Time until the next look when the last one did not give what was wanted.
const RETRY: Duration = Duration::from_secs(4);

/// Part of a region's slots that other regions may use, all together.
const REMOTE_PART: f64 = 0.5;
/// Part of a link's cap that is handed out.
const LINK_PART: f64 = 0.85;

/// What a daemon may use of another region and of the link to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Requests in flight there at most.
    pub max_requests: u32,
    /// Bytes a second over the link.
    pub bytes_per_second: f64,
}

/// The allowance of a daemon that holds `share` of its region's grants.
///
/// The other region has `slots`, may be used from `sources` regions, and the link's cap is `cap` bytes a second.
/// Summed over all daemons, requests stay within half of the slots and bytes below the cap.
pub fn allowance(slots: u32, sources: usize, cap: f64, share: f64) -> Allowance {
    let requests = f64::from(slots) * REMOTE_PART / sources.max(1) as f64 * share;
    Allowance { max_requests: requests.floor() as u32, bytes_per_second: cap * LINK_PART * share }
}

/// What a keeper wants done at the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// Nothing now.
    Wait,
    /// Make a lease.
    CreateLease,
    /// Renew the lease.
    RenewLease,
    /// List the region's slots and take so many free ones.
    Acquire(u32),
    /// Give back these slots, by number with their revisions.
    Release(Vec<(u32, u64)>),
}

/// Looks after one daemon's slots.
#[derive(Debug, Clone)]
pub struct Manager {
    held: BTreeMap<u32, u64>,
    leased: bool,
    valid_until: Time,
    renewed: Time,
    /// When to look for a fairer part next.
    next_review: Time,
    /// Entry instances that shared the region at the last look.
    live: usize,
}

impl Default for Manager {
    fn default() -> Self {
        Self::new()
    }
}

impl Manager {
    /// A keeper that holds nothing.
    pub const fn new() -> Self {
        Self {
            held: BTreeMap::new(),
            leased: false,
            valid_until: Time::ZERO,
            renewed: Time::ZERO,
            next_review: Time::ZERO,
            live: 0,
        }
    }

    /// The part of the whole that may be used at `now`, from zero to one.
    pub fn share(&self, now: Time) -> f64 {
        if now >= self.valid_until {
            return 0.0;
        }
        self.held.len() as f64 / f64::from(SLOTS)
    }

    /// Slots held, in use or not.
    pub fn held(&self) -> impl Iterator<Item = u32> + '_ {
        self.held.keys().copied()
    }

    /// What to do at `now`, with `live` entry instances sharing the region.
    pub fn plan(&mut self, live: usize, now: Time) -> Plan {
        if self.leased && now >= self.valid_until {
            self.record_lease_lost();
        }
        if !self.leased {
            return Plan::CreateLease;
        }
        if now.since(self.renewed) >= RENEWAL_INTERVAL {
            return Plan::RenewLease;
        }
        if now < self.next_review && live == self.live {
            return Plan::Wait;
        }
        self.next_review = now + REBALANCE_INTERVAL;
        self.live = live;
        self.balance(live)
    }

    /// A lease was made or renewed; `asked` is the time before the call was sent.
    pub fn record_lease(&mut self, asked: Time) {
        self.leased = true;
        self.renewed = asked;
        self.valid_until = self.valid_until.max(asked + LEASE_TTL.mul_f64(USED_PART));
    }

    /// The lease is gone: nothing is held.
    pub fn record_lease_lost(&mut self) {
        self.held.clear();
        self.leased = false;
        self.valid_until = Time::ZERO;
        self.next_review = Time::ZERO;
    }

    /// The last look did not give what was wanted: another daemon was faster, or holds too much yet.
    pub fn retry_soon(&mut self, now: Time) {
        self.next_review = now + RETRY;
    }

    /// The store says that slot `number` is ours, at `revision`.
    pub fn record_acquired(&mut self, number: u32, revision: u64) {
        if self.leased {
            self.held.insert(number, revision);
        }
    }

    /// Stops using slot `number`; called before the store is told.
    pub fn record_released(&mut self, number: u32) {
        self.held.remove(&number);
    }

    fn balance(&self, live: usize) -> Plan {
        let fair = (SLOTS / live.max(1) as u32).max(1);
        let held = self.held.len() as u32;
        if held < fair {
            return Plan::Acquire(fair - held);
        }
        let extra = (held - fair) as usize;
        if extra == 0 {
            return Plan::Wait;
        }
        Plan::Release(self.held.iter().rev().take(extra).map(|(number, revision)| (*number, *revision)).collect())
    }
}
