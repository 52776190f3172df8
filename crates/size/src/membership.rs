//! Slopes of membership and of a change's way through the fleet; virtual time, messages in memory.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;
use fleet::message::{Message, Record, State};
use fleet::roster::{Roster, Timeouts};

use crate::probe::{line, nanos, resident};

/// Bytes counted for one message beside its JSON: HTTP, JSON-RPC and packets.
///
/// The daemon's example `wire` shows 176 for a request and 416 for the packets of a connection, half of which falls
/// to each message; rounded up.
pub const ENVELOPE_BYTES: f64 = 420.0;
/// Time between two exchanges of one daemon.
const EXCHANGE: Duration = Duration::from_secs(1);
/// Steps of virtual time.
const STEP: Duration = Duration::from_millis(50);
/// Daemons told at once of a newer policy.
const FANOUT: usize = 4;
/// Failure domains at the size to design for.
const DOMAINS: usize = 24;
/// Daemons of a failure domain that read the store.
const READERS: usize = 2;
/// Time between two reads.
const READ_EVERY: Duration = Duration::from_secs(2);

fn record(number: usize) -> Record {
    Record {
        name: format!("entry-{number:05}"),
        incarnation: 1_790_000_000_000 + number as u64,
        refutations: 0,
        state: State::Alive,
        peer_address: format!("10.0.{}.{}:7200", number / 250, number % 250),
        domain: format!("domain-{:02}", number % DOMAINS),
        caller_address: String::new(),
    }
}

fn roster(number: usize, count: usize) -> Roster {
    let mut roster = Roster::new(record(number), Timeouts { suspect: Duration::from_secs(3) }, number as u64);
    let records = (0..count).filter(|other| *other != number).map(record).collect();
    let message = Message {
        from: record((number + 1) % count),
        revision: 0,
        records,
        loads: vec![],
        losses: vec![],
        leaving: vec![],
    };
    roster.merge(&message, Time::ZERO);
    roster
}

struct Fleet {
    rosters: Vec<Roster>,
    index: BTreeMap<String, usize>,
    revisions: Vec<u64>,
    next: Vec<Time>,
    bytes: Vec<f64>,
    now: Time,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut rng = fastrand::Rng::with_seed(7);
        let next = (0..count).map(|_| Time::from_micros(rng.u64(..EXCHANGE.as_micros() as u64))).collect();
        Self {
            rosters: (0..count).map(|number| roster(number, count)).collect(),
            index: (0..count).map(|number| (record(number).name, number)).collect(),
            revisions: vec![0; count],
            next,
            bytes: vec![0.0; count],
            now: Time::ZERO,
            rng,
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for number in 0..self.rosters.len() {
            if self.next[number] <= self.now {
                self.next[number] = self.now + EXCHANGE;
                let target = self.rosters[number].next_target(self.now);
                let peer = target.and_then(|(name, _)| self.index.get(&name).copied());
                peer.into_iter().for_each(|peer| self.exchange(number, peer));
            }
        }
    }

    /// One exchange; the newer policy goes over, and its new holder tells others in the next step.
    fn exchange(&mut self, one: usize, other: usize) {
        let there = self.rosters[one].message(self.revisions[one], self.now);
        self.rosters[other].merge(&there, self.now);
        let back = self.rosters[other].message(self.revisions[other], self.now);
        self.rosters[one].merge(&back, self.now);
        let size = |message: &Message| serde_json::to_vec(message).map_or(0, |text| text.len()) as f64 + ENVELOPE_BYTES;
        let bytes = size(&there) + size(&back);
        self.bytes[one] += bytes;
        self.bytes[other] += bytes;
        let newest = self.revisions[one].max(self.revisions[other]);
        for daemon in [one, other] {
            if self.revisions[daemon] < newest {
                self.revisions[daemon] = newest;
                self.tell(daemon);
            }
        }
    }

    fn tell(&mut self, daemon: usize) {
        for (name, _) in self.rosters[daemon].random_members(FANOUT) {
            if let Some(other) = self.index.get(&name).copied() {
                self.exchange(daemon, other);
            }
        }
    }

    /// Time until a policy written now is in force at all daemons for which `reached` holds.
    fn spread(&mut self, reads: impl Fn(usize) -> bool) -> Duration {
        let start = self.now;
        let revision = self.revisions.iter().max().copied().unwrap_or(0) + 1;
        let readers: Vec<usize> =
            (0..self.rosters.len()).filter(|daemon| daemon / DOMAINS < READERS && reads(*daemon)).collect();
        let due: Vec<Time> = readers.iter().map(|_| self.now + READ_EVERY.mul_f64(self.rng.f64())).collect();
        while self.revisions.iter().any(|known| *known < revision) && self.now.since(start) < Duration::from_mins(2) {
            self.step();
            for (reader, due) in readers.iter().zip(&due) {
                if *due <= self.now && self.revisions[*reader] < revision {
                    self.revisions[*reader] = revision;
                    self.tell(*reader);
                }
            }
        }
        self.now.since(start)
    }
}

/// Prints the slopes.
pub fn run() {
    for count in [7, 150, 500, 1_500] {
        let before = resident();
        let mut own = roster(0, count);
        line("membership, memory", count, resident().saturating_sub(before) as f64 / count as f64, "bytes a member");
        let mut peer = roster(1, count);
        let now = Time::from_millis(5);
        let one = |_| {
            let message = own.message(1, now);
            peer.merge(&message, now);
            let answer = peer.message(1, now);
            own.merge(&answer, now);
            own.next_target(now)
        };
        line("membership, one exchange at both ends", count, nanos(500, one) / 1e3, "us");
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
