//! The shares of a region's grants that several daemons hold never add up to more than one.

use std::collections::BTreeSet;
use std::time::Duration;

use base::time::Time;
use fakes::state::State;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use steer::grant::{LEASE_TTL, Manager, Plan, SLOTS};
use store::{Change, Commit, Lease, key};

const DAEMONS: usize = 4;
const REGION: &str = "r";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Down,
    LoseAnswer,
    Late,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A daemon executes its next operation; it assumes that this many daemons share the region.
    Turn(usize, usize, Fault),
    /// This many seconds pass for all; a daemon without a turn in them is paused.
    Advance(u32),
    DeliverLate(usize),
    Restart(usize),
}

struct Daemon {
    manager: Manager,
    lease: Option<Lease>,
    token: u64,
}

struct World {
    store: State,
    daemons: Vec<Daemon>,
    late: Vec<Vec<Change>>,
    now: Time,
    tokens: u64,
    /// If `false`, daemons use their slots without regard to the end of the lease.
    fenced: bool,
}

impl World {
    fn new(fenced: bool) -> Self {
        let daemon = |token| Daemon { manager: Manager::new(), lease: None, token };
        let daemons = (0..DAEMONS as u64).map(daemon).collect();
        Self { store: State::new(), daemons, late: Vec::new(), now: Time::from_millis(1), tokens: 100, fenced }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Turn(which, live, fault) => self.turn(which, live, fault),
            Event::Advance(seconds) => self.now = self.now + Duration::from_secs(seconds.into()),
            Event::DeliverLate(which) => {
                if let Some(index) = which.checked_rem(self.late.len()) {
                    let changes = self.late.remove(index);
                    self.store.commit(&changes, self.now);
                }
            }
            Event::Restart(which) => {
                self.tokens += 1;
                self.daemons[which] = Daemon { manager: Manager::new(), lease: None, token: self.tokens };
            }
        }
    }

    fn turn(&mut self, which: usize, live: usize, fault: Fault) {
        let now = self.now;
        let plan = self.daemons[which].manager.plan(live, now);
        let lease = self.daemons[which].lease;
        match (plan, lease) {
            (Plan::Wait, _) => {}
            (Plan::CreateLease, _) | (_, None) => {
                if fault == Fault::None {
                    self.daemons[which].lease = Some(self.store.grant(LEASE_TTL, now));
                    self.daemons[which].manager.record_lease(now);
                }
            }
            (Plan::RenewLease, Some(lease)) => match (fault, self.store.renew(lease, now)) {
                (Fault::None, true) => self.daemons[which].manager.record_lease(now),
                (Fault::None, false) => self.daemons[which].manager.record_lease_lost(),
                _ => {}
            },
            (Plan::Acquire(count), Some(lease)) => self.acquire(which, lease, count, fault),
            (Plan::Release(slots), Some(_)) => {
                for (number, _) in &slots {
                    self.daemons[which].manager.record_released(*number);
                }
                let delete = |(number, revision): &(u32, u64)| Change::delete(&key::grant(REGION, *number), *revision);
                self.commit(slots.iter().map(delete).collect(), fault);
            }
        }
    }

    fn acquire(&mut self, which: usize, lease: Lease, count: u32, fault: Fault) {
        if fault == Fault::Down {
            return;
        }
        let prefix = key::grants(REGION);
        let end = format!("{prefix}~");
        let entries = self.store.range(&prefix, Some(&end), self.now);
        let token = format!("{} {}", self.daemons[which].token, lease.0).into_bytes();
        let number = |key: &str| {
            key.rsplit('/').next().and_then(|text| text.parse::<u32>().ok()).expect("slot keys end in numbers")
        };
        let held: BTreeSet<u32> = self.daemons[which].manager.held().collect();
        let known: BTreeSet<u32> = entries.iter().map(|entry| number(&entry.key)).collect();
        let ours = entries.iter().filter(|entry| entry.value == token && !held.contains(&number(&entry.key)));
        let ours = ours.map(|entry| (number(&entry.key), entry.revision));
        let free = (0..SLOTS).filter(|slot| !known.contains(slot)).map(|slot| (slot, 0));
        let wanted: Vec<(u32, u64)> = ours.chain(free).take(count as usize).collect();
        let set = |(slot, expect): &(u32, u64)| {
            Change::set(&key::grant(REGION, *slot), *expect, token.clone()).with_lease(lease)
        };
        let changes: Vec<Change> = wanted.iter().map(set).collect();
        if changes.is_empty() {
            let now = self.now;
            return self.daemons[which].manager.retry_soon(now);
        }
        if let Some(revision) = self.commit(changes, fault) {
            for (slot, _) in wanted {
                self.daemons[which].manager.record_acquired(slot, revision);
            }
        }
    }

    fn commit(&mut self, changes: Vec<Change>, fault: Fault) -> Option<u64> {
        match fault {
            Fault::Down => None,
            Fault::Late => {
                self.late.push(changes);
                None
            }
            Fault::LoseAnswer => {
                self.store.commit(&changes, self.now);
                None
            }
            Fault::None => match self.store.commit(&changes, self.now) {
                Commit::Done(revision) => Some(revision),
                Commit::Conflict => None,
            },
        }
    }

    /// Returns the sum of the shares that the daemons use.
    fn used(&self) -> f64 {
        let share = |daemon: &Daemon| {
            if self.fenced {
                return daemon.manager.share(self.now);
            }
            daemon.manager.held().count() as f64 / f64::from(SLOTS)
        };
        self.daemons.iter().map(share).sum()
    }
}

