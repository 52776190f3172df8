//! Quotas in fleets of instances whose views differ: the sum over all of them, and how much of a quota can be used.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use base::time::Time;
use fastrand::Rng;
use quota::message::{Ask, Grant, Member, Part, Verdict};
use quota::stock::Admission;
use quota::{Allocator, Lender, Limit, Stock};
use rstest::rstest;

const ACCOUNT: u64 = 77;
const TICK: Duration = Duration::from_millis(5);
const START: Time = Time::from_millis(1_000);
/// Number of allocators that instances choose.
const ALLOCATORS: usize = 3;
/// Longest time for which a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// How messages travel.
#[derive(Debug, Clone, Copy)]
struct Network {
    /// Probability that a message is lost.
    loss: f64,
    /// Probability that a message arrives seconds late.
    late: f64,
    /// Probability that a message arrives twice.
    repeat: f64,
}

const CALM: Network = Network { loss: 0.0, late: 0.0, repeat: 0.0 };
const ROUGH: Network = Network { loss: 0.15, late: 0.05, repeat: 0.05 };

struct Instance {
    lender: Lender,
    allocator: Allocator,
    stock: Stock,
    /// When calls in progress are given up, by allocator.
    busy: BTreeMap<Member, Time>,
    /// When requests that wait arrived.
    waiting: Vec<Time>,
    is_up: bool,
}

#[derive(Debug, Clone, PartialEq)]
enum Message {
    Ask(usize, usize, Ask, Time),
    Grant(usize, usize, Grant, Time),
}

struct Fleet {
    limit: Limit,
    network: Network,
    instances: Vec<Instance>,
    messages: BTreeMap<u64, Message>,
    arrivals: BinaryHeap<Reverse<(Time, u64)>>,
    /// Sets of instances that cannot reach each other, by instance.
    side: Vec<u8>,
    now: Time,
    rng: Rng,
    next: u64,
    /// When each request was admitted.
    admitted: Vec<Time>,
}

impl Fleet {
    fn new(size: usize, limit: Limit, network: Network, seed: u64) -> Self {
        let mut fleet = Self {
            limit,
            network,
            instances: Vec::new(),
            messages: BTreeMap::new(),
            arrivals: BinaryHeap::new(),
            side: vec![0; size],
            now: START,
            rng: Rng::with_seed(seed),
            next: 0,
            admitted: Vec::new(),
        };
        for index in 0..size {
            let instance = fleet.start(index, size);
            fleet.instances.push(instance);
        }
        fleet
    }

    fn start(&mut self, index: usize, size: usize) -> Instance {
        self.next += 1;
        let mut lender = Lender::new(index as Member, self.next, self.now);
        lender.set_share(1.0 / size as f64, size);
        let mut allocator = Allocator::new(index as Member, self.next);
        allocator.set_limits([(ACCOUNT, self.limit)], self.now);
        Instance { lender, allocator, stock: Stock::new(), busy: BTreeMap::new(), waiting: Vec::new(), is_up: true }
    }

    fn restart(&mut self, index: usize) {
        let instance = self.start(index, self.instances.len());
        self.instances[index] = instance;
    }

    /// The allocators that an instance chooses: the first ones that it holds for alive. Now and then it is wrong.
    fn choice(&mut self, index: usize, wrong: f64) -> Vec<Member> {
        let reachable = |other: &usize| self.side[*other] == self.side[index] && self.instances[*other].is_up;
        let mut live: Vec<usize> = (0..self.instances.len()).filter(reachable).collect();
        if self.rng.f64() < wrong {
            live.remove(self.rng.usize(..live.len()));
        }
        live.into_iter().take(ALLOCATORS).map(|one| one as Member).collect()
    }

