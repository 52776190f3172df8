//! Shares of quotas: never with two allocators at once, in any order of what can happen to three instances.

use std::collections::BTreeSet;
use std::time::Duration;

use base::hash;
use base::time::Time;
use quota::lending::allocator_of;
use quota::message::{Account, Ask, Grant, Member};
use quota::{Allocator, Lender, Limit};

const LENDER: Member = 1;
const ALLOCATORS: [Member; 2] = [2, 3];
/// Time that passes between two events; a loan lasts for two of them.
const STEP: Duration = Duration::from_millis(500);
/// Number of events in a row that the search tries.
const DEPTH: u32 = 7;
/// Number of messages that may be on their way at once, also such as were delivered already and may arrive again.
const MAX_IN_FLIGHT: usize = 2;

/// What can happen next.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Time passes.
    Tick,
    /// The lender asks an allocator, by position, and the answer arrives at once.
    Exchange(usize),
    /// The lender asks an allocator, and the message is on its way.
    Send(usize),
    /// A message arrives, by position; it may arrive again.
    Deliver(usize),
    /// A message is lost.
    Lose(usize),
    /// The lender chooses allocators, as a set of positions.
    Choose(usize),
    /// The lender's process ends and another one starts under its name.
    RestartLender,
    /// An allocator's process ends and another one starts under its name.
    RestartAllocator(usize),
    /// An allocator stops as planned.
    End(usize),
}

#[derive(Debug, Clone)]
enum Message {
    Ask(usize, Ask, Time),
    Grant(usize, Grant, Time),
}

#[derive(Debug, Clone)]
struct World {
    now: Time,
    lender: Lender,
    allocators: [Allocator; 2],
    /// When each allocator's clock was zero: each process has a clock of its own.
    clocks: [Time; 2],
    in_flight: Vec<Message>,
    /// Number of restarts and planned stops that may still happen.
    failures_left: u32,
    incarnation: u64,
}

/// An account of each allocator if both are chosen.
fn accounts() -> [Account; 2] {
    ALLOCATORS.map(|allocator| {
        (1..1_000).find(|account| allocator_of(&ALLOCATORS, *account) == Some(allocator)).expect("one of them has it")
    })
}

fn allocator(position: usize, incarnation: u64, now: Time) -> Allocator {
    let mut allocator = Allocator::new(ALLOCATORS[position], incarnation);
    allocator.set_limits(accounts().map(|account| (account, Limit { rate: 10.0, burst: 10.0 })), now);
    allocator
}

impl World {
    fn new() -> Self {
        let start = Time::from_millis(1_000);
        let mut lender = Lender::new(LENDER, 1, start);
        lender.set_share(1.0, 3);
        lender.choose(&ALLOCATORS, start);
        let now = start + Duration::from_secs(2);
        let allocators = [allocator(0, 2, now), allocator(1, 3, now)];
        let clocks = [Time::ZERO; 2];
        let mut world =
            Self { now, lender, allocators, clocks, in_flight: Vec::new(), failures_left: 1, incarnation: 4 };
        // The share is lent by the second message, which has a stamp.
        [0, 1, 0, 1].into_iter().for_each(|position| world.apply(Event::Exchange(position)));
        world
    }