fn event() -> impl Strategy<Value = Event> {
    let fault = prop_oneof![4 => Just(Fault::None), 1 => Just(Fault::Down), 1 => Just(Fault::LoseAnswer), 1 => Just(Fault::Late)];
    prop_oneof![
        8 => (0..DAEMONS, 1_usize..6, fault).prop_map(|(which, live, fault)| Event::Turn(which, live, fault)),
        4 => prop_oneof![1_u32..60, 60_u32..10_000].prop_map(Event::Advance),
        2 => any::<usize>().prop_map(Event::DeliverLate),
        1 => (0..DAEMONS).prop_map(Event::Restart),
    ]
}

/// Returns the largest sum of shares used at any time in `cases` schedules.
fn max_used(fenced: bool, cases: u32) -> f64 {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let max = std::cell::Cell::new(0.0_f64);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ran = runner.run(&prop::collection::vec(event(), 1..200), |schedule| {
        let mut world = World::new(fenced);
        for event in schedule {
            world.play(event);
            max.set(max.get().max(world.used()));
        }
        Ok(())
    });
    assert!(ran.is_ok(), "{ran:?}");
    max.get()
}

#[test]
fn shares_never_add_up_to_more_than_one() {
    let max = max_used(true, 400);
    assert!(max <= 1.0, "the shares used add up to {max}");
    assert!(max > 0.9, "nearly all grants are used, not only {max}");
}

#[test]
fn the_check_fails_without_fencing() {
    assert!(max_used(false, 400) > 1.0);
}

#[test]
fn an_outage_shorter_than_the_lease_keeps_the_share() {
    let mut world = World::new(true);
    for _ in 0..3 {
        world.play(Event::Turn(0, 1, Fault::None));
    }
    assert!(world.used() > 0.9);
    world.play(Event::Advance(3_600));
    world.play(Event::Turn(0, 1, Fault::Down));
    assert!(world.used() > 0.9, "the share is kept for an hour without the store");
}

#[test]
fn a_new_daemon_gets_its_share_within_seconds() {
    let mut world = World::new(true);
    // The first daemon acquires all slots, since it knows no other; the second one starts a few seconds later.
    for _ in 0..3 {
        world.play(Event::Turn(0, 1, Fault::None));
    }
    for _ in 0..4 {
        world.play(Event::Advance(2));
        world.play(Event::Turn(1, 2, Fault::None));
        world.play(Event::Turn(0, 2, Fault::None));
    }
    let now = world.now;
    assert!((world.daemons[1].manager.share(now) - 0.5).abs() < 0.01);
}
