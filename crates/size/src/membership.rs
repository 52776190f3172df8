//! How membership, and the spread of a policy change, grow with the number of daemons.
//!
//! Time is virtual and messages are passed in memory.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;
use fleet::message::{Message, Record};
use fleet::replica::Version;
use fleet::roster::{Roster, Timeouts};

use crate::probe::{line, nanos, resident};

/// Bytes counted for one message besides its JSON: HTTP, JSON-RPC and packet headers.
///
/// The daemon's example `wire` shows 176 bytes for a request, and 416 for the packets of a connection, half of which
/// count for each of its two messages; the sum is rounded up.
pub const ENVELOPE_BYTES: f64 = 420.0;
/// Time between two exchanges of one daemon.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Length of a step of virtual time.
const STEP: Duration = Duration::from_millis(50);
/// Number of daemons that a daemon sends a newer policy to at once.
const FANOUT: usize = 4;
/// Number of failure domains at the design size.
const DOMAINS: usize = 24;
/// Number of daemons of each failure domain that read the store.
const READERS_PER_DOMAIN: usize = 2;
/// Time between two reads of the store by one daemon.
const READ_INTERVAL: Duration = Duration::from_secs(2);

fn record(number: usize) -> Record {
    let name = format!("entry-{number:05}");
    let peer_address = format!("10.0.{}.{}:7200", number / 250, number % 250);
    let domain = format!("domain-{:02}", number % DOMAINS);
    Record::new(&name, 1_790_000_000_000 + number as u64, &peer_address, &domain)
}

fn roster(number: usize, count: usize) -> Roster {
    let mut roster = Roster::new(record(number), Timeouts { suspect: Duration::from_secs(3) }, number as u64);
    let records = (0..count).filter(|other| *other != number).map(record).collect();
    let message = Message {
        from: record((number + 1) % count),
        version: Version::default(),
        records,
        loads: vec![],
        losses: vec![],
        leaving: vec![],
        rate_limits: Vec::new(),
    };
    roster.merge(&message, Time::ZERO);
    roster
}

/// Simulated daemons, which exchange messages.
struct Fleet {
    rosters: Vec<Roster>,
    /// Position of each daemon by name.
    positions: BTreeMap<String, usize>,
    /// Revision of the policy in force at each daemon.
    revisions: Vec<u64>,
    /// When each daemon starts its next exchange.
    next_exchange: Vec<Time>,
    /// Bytes that each daemon has sent and received.
    bytes: Vec<f64>,
    now: Time,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut rng = fastrand::Rng::with_seed(7);
        let next_exchange =
            (0..count).map(|_| Time::from_micros(rng.u64(..EXCHANGE_INTERVAL.as_micros() as u64))).collect();
        Self {
            rosters: (0..count).map(|number| roster(number, count)).collect(),
            positions: (0..count).map(|number| (record(number).name, number)).collect(),
            revisions: vec![0; count],
            next_exchange,
            bytes: vec![0.0; count],
            now: Time::ZERO,
            rng,
        }
    }

    /// Advances the time by one step and runs the exchanges that are due.
    fn step(&mut self) {
        self.now = self.now + STEP;
        for number in 0..self.rosters.len() {
            if self.next_exchange[number] <= self.now {
                self.next_exchange[number] = self.now + EXCHANGE_INTERVAL;
                let target = self.rosters[number].next_target(self.now);
                let peer = target.and_then(|(name, _)| self.positions.get(&name).copied());
                peer.into_iter().for_each(|peer| self.exchange(number, peer));
            }
        }
    }

    /// Exchanges messages between two daemons; the one with the older policy takes the newer one and pushes it to
    /// others at once.
    fn exchange(&mut self, initiator: usize, peer: usize) {
        let request = self.rosters[initiator].message(self.revisions[initiator], self.now);
        self.rosters[peer].merge(&request, self.now);
        let response = self.rosters[peer].message(self.revisions[peer], self.now);
        self.rosters[initiator].merge(&response, self.now);
        let size = |message: &Message| serde_json::to_vec(message).map_or(0, |text| text.len()) as f64 + ENVELOPE_BYTES;
        let bytes = size(&request) + size(&response);
        self.bytes[initiator] += bytes;
        self.bytes[peer] += bytes;
        let newest = self.revisions[initiator].max(self.revisions[peer]);
        for daemon in [initiator, peer] {
            if self.revisions[daemon] < newest {
                self.revisions[daemon] = newest;
                self.push_policy(daemon);
            }
        }
    }

    /// Pushes a daemon's policy to some random members.
    fn push_policy(&mut self, daemon: usize) {
        for (name, _) in self.rosters[daemon].random_members(FANOUT) {
            if let Some(other) = self.positions.get(&name).copied() {
                self.exchange(daemon, other);
            }
        }
    }

    /// Returns the time until a policy that is written to the store now is in force at all daemons, at most about two
    /// minutes; the readers for which `can_read` holds reach the store.
    fn spread(&mut self, can_read: impl Fn(usize) -> bool) -> Duration {
        let start = self.now;
        let revision = self.revisions.iter().max().copied().unwrap_or(0) + 1;
        let readers: Vec<usize> = (0..self.rosters.len())
            .filter(|daemon| daemon / DOMAINS < READERS_PER_DOMAIN && can_read(*daemon))
            .collect();
        let read_at: Vec<Time> = readers.iter().map(|_| self.now + READ_INTERVAL.mul_f64(self.rng.f64())).collect();
        while self.revisions.iter().any(|known| *known < revision) && self.now.since(start) < Duration::from_mins(2) {
            self.step();
            for (reader, read_at) in readers.iter().zip(&read_at) {
                if *read_at <= self.now && self.revisions[*reader] < revision {
                    self.revisions[*reader] = revision;
                    self.push_policy(*reader);
                }
            }
        }
        self.now.since(start)
    }
}

/// Prints the measurements of membership and of the spread of a policy change.
pub fn run() {
    for count in [7, 150, 500, 1_500] {
        let before = resident();
        let mut own = roster(0, count);
        line("membership, memory", count, resident().saturating_sub(before) as f64 / count as f64, "bytes a member");
        let mut peer = roster(1, count);
        let now = Time::from_millis(5);
        let one_exchange = |_| {
            let message = own.message(1, now);
            peer.merge(&message, now);
            let answer = peer.message(1, now);
            own.merge(&answer, now);
            own.next_target(now)
        };
        line("membership, one exchange at both ends", count, nanos(500, one_exchange) / 1e3, "us");
    }
    for count in [7, 150, 500, 1_500] {
        let mut fleet = Fleet::new(count);
        while fleet.now < Time::from_millis(10_000) {
            fleet.step();
        }
        fleet.bytes.fill(0.0);
        let start = fleet.now;
        while fleet.now.since(start) < Duration::from_secs(20) {
            fleet.step();
        }
        let mean = fleet.bytes.iter().sum::<f64>() / count as f64 / 20.0;
        line("membership, bytes at rest", count, mean, "bytes/s a daemon, both ways");
        let healthy = (0..5).map(|_| fleet.spread(|_| true)).max().unwrap_or_default();
        line("change in force everywhere, healthy", count, healthy.as_secs_f64(), "s, worst of 5");
        let one_domain = (0..5).map(|_| fleet.spread(|daemon| daemon % DOMAINS == 0)).max().unwrap_or_default();
        line("change in force, one domain reads the store", count, one_domain.as_secs_f64(), "s, worst of 5");
    }
}