    fn events(&self) -> Vec<Event> {
        let mut events = vec![Event::Tick, Event::Exchange(0), Event::Exchange(1)];
        if self.in_flight.len() < MAX_IN_FLIGHT {
            events.extend([Event::Send(0), Event::Send(1)]);
        }
        events.extend((0..self.in_flight.len()).flat_map(|index| [Event::Deliver(index), Event::Lose(index)]));
        events.extend((1..4).map(Event::Choose));
        if self.failures_left > 0 {
            events.extend([Event::RestartLender, Event::RestartAllocator(0), Event::End(0)]);
        }
        events
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick => self.now = now + STEP,
            Event::Exchange(with) => {
                let ask = self.lender.ask(ALLOCATORS[with], Vec::new(), now);
                let grant = self.answer(with, &ask);
                self.lender.record(ALLOCATORS[with], &grant, now, now);
            }
            Event::Send(to) => {
                let ask = self.lender.ask(ALLOCATORS[to], Vec::new(), now);
                self.in_flight.push(Message::Ask(to, ask, now));
            }
            Event::Deliver(index) => match self.in_flight[index].clone() {
                Message::Ask(to, ask, sent_at) => {
                    let grant = self.answer(to, &ask);
                    if self.in_flight.len() < MAX_IN_FLIGHT {
                        self.in_flight.push(Message::Grant(to, grant, sent_at));
                    } else {
                        self.in_flight[index] = Message::Grant(to, grant, sent_at);
                    }
                }
                Message::Grant(from, grant, sent_at) => self.lender.record(ALLOCATORS[from], &grant, sent_at, now),
            },
            Event::Lose(index) => drop(self.in_flight.remove(index)),
            Event::Choose(set) => {
                let choice: Vec<Member> = ALLOCATORS
                    .into_iter()
                    .enumerate()
                    .filter(|(bit, _)| set >> bit & 1 == 1)
                    .map(|(_, one)| one)
                    .collect();
                self.lender.choose(&choice, now);
            }
            Event::RestartLender => {
                self.fail();
                let choice = self.lender.choice().to_vec();
                self.lender = Lender::new(LENDER, self.incarnation, now);
                self.lender.set_share(1.0, 3);
                self.lender.choose(&choice, now);
                // What the ended process was sent reaches nobody; what it sent may still arrive.
                self.in_flight.retain(|message| matches!(message, Message::Ask(..)));
            }
            Event::RestartAllocator(position) => {
                self.fail();
                self.clocks[position] = Time::ZERO + now.since(Time::from_millis(1_000));
                self.allocators[position] = allocator(position, self.incarnation, self.clock(position));
            }
            Event::End(position) => {
                self.fail();
                let at = self.clock(position);
                self.allocators[position].end(at);
            }
        }
    }

    /// The time of an allocator's clock.
    fn clock(&self, position: usize) -> Time {
        Time::ZERO + self.now.since(self.clocks[position])
    }

    fn answer(&mut self, position: usize, ask: &Ask) -> Grant {
        let at = self.clock(position);
        self.allocators[position].answer(ask, at)
    }

    fn fail(&mut self) {
        self.failures_left -= 1;
        self.incarnation += 1;
    }

    /// The share of each account that both allocators hold together.
    fn shares(&mut self) -> [f64; 2] {
        let clocks = [self.clock(0), self.clock(1)];
        let held = |account| self.allocators.iter_mut().zip(clocks).map(|(one, at)| one.share(account, at)).sum();
        accounts().map(held)
    }
}

/// Tries all events after each other, up to `depth`; each state is searched once.
fn search(world: &World, depth: u32, path: &mut Vec<Event>, seen: &mut BTreeSet<(u32, u64)>) {
    if depth == 0 || !seen.insert((depth, hash::bytes(format!("{world:?}").as_bytes()))) {
        return;
    }
    for event in world.events() {
        let mut next = world.clone();
        next.apply(event);
        path.push(event);
        let shares = next.shares();
        assert!(shares.iter().all(|share| *share <= 1.0), "{shares:?} of a quota are lent after {path:?}");
        search(&next, depth - 1, path, seen);
        path.pop();
    }
}

/// Guards against a quota that can be spent twice, because a share is with two allocators: after messages that are lost, late
/// or repeated, a change of the choice, a restart or a planned stop, in every order.
#[test]
fn a_share_is_never_with_two_allocators() {
    let mut seen = BTreeSet::new();
    search(&World::new(), DEPTH, &mut Vec::new(), &mut seen);
    assert!(seen.len() > 10_000, "the search went through {} states", seen.len());
}

/// Guards against a search that finds nothing because nothing is ever lent.
#[test]
fn a_share_is_lent_to_the_allocator_of_each_account() {
    let mut world = World::new();
    assert!(world.shares().iter().all(|share| (share - 1.0).abs() < 1e-9));
    let now = world.now;
    let [first, second] = accounts();
    assert!((world.allocators[0].share(first, now) - 1.0).abs() < 1e-9);
    assert!((world.allocators[1].share(second, now) - 1.0).abs() < 1e-9);
}
