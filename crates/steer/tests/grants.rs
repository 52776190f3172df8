//! Grants of one region, held by several daemons, never add up to more than the whole.

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
    /// A daemon looks at its plan; it believes that so many share the region.
    Turn(usize, usize, Fault),
    /// Time passes for all; a daemon that takes no turn in it is paused.
    Pass(u32),
    DeliverLate(usize),
    Restart(usize),
}

struct Daemon {
    keeper: Manager,
    lease: Option<Lease>,
    token: u64,
}

struct World {
    store: State,
    daemons: Vec<Daemon>,
    late: Vec<Vec<Change>>,
    now: Time,
    tokens: u64,
    /// Off: a daemon goes on using its slots for as long as it likes.
    fenced: bool,
}

impl World {
    fn new(fenced: bool) -> Self {
        let daemon = |token| Daemon { keeper: Manager::new(), lease: None, token };
        let daemons = (0..DAEMONS as u64).map(daemon).collect();
        Self { store: State::new(), daemons, late: Vec::new(), now: Time::from_millis(1), tokens: 100, fenced }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Turn(which, live, fault) => self.turn(which, live, fault),
            Event::Pass(seconds) => self.now = self.now + Duration::from_secs(seconds.into()),
            Event::DeliverLate(which) => {
                if let Some(index) = which.checked_rem(self.late.len()) {
                    let changes = self.late.remove(index);
                    self.store.commit(&changes, self.now);
                }
            }
            Event::Restart(which) => {
                self.tokens += 1;
                self.daemons[which] = Daemon { keeper: Manager::new(), lease: None, token: self.tokens };
            }
        }
    }

    fn turn(&mut self, which: usize, live: usize, fault: Fault) {
        let now = self.now;
        let plan = self.daemons[which].keeper.plan(live, now);
        let lease = self.daemons[which].lease;
        match (plan, lease) {
            (Plan::Wait, _) => {}
            (Plan::CreateLease, _) | (_, None) => {
                if fault == Fault::None {
                    self.daemons[which].lease = Some(self.store.grant(LEASE_TTL, now));
                    self.daemons[which].keeper.record_lease(now);
                }
            }
            (Plan::RenewLease, Some(lease)) => match (fault, self.store.renew(lease, now)) {
                (Fault::None, true) => self.daemons[which].keeper.record_lease(now),
                (Fault::None, false) => self.daemons[which].keeper.record_lease_lost(),
                _ => {}
            },
            (Plan::Acquire(count), Some(lease)) => self.take(which, lease, count, fault),
            (Plan::Release(slots), Some(_)) => {
                for (number, _) in &slots {
                    self.daemons[which].keeper.record_released(*number);
                }
                let delete = |(number, revision): &(u32, u64)| Change::delete(&key::grant(REGION, *number), *revision);
                self.commit(slots.iter().map(delete).collect(), fault);
            }
        }
    }

    fn take(&mut self, which: usize, lease: Lease, count: u32, fault: Fault) {
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
        let held: BTreeSet<u32> = self.daemons[which].keeper.held().collect();
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
            return self.daemons[which].keeper.retry_soon(now);
        }
        if let Some(revision) = self.commit(changes, fault) {
            for (slot, _) in wanted {
                self.daemons[which].keeper.record_acquired(slot, revision);
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

    fn used(&self) -> f64 {
        let share = |daemon: &Daemon| {
            if self.fenced {
                return daemon.keeper.share(self.now);
            }
            daemon.keeper.held().count() as f64 / f64::from(SLOTS)
        };
        self.daemons.iter().map(share).sum()
    }
}

fn event() -> impl Strategy<Value = Event> {
    let fault = prop_oneof![4 => Just(Fault::None), 1 => Just(Fault::Down), 1 => Just(Fault::LoseAnswer), 1 => Just(Fault::Late)];
    prop_oneof![
        8 => (0..DAEMONS, 1_usize..6, fault).prop_map(|(which, live, fault)| Event::Turn(which, live, fault)),
        4 => prop_oneof![1_u32..60, 60_u32..10_000].prop_map(Event::Pass),
        2 => any::<usize>().prop_map(Event::DeliverLate),
        1 => (0..DAEMONS).prop_map(Event::Restart),
    ]
}

/// The largest sum of shares seen in `cases` schedules.
fn most_used(fenced: bool, cases: u32) -> f64 {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let most = std::cell::Cell::new(0.0_f64);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ran = runner.run(&prop::collection::vec(event(), 1..200), |schedule| {
        let mut world = World::new(fenced);
        for event in schedule {
            world.play(event);
            most.set(most.get().max(world.used()));
        }
        Ok(())
    });
    assert!(ran.is_ok(), "{ran:?}");
    most.get()
}

#[test]
fn shares_never_pass_the_whole() {
    let most = most_used(true, 400);
    assert!(most <= 1.0, "{most} of the whole was used");
    assert!(most > 0.9, "the whole is put to use, not only {most}");
}

#[test]
fn without_the_fence_the_check_fails() {
    assert!(most_used(false, 400) > 1.0);
}

#[test]
fn an_outage_shorter_than_the_lease_keeps_the_share() {
    let mut world = World::new(true);
    for _ in 0..3 {
        world.play(Event::Turn(0, 1, Fault::None));
    }
    assert!(world.used() > 0.9);
    world.play(Event::Pass(3_600));
    world.play(Event::Turn(0, 1, Fault::Down));
    assert!(world.used() > 0.9, "an hour without the store changes nothing");
}

#[test]
fn a_newcomer_gets_its_part_within_seconds() {
    let mut world = World::new(true);
    // The first takes all, since it knows of nobody else; then the second comes, seconds after the clock started.
    for _ in 0..3 {
        world.play(Event::Turn(0, 1, Fault::None));
    }
    for _ in 0..4 {
        world.play(Event::Pass(2));
        world.play(Event::Turn(1, 2, Fault::None));
        world.play(Event::Turn(0, 2, Fault::None));
    }
    let now = world.now;
    assert!((world.daemons[1].keeper.share(now) - 0.5).abs() < 0.01);
}