    fn send(&mut self, message: &Message) {
        let copies = if self.rng.f64() < self.network.repeat { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.f64() < self.network.loss {
                continue;
            }
            let late = if self.rng.f64() < self.network.late { self.rng.u64(..4_000) } else { 0 };
            let delay = Duration::from_millis(1 + self.rng.u64(..25) + late);
            self.next += 1;
            self.messages.insert(self.next, message.clone());
            self.arrivals.push(Reverse((self.now + delay, self.next)));
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, number))) = self.arrivals.peek().copied()
            && at <= self.now
        {
            self.arrivals.pop();
            let Some(message) = self.messages.remove(&number) else { continue };
            match message {
                Message::Ask(from, to, ask, sent_at) => {
                    if self.instances[to].is_up && self.side[from] == self.side[to] {
                        let grant = self.instances[to].allocator.answer(&ask, self.now);
                        self.send(&Message::Grant(to, from, grant, sent_at));
                    }
                }
                Message::Grant(from, to, grant, sent_at) => self.receive(from, to, &grant, sent_at),
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, grant: &Grant, sent_at: Time) {
        let instance = &mut self.instances[to];
        // An answer after the end of its call reaches nobody.
        if !instance.is_up || instance.busy.remove(&(from as Member)).is_none() {
            return;
        }
        instance.lender.record(from as Member, grant, sent_at, self.now);
        for part in &grant.parts {
            let used_up = instance.stock.record(*part, sent_at, self.now);
            while instance.stock.take_waiting(ACCOUNT, self.now).is_some() {
                instance.waiting.remove(0);
                self.admitted.push(self.now);
            }
            if used_up.is_some() {
                instance.waiting.drain(..).for_each(|_| instance.stock.stop_waiting(ACCOUNT));
            }
        }
    }

    fn request(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        match instance.stock.admit(ACCOUNT, self.now) {
            Admission::Granted(_) => self.admitted.push(self.now),
            Admission::Pending => instance.waiting.push(self.now),
            Admission::UsedUp(_) => {}
        }
    }

    /// Sends the messages of one instance that are due.
    fn exchange(&mut self, index: usize) {
        let now = self.now;
        let mut due = Vec::new();
        let instance = &mut self.instances[index];
        instance.busy.retain(|_, until| now < *until);
        let expired = instance.waiting.iter().filter(|since| now.since(**since) > MAX_WAIT).count();
        instance.waiting.drain(..expired).for_each(|_| instance.stock.stop_waiting(ACCOUNT));
        for member in instance.lender.choice().to_vec() {
            let chosen = |account| instance.lender.allocator_of(account) == Some(member);
            let is_due = now >= instance.lender.renewal_at(member) || instance.stock.has_wants(chosen, now);
            if is_due && !instance.busy.contains_key(&member) {
                let wants = instance.stock.wants(chosen, now);
                instance.busy.insert(member, now + Duration::from_millis(300));
                due.push((member, instance.lender.ask(member, wants, now)));
            }
        }
        for (member, ask) in due {
            self.send(&Message::Ask(index, member as usize, ask, now));
        }
    }

    /// Runs for `time` with `per_second` requests at each instance of `demand`; views are wrong with probability `wrong`.
    fn run(&mut self, time: Duration, demand: &[usize], per_second: f64, wrong: f64) {
        let end = self.now + time;
        let mut ticks = 0_u32;
        while self.now < end {
            self.now = self.now + TICK;
            ticks += 1;
            self.deliver();
            for index in demand {
                if self.instances[*index].is_up && self.rng.f64() < per_second * TICK.as_secs_f64() {
                    self.request(*index);
                }
            }
            for index in 0..self.instances.len() {
                if !self.instances[index].is_up {
                    continue;
                }
                if ticks.is_multiple_of(20) {
                    let (choice, now) = (self.choice(index, wrong), self.now);
                    self.instances[index].lender.choose(&choice, now);
                }
                self.exchange(index);
            }
        }
    }

    /// Fails if more requests were admitted in any span of `window` than the account may send.
    fn check(&self, window: Duration) {
        let allowed = self.limit.rate * window.as_secs_f64() + self.limit.burst;
        let mut first = 0;
        for (last, at) in self.admitted.iter().enumerate() {
            while at.since(self.admitted[first]) > window {
                first += 1;
            }
            let count = last - first + 1;
            assert!(
                count as f64 <= allowed + 1e-6,
                "{count} requests within {window:?} before {at:?}, {allowed} allowed"
            );
        }
    }

    /// The requests that were admitted from `from` on, as a fraction of what the rate allows.
    fn used(&self, from: Time) -> f64 {
        let admitted = self.admitted.iter().filter(|at| **at >= from).count();
        admitted as f64 / (self.limit.rate * self.now.since(from).as_secs_f64())
    }
}

/// Load: an account sends three times its quota, through one instance, through three, or evenly through all. Equal parts would
/// waste most of the quota in the first two cases.
#[rstest]
fn nine_tenths_of_a_quota_can_be_used_wherever_its_demand_is(
    #[values(7, 34, 125)] size: usize,
    #[values(1, 3, 125)] instances: usize,
    #[values(20.0, 200.0)] rate: f64,
) {
    let mut fleet = Fleet::new(size, Limit { rate, burst: rate }, CALM, 5);
    let demand: Vec<usize> = (0..size).rev().take(instances).collect();
    fleet.run(Duration::from_secs(4), &[], 0.0, 0.0);
    let from = fleet.now;
    fleet.run(Duration::from_secs(12), &demand, 3.0 * rate / demand.len() as f64, 0.0);
    [1, 5].into_iter().for_each(|window| fleet.check(Duration::from_secs(window)));
    let used = fleet.used(from);
    assert!(used >= 0.9, "{used} of the quota were used");
}

