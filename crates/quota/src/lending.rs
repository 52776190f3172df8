//! Lends a daemon's share of the quotas to the accounts' allocators.
//!
//! A share must never be with two allocators at once. Each lending ends by itself, and the lender knows a time by which it
//! has surely ended: the allocator counts the time from its own earlier answer, which the lender had before it sent the
//! message, and the lender counts it from when that answer arrived. So neither clocks that differ nor a message that arrives
//! late make the lending last longer than its lender assumes. An allocator that stops says so, which ends its loans at once.
//! While lendings under an earlier choice of allocators may last, the accounts that this choice and the present one give to
//! different allocators are lent to neither.

use std::collections::BTreeMap;
use std::time::Duration;

use base::hash;
use base::time::Time;

use crate::message::{Account, Ask, Grant, Member, Stamp};

/// Shortest time for which a share is lent. It bounds how long a quota cannot be used after its allocator fails.
const MIN_TERM: Duration = Duration::from_secs(1);
/// Time by which a share is lent longer for each member, so that an allocator's work does not grow with the fleet.
const TERM_PER_MEMBER: Duration = Duration::from_millis(10);
/// Fraction of the time of a lending after which it is renewed.
const RENEWAL: f64 = 0.4;
/// Maximum number of earlier choices that may still be in force; with more, the present choice stays.
const MAX_EARLIER: usize = 4;

/// Returns the allocator that a choice gives to an account; `None` if the choice is empty.
pub fn allocator_of(choice: &[Member], account: Account) -> Option<Member> {
    choice.iter().copied().max_by_key(|member| (hash::combine(account, *member), *member))
}

/// Returns for how long a member of a fleet of `members` lends its share.
pub fn term(members: usize) -> Duration {
    MIN_TERM.max(TERM_PER_MEMBER * members as u32)
}

/// An earlier choice, and when the last lending under it has surely ended.
#[derive(Debug, Clone, PartialEq)]
struct Earlier {
    choice: Vec<Member>,
    ends_at: Time,
}

/// What the lender knows of one allocator.
#[derive(Debug, Clone, PartialEq, Default)]
struct Contact {
    /// The stamp of its last answer, and when that arrived.
    stamp: Option<(Stamp, Time)>,
    /// Number of the last message.
    number: u64,
    /// When the last message was sent that it has answered; `None` before.
    confirmed_at: Option<Time>,
    /// The process that has said that it holds and takes no loans any more.
    ended: Option<u64>,
}

/// A daemon's side of the lending.
#[derive(Debug, Clone, PartialEq)]
pub struct Lender {
    own: Member,
    incarnation: u64,
    /// The daemon's share of each quota, as a fraction of all.
    share: f64,
    term: Duration,
    /// Nothing is lent before this time: the process that ran before under the same name may have lent the share.
    starts_at: Time,
    choice: Vec<Member>,
    /// When the last lending under the present choice has surely ended.
    ends_at: Time,
    earlier: Vec<Earlier>,
    contacts: BTreeMap<Member, Contact>,
}

impl Lender {
    /// Creates the lender of the member `own`, whose process `incarnation` starts at `now`. It has no share yet.
    pub fn new(own: Member, incarnation: u64, now: Time) -> Self {
        Self {
            own,
            incarnation,
            share: 0.0,
            term: MIN_TERM,
            starts_at: now + MIN_TERM,
            choice: Vec::new(),
            ends_at: Time::ZERO,
            earlier: Vec::new(),
            contacts: BTreeMap::new(),
        }
    }

    /// Sets the daemon's share in a fleet of `members`; zero while it cannot know how many there are.
    pub fn set_share(&mut self, share: f64, members: usize) {
        let term = term(members);
        if term > self.term {
            // An earlier process of a large fleet may have lent the share for longer than was assumed at the start.
            self.starts_at = self.starts_at + term.saturating_sub(self.term);
        }
        self.share = share;
        self.term = term;
    }

    /// Returns the daemon's share of each quota.
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Chooses the allocators. If lendings under too many earlier choices may last, the present choice stays.
    pub fn choose(&mut self, choice: &[Member], now: Time) {
        self.earlier.retain(|earlier| now < earlier.ends_at);
        if self.choice == choice || self.earlier.len() >= MAX_EARLIER {
            return;
        }
        let before = std::mem::replace(&mut self.choice, choice.to_vec());
        if now < self.ends_at {
            self.earlier.push(Earlier { choice: before, ends_at: self.ends_at });
        }
        self.ends_at = Time::ZERO;
    }

    /// Returns the present choice of allocators.
    pub fn choice(&self) -> &[Member] {
        &self.choice
    }

    /// Returns the allocator of an account; `None` if there is none, or while an earlier one may still hold the share.
    pub fn allocator_of(&self, account: Account) -> Option<Member> {
        allocator_of(&self.choice, account)
    }

    /// Returns when `allocator` is due for a message although no tokens are needed.
    pub fn renewal_at(&self, allocator: Member) -> Time {
        let confirmed_at = self.contacts.get(&allocator).and_then(|contact| contact.confirmed_at);
        confirmed_at.map_or(Time::ZERO, |at| at + self.term.mul_f64(RENEWAL))
    }

    /// Creates the next message to `allocator`, which lends it the share. The message must be sent at `now`.
    pub fn ask(&mut self, allocator: Member, wants: Vec<(Account, u32)>, now: Time) -> Ask {
        self.earlier.retain(|earlier| now < earlier.ends_at);
        let contact = self.contacts.entry(allocator).or_default();
        contact.number += 1;
        let stamp = contact.stamp.filter(|_| self.share > 0.0 && now >= self.starts_at);
        if let Some((_, arrived_at)) = stamp {
            self.ends_at = self.ends_at.max(arrived_at + self.term);
        }
        let earlier = self.earlier.iter().map(|earlier| earlier.choice.clone());
        Ask {
            from: self.own,
            incarnation: self.incarnation,
            number: contact.number,
            share: if stamp.is_some() { self.share } else { 0.0 },
            lent_ms: self.term.as_millis() as u64,
            choices: std::iter::once(self.choice.clone()).chain(earlier).collect(),
            released: self.released(),
            stamp: stamp.map(|(stamp, _)| stamp),
            wants,
        }
    }

    /// Records the answer of `allocator`, which arrives at `now`, to the message that was sent at `sent_at`.
    pub fn record(&mut self, allocator: Member, grant: &Grant, sent_at: Time, now: Time) {
        let contact = self.contacts.entry(allocator).or_default();
        contact.confirmed_at = contact.confirmed_at.max(Some(sent_at));
        let is_new = |(known, _): (Stamp, Time)| known.incarnation != grant.stamp.incarnation || known < grant.stamp;
        if contact.stamp.is_none_or(is_new) {
            contact.stamp = Some((grant.stamp, now));
            contact.ended = grant.ended.then_some(grant.stamp.incarnation);
        }
    }

    /// Returns the allocators of earlier choices whose present process holds no loan any more.
    fn released(&self) -> Vec<Member> {
        let earlier = self.earlier.iter().flat_map(|earlier| &earlier.choice).copied();
        let has_ended = |member: &Member| {
            let contact = self.contacts.get(member);
            contact.is_some_and(|contact| contact.ended.is_some())
        };
        let mut released: Vec<Member> = earlier.filter(has_ended).collect();
        released.sort_unstable();
        released.dedup();
        released
    }
}
