//! Shares of links and regions that never overlap, even if daemons disagree about the membership.
//!
//! The outgoing links of a region and the spare capacity that it may use elsewhere are divided into [`SLOTS`] equal
//! slots. A slot is a key in the platform's store, created by compare-and-swap and attached to its holder's lease. A
//! holder uses its slots only until a time that is before the end of the lease on any clock. So no two daemons use the
//! same slot, through pauses, partitions and outages. Without the store, holders continue until that time.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;

/// Slots of a region. A daemon needs at least one, so this bounds the entry instances that share links.
pub const SLOTS: u32 = 256;
/// Time to live of a holder's lease: longer than any outage of the store during which daemons must keep their shares.
pub const LEASE_TTL: Duration = Duration::from_hours(2);
/// Fraction of the lease during which slots are used; the rest allows for clocks that run at different speeds.
const USED_FRACTION: f64 = 0.9;
/// Time between renewals of the lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_mins(15);
/// Time between checks whether the daemon holds its fair share of the slots.
pub const REBALANCE_INTERVAL: Duration = Duration::from_secs(30);
/// Time until the next check when slots could not be acquired.
const RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// Fraction of a region's capacity that all other regions together may use.
const REMOTE_FRACTION: f64 = 0.5;
/// Fraction of a link's cap that is granted.
const LINK_FRACTION: f64 = 0.85;

/// How much a daemon may use of another region and of the link to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Maximum number of requests in flight there.
    pub max_requests: u32,
    /// Bytes a second over the link.
    pub bytes_per_second: f64,
}

/// Returns the allowance of a daemon that holds `share` (0 to 1) of its region's grants.
///
/// The other region can run `slots` requests at once and can be used from `sources` regions; the link's cap is `cap`
/// bytes a second. Summed over all daemons, requests stay within half of the slots and bytes below the cap.
pub fn allowance(slots: u32, sources: usize, cap: f64, share: f64) -> Allowance {
    let requests = f64::from(slots) * REMOTE_FRACTION / sources.max(1) as f64 * share;
    Allowance { max_requests: requests.floor() as u32, bytes_per_second: cap * LINK_FRACTION * share }
}

/// The next operation at the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// Nothing is due.
    Wait,
    /// Create a lease.
    CreateLease,
    /// Renew the lease.
    RenewLease,
    /// List the region's slots and acquire this many free ones.
    Acquire(u32),
    /// Release these slots: number and revision of each.
    Release(Vec<(u32, u64)>),
}

/// Manages the slots of one daemon.
#[derive(Debug, Clone)]
pub struct Manager {
    /// Revisions of the slots held, by number.
    held: BTreeMap<u32, u64>,
    /// Whether the daemon has a lease.
    leased: bool,
    /// Until when the slots may be used.
    valid_until: Time,
    renewed_at: Time,
    /// When to compare the slots held with the fair share next.
    next_rebalance: Time,
    /// Entry instances that shared the region at the last comparison.
    live: usize,
}

impl Default for Manager {
    fn default() -> Self {
        Self::new()
    }
}

impl Manager {
    /// Creates a manager without a lease and slots.
    pub const fn new() -> Self {
        Self {
            held: BTreeMap::new(),
            leased: false,
            valid_until: Time::ZERO,
            renewed_at: Time::ZERO,
            next_rebalance: Time::ZERO,
            live: 0,
        }
    }

    /// Returns the share of the region's slots that may be used at `now`, from 0 to 1.
    pub fn share(&self, now: Time) -> f64 {
        if now >= self.valid_until {
            return 0.0;
        }
        self.held.len() as f64 / f64::from(SLOTS)
    }

    /// Returns the numbers of the slots held, whether or not they may still be used.
    pub fn held(&self) -> impl Iterator<Item = u32> + '_ {
        self.held.keys().copied()
    }

    /// Returns the operation due at `now`, with `live` entry instances sharing the region.
    ///
    /// Also drops the slots of a lease that is no longer valid.
    pub fn plan(&mut self, live: usize, now: Time) -> Plan {
        if self.leased && now >= self.valid_until {
            self.record_lease_lost();
        }
        if !self.leased {
            return Plan::CreateLease;
        }
        if now.since(self.renewed_at) >= RENEWAL_INTERVAL {
            return Plan::RenewLease;
        }
        if now < self.next_rebalance && live == self.live {
            return Plan::Wait;
        }
        self.next_rebalance = now + REBALANCE_INTERVAL;
        self.live = live;
        self.balance(live)
    }

    /// Records that a lease was created or renewed; `requested_at` is the time before the call was sent.
    pub fn record_lease(&mut self, requested_at: Time) {
        self.leased = true;
        self.renewed_at = requested_at;
        self.valid_until = self.valid_until.max(requested_at + LEASE_TTL.mul_f64(USED_FRACTION));
    }

    /// Records that the lease expired or was deleted: no slot is held any more.
    pub fn record_lease_lost(&mut self) {
        self.held.clear();
        self.leased = false;
        self.valid_until = Time::ZERO;
        self.next_rebalance = Time::ZERO;
    }

    /// Schedules an early check because slots could not be acquired: another daemon was faster, or still holds too
    /// many.
    pub fn retry_soon(&mut self, now: Time) {
        self.next_rebalance = now + RETRY_INTERVAL;
    }

    /// Records that the store granted slot `number` to this daemon, at `revision`.
    pub fn record_acquired(&mut self, number: u32, revision: u64) {
        if self.leased {
            self.held.insert(number, revision);
        }
    }

    /// Stops using slot `number`; must be called before its key is deleted from the store.
    pub fn record_released(&mut self, number: u32) {
        self.held.remove(&number);
    }

    /// Returns the operation that brings the slots held to the fair share.
    fn balance(&self, live: usize) -> Plan {
        let fair = (SLOTS / live.max(1) as u32).max(1);
        let held = self.held.len() as u32;
        if held < fair {
            return Plan::Acquire(fair - held);
        }
        let excess = (held - fair) as usize;
        if excess == 0 {
            return Plan::Wait;
        }
        Plan::Release(self.held.iter().rev().take(excess).map(|(number, revision)| (*number, *revision)).collect())
    }
}