/// Load: an account sends four times its quota while instances are killed and restarted, parts of the fleet are cut off from
/// each other, messages are lost, late and repeated, and views of who is alive differ.
#[rstest]
fn the_sum_stays_under_a_quota_while_instances_fail(
    #[values(7, 34, 125)] size: usize,
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(20.0, 200.0)] rate: f64,
) {
    let mut fleet = Fleet::new(size, Limit { rate, burst: rate }, ROUGH, seed);
    let demand: Vec<usize> = (0..size).collect();
    for _ in 0..24 {
        for _ in 0..=size / 10 {
            let index = fleet.rng.usize(..size);
            match fleet.rng.u32(..6) {
                0 => fleet.instances[index].is_up = false,
                1 | 2 => fleet.restart(index),
                3 => fleet.side[index] = fleet.rng.u8(..3),
                4 => fleet.side.fill(0),
                _ => {
                    let now = fleet.now;
                    fleet.instances[index].allocator.end(now);
                }
            }
        }
        fleet.run(Duration::from_millis(500), &demand, 4.0 * rate / size as f64, 0.1);
    }
    fleet.side.fill(0);
    fleet.network = CALM;
    (0..size).for_each(|index| fleet.restart(index));
    let calm = fleet.now + Duration::from_secs(6);
    fleet.run(Duration::from_secs(10), &demand, 4.0 * rate / size as f64, 0.0);
    [1, 5].into_iter().for_each(|window| fleet.check(Duration::from_secs(window)));
    let used = fleet.used(calm);
    assert!(used >= 0.9, "{used} of the quota were used once nothing failed any more");
}

/// Load: a region with a third of the instances is cut off for good. It keeps its part of the quota, and the others theirs.
#[test]
fn both_sides_of_a_cut_keep_their_parts() {
    let mut fleet = Fleet::new(34, Limit { rate: 200.0, burst: 200.0 }, CALM, 3);
    fleet.run(Duration::from_secs(4), &[], 0.0, 0.0);
    (0..11).for_each(|index| fleet.side[index] = 1);
    let cut = fleet.now;
    fleet.run(Duration::from_secs(4), &(0..34).collect::<Vec<_>>(), 20.0, 0.0);
    let before = fleet.admitted.len();
    fleet.run(Duration::from_secs(6), &(0..11).collect::<Vec<_>>(), 40.0, 0.0);
    let admitted = (fleet.admitted.len() - before) as f64;
    let part = 11.0 / 34.0;
    let (least, most) = (0.9 * 200.0 * 6.0 * part, (200.0 * 6.0 + 200.0) * part);
    assert!(
        (least..=most).contains(&admitted),
        "{admitted} requests on the smaller side, {least} to {most} are its part"
    );
    fleet.check(Duration::from_secs(5));
    assert!(fleet.used(cut) <= 1.1);
}

/// Guards against a token that outlives its expiry because its request waited and did not run: the allocator has granted its
/// place in the quota again by then.
#[test]
fn a_token_that_is_given_back_keeps_its_expiry() {
    let mut stock = Stock::new();
    let at = |millis| START + Duration::from_millis(millis);
    let part =
        |tokens, lifetime_ms| Part { account: ACCOUNT, tokens, lifetime_ms, per_second: 1.0, verdict: Verdict::All };
    assert_eq!(stock.admit(ACCOUNT, START), Admission::Pending);
    stock.stop_waiting(ACCOUNT);
    stock.record(part(1, 1_000), START, START);
    let Admission::Granted(expires) = stock.admit(ACCOUNT, at(10)) else { panic!("a token is in stock") };
    assert_eq!(expires, at(1_000));
    stock.record(part(1, 2_000), START, at(900));
    stock.give_back(ACCOUNT, expires, at(1_100));
    assert_eq!(stock.state(ACCOUNT, at(1_100)).0, 1);
    stock.give_back(ACCOUNT, expires, at(950));
    assert_eq!(stock.state(ACCOUNT, at(950)).0, 2);
    assert_eq!(stock.state(ACCOUNT, at(1_050)).0, 1);
}

/// Guards against an allocator that begins with a full burst: each allocator that starts or takes over would let a whole burst
/// through again.
#[test]
fn an_allocator_that_starts_saves_up_its_tokens_from_zero() {
    let allocator_of_all: Member = 9;
    let mut allocator = Allocator::new(allocator_of_all, 1);
    allocator.set_limits([(ACCOUNT, Limit { rate: 20.0, burst: 100.0 })], START);
    let ask = |number, stamp, tokens| Ask {
        from: 1,
        incarnation: 1,
        number,
        share: 1.0,
        lent_ms: 10_000,
        choices: vec![vec![allocator_of_all]],
        released: Vec::new(),
        stamp,
        wants: vec![(ACCOUNT, tokens)],
    };
    let stamp = allocator.answer(&ask(1, None, 0), START).stamp;
    let tokens = |grant: &Grant| grant.parts.iter().map(|part| part.tokens).sum::<u32>();
    assert_eq!(tokens(&allocator.answer(&ask(2, Some(stamp), 50), START)), 0);
    let later = START + Duration::from_secs(1);
    assert_eq!(tokens(&allocator.answer(&ask(3, Some(stamp), 50), later)), 20);
}
