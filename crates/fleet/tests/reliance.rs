//! Simulated daemons that rely on the regions of their policy while some are cut off, the store is silent and answers are slow.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;
use fleet::confirmation::{Confirmation, Finding, Limits, Round, Silence, Standing};
use rstest::rstest;

/// Time within which a new policy must be in force everywhere.
const APPLY: Duration = Duration::from_secs(3);
const START: Time = Time::from_millis(100_000);
const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(20);
/// Schedules of each case.
const SEEDS: u64 = 400;
/// Longest time until a daemon knows the age of a policy that a member has sent: an interval between rounds and one round.
const MAX_GAP: Duration = Duration::from_millis(600);
/// Daemons of each region.
const PER_REGION: usize = 4;
const REGIONS: [&str; 3] = ["a", "b", "c"];
const DAEMONS: usize = PER_REGION * REGIONS.len();
/// Members that a daemon asks of each region.
const QUESTIONS: usize = 2;
const CHECK_INTERVAL: Duration = Duration::from_millis(900);
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time until a daemon notices that members are silent, in milliseconds.
const MAX_NOTICE_MS: u64 = 1_800;

fn ms(rng: &mut fastrand::Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

/// A span of time, and the daemons that it affects.
#[derive(Debug, Clone)]
struct Trouble {
    from: Time,
    until: Time,
    daemons: BTreeSet<usize>,
}

impl Trouble {
    fn draw(rng: &mut fastrand::Rng, share: f64) -> Self {
        let from = START + ms(rng, 2_000..8_000);
        let until = from + ms(rng, 500..9_000);
        Self { from, until, daemons: (0..DAEMONS).filter(|_| rng.f64() < share).collect() }
    }

    fn is_active(&self, now: Time) -> bool {
        (self.from..self.until).contains(&now)
    }
}

/// Whether the cut begins before the silence of the store, with it, between those that hear the store and the others, or after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    CutFirst,
    Together,
    CutLater,
}

/// What arrives at a daemon.
#[derive(Debug, Clone, Copy)]
enum Arrival {
    /// The store's version as of the time at which it was asked for.
    Check {
        sent: Time,
        version: u64,
    },
    /// A version that another daemon has.
    News {
        version: u64,
    },
    Question {
        from: usize,
        round: u64,
    },
    Answer {
        from: usize,
        round: u64,
        standing: Standing,
    },
    TimedOut {
        round: u64,
    },
}

/// A round that is not complete.
struct Open {
    number: u64,
    round: Round,
    unanswered: usize,
}

struct Daemon {
    version: u64,
    /// When it learned this version.
    learned_at: Time,
    /// When the store was last known to have no newer version, by the daemon's own check.
    checked_at: Time,
    confirmation: Confirmation,
    silence: Silence,
    /// How long after a cut it notices that members are silent.
    notices_after: Duration,
    next_check: Time,
    next_exchange: Time,
    next_round: Time,
    round: Option<Open>,
}

impl Daemon {
    fn new(rng: &mut fastrand::Rng) -> Self {
        Self {
            version: 1,
            learned_at: Time::ZERO,
            checked_at: START,
            confirmation: Confirmation::default(),
            silence: Silence::default(),
            notices_after: ms(rng, 0..MAX_NOTICE_MS),
            next_check: START + ms(rng, 0..900),
            next_exchange: START + ms(rng, 0..500),
            next_round: START,
            round: None,
        }
    }

    fn confirmed_at(&self) -> Time {
        self.checked_at.max(self.confirmation.confirmed_at(self.version.into()).unwrap_or(Time::ZERO))
    }

    /// Until when the daemon relies on its policy.
    fn expiry(&self, limits: Limits) -> Time {
        let agreed = self.confirmation.agreed_at(self.version.into()).map(|at| at + limits.max_agreement_age());
        (self.confirmed_at() + limits.max_age()).max(agreed.unwrap_or(Time::ZERO))
    }

    fn standing(&self, now: Time) -> Standing {
        let age_ms = now.since(self.confirmed_at()).as_millis() as u64;
        Standing { version: self.version.into(), age_ms: Some(age_ms), pending: false, hears_store: false }
    }
}

struct Fleet {
    rng: fastrand::Rng,
    limits: Limits,
    now: Time,
    daemons: Vec<Daemon>,
    /// When the store accepted each version after the first.
    accepted: Vec<Time>,
    /// What is on its way, by its arrival.
    messages: BTreeMap<(Time, u64), (usize, Arrival)>,
    sent: u64,
    /// Daemons whose store does not answer.
    silent: Trouble,
    /// Daemons that reach only each other.
    cut: Trouble,
    max_delay: u64,
}

impl Fleet {
    fn new(seed: u64, silent_share: f64, cut_share: f64, order: Order, max_delay: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let silent = Trouble::draw(&mut rng, silent_share);
        let mut cut = Trouble::draw(&mut rng, cut_share);
        match order {
            Order::Together => {
                let in_touch = (0..DAEMONS).filter(|daemon| !silent.daemons.contains(daemon)).collect();
                cut = Trouble { daemons: in_touch, ..silent.clone() };
            }
            Order::CutLater => cut.from = cut.from.max(silent.from),
            Order::CutFirst => cut.from = cut.from.min(silent.from),
        }
        let daemons = (0..DAEMONS).map(|_| Daemon::new(&mut rng)).collect();
        let messages = BTreeMap::new();
        let (limits, accepted) = (Limits::new(APPLY), Vec::new());
        Self { rng, limits, now: START, daemons, accepted, messages, sent: 0, silent, cut, max_delay }
    }

    fn reaches_store(&self, daemon: usize) -> bool {
        !(self.silent.is_active(self.now) && self.silent.daemons.contains(&daemon))
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        !self.cut.is_active(self.now) || self.cut.daemons.contains(&one) == self.cut.daemons.contains(&other)
    }

    fn region(daemon: usize) -> &'static str {
        REGIONS[daemon / PER_REGION]
    }

    fn latest(&self) -> u64 {
        1 + self.accepted.len() as u64
    }

    /// Delivers to the daemon `to` after a drawn delay.
    fn send(&mut self, to: usize, arrival: Arrival) {
        let delay = ms(&mut self.rng, 1..self.max_delay + 1);
        self.send_after(to, delay, arrival);
    }

    fn send_after(&mut self, to: usize, delay: Duration, arrival: Arrival) {
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), (to, arrival));
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let is_reached = (0..DAEMONS).any(|daemon| self.reaches_store(daemon));
        if is_reached && self.rng.u64(0..600) == 0 {
            self.accepted.push(self.now);
            let version = self.latest();
            let watching: Vec<usize> = (0..DAEMONS).filter(|daemon| self.reaches_store(*daemon)).collect();
            watching.into_iter().for_each(|daemon| self.send(daemon, Arrival::News { version }));
        }
        let later = self.messages.split_off(&(self.now, u64::MAX));
        for (to, arrival) in std::mem::replace(&mut self.messages, later).into_values() {
            self.receive(to, arrival);
        }
        (0..DAEMONS).for_each(|daemon| self.act(daemon));
    }

    fn act(&mut self, daemon: usize) {
        let now = self.now;
        if now >= self.daemons[daemon].next_check {
            self.daemons[daemon].next_check = now + CHECK_INTERVAL;
            if self.reaches_store(daemon) {
                let version = self.latest();
                self.send(daemon, Arrival::Check { sent: now, version });
            }
        }
        if now >= self.daemons[daemon].next_exchange {
            self.daemons[daemon].next_exchange = now + EXCHANGE_INTERVAL;
            self.tell(daemon, 1);
        }
        if now >= self.daemons[daemon].next_round && self.daemons[daemon].round.is_none() {
            self.ask(daemon);
        }
    }

    /// Tells random members the version in force.
    fn tell(&mut self, daemon: usize, members: usize) {
        let version = self.daemons[daemon].version;
        for _ in 0..members {
            let to = self.rng.usize(0..DAEMONS);
            if self.reaches(daemon, to) {
                self.send(to, Arrival::News { version });
            }
        }
    }

    fn learn(&mut self, daemon: usize, version: u64) {
        if version > self.daemons[daemon].version {
            self.daemons[daemon].version = version;
            self.daemons[daemon].learned_at = self.now;
            self.tell(daemon, 4);
        }
    }

    /// Updates which members are silent: those that are out of reach, after a drawn time.
    fn update_silence(&mut self, daemon: usize) {
        let now = self.now;
        let is_noticed = now.since(self.cut.from) >= self.daemons[daemon].notices_after;
        let confirmed_at = Some(self.daemons[daemon].confirmed_at());
        let others = (0..DAEMONS).filter(|other| *other != daemon).map(|other| {
            let is_silent = !self.reaches(daemon, other)
                && (is_noticed || self.daemons[daemon].silence.contains(&other.to_string()));
            (other.to_string(), is_silent)
        });
        let others: Vec<(String, bool)> = others.collect();
        let members = others.iter().map(|(name, is_silent)| (name.as_str(), *is_silent));
        self.daemons[daemon].silence.update(members, confirmed_at, now);
    }

    fn ask(&mut self, daemon: usize) {
        self.update_silence(daemon);
        let (now, limits) = (self.now, self.limits);
        let interval = limits.interval().mul_f64(0.75 + self.rng.f64() / 2.0);
        self.daemons[daemon].next_round = now + interval;
        let confirmed_at = self.daemons[daemon].confirmed_at();
        if now.since(confirmed_at) < limits.ask_after() {
            return;
        }
        let mut members: BTreeSet<usize> =
            self.daemons[daemon].silence.suspects(Some(confirmed_at)).filter_map(|name| name.parse().ok()).collect();
        for region in 0..REGIONS.len() {
            let known = (region * PER_REGION..(region + 1) * PER_REGION)
                .filter(|other| *other != daemon && !self.daemons[daemon].silence.contains(&other.to_string()));
            let mut known: Vec<usize> = known.collect();
            self.rng.shuffle(&mut known);
            members.extend(known.into_iter().take(QUESTIONS));
        }
        let regions = REGIONS.iter().filter(|region| **region != Self::region(daemon));
        let regions = regions.map(|region| (*region).to_owned()).collect();
        let mut round = Round::new(self.daemons[daemon].version.into(), regions, members.len(), now);
        if now.since(confirmed_at) < limits.silent_after() || members.is_empty() {
            round.contradict();
        }
        let number = self.sent;
        self.daemons[daemon].round = Some(Open { number, round, unanswered: members.len() });
        for member in members {
            if self.reaches(daemon, member) {
                self.send(member, Arrival::Question { from: daemon, round: number });
            }
        }
        self.send_after(daemon, limits.timeout(), Arrival::TimedOut { round: number });
    }

    fn receive(&mut self, daemon: usize, arrival: Arrival) {
        match arrival {
            Arrival::Check { sent, version } => {
                self.learn(daemon, version);
                let known = &mut self.daemons[daemon].checked_at;
                *known = (*known).max(sent);
            }
            Arrival::News { version } => self.learn(daemon, version),
            Arrival::Question { from, round } => {
                let standing = self.daemons[daemon].standing(self.now);
                if self.reaches(daemon, from) {
                    self.send(from, Arrival::Answer { from: daemon, round, standing });
                }
            }
            Arrival::Answer { from, round, standing } => self.record(daemon, from, round, &standing),
            Arrival::TimedOut { round } => {
                self.daemons[daemon].round.take_if(|open| open.number == round);
            }
        }
    }

    fn record(&mut self, daemon: usize, from: usize, number: u64, standing: &Standing) {
        let limits = self.limits;
        let own = &mut self.daemons[daemon];
        let Some(mut open) = own.round.take_if(|open| open.number == number) else { return };
        own.silence.record_answer(&from.to_string());
        match open.round.record(Self::region(from), standing, limits) {
            Finding::Confirmed(as_of) => own.confirmation.confirm(open.round.version(), as_of),
            Finding::Newer(_) => own.confirmation.withdraw(),
            Finding::Refused | Finding::Silent => {}
        }
        if let Some(as_of) = open.round.agreed_at() {
            own.confirmation.agree(open.round.version(), as_of);
        }
        open.unanswered -= 1;
        own.round = Some(open).filter(|open| open.unanswered > 0);
        let version: u64 = standing.version.stored.revision;
        self.learn(daemon, version);
    }

    /// Whether the daemon relies on its policy now.
    fn relies(&self, daemon: usize) -> bool {
        self.now <= self.daemons[daemon].expiry(self.limits)
    }

    /// How long ago the first version was accepted that is newer than the daemon's; `None` if it has the latest.
    fn lateness(&self, daemon: usize) -> Option<Duration> {
        let next = self.daemons[daemon].version as usize - 1;
        self.accepted.get(next).map(|at| self.now.since(*at))
    }
}

/// Guards against daemons that rely on a policy for longer than allowed after the store has accepted a newer one, whatever is cut off,
/// silent or slow.
#[rstest]
#[case::store_silent_for_some(0.6, 0.0, Order::CutLater, 60)]
#[case::cut_off_together(0.5, 0.0, Order::Together, 60)]
#[case::most_cut_off_together(0.9, 0.0, Order::Together, 60)]
#[case::most_cut_off_together_slow(0.9, 0.0, Order::Together, 600)]
#[case::cut_off_later(0.5, 0.4, Order::CutLater, 60)]
#[case::cut_off_later_slow(0.7, 0.4, Order::CutLater, 600)]
#[case::one_in_touch(0.93, 0.2, Order::CutLater, 60)]
#[case::one_in_touch_slow(0.93, 0.2, Order::CutLater, 600)]
#[case::store_silent_for_all(1.0, 0.4, Order::CutLater, 200)]
#[case::cut_off_first(0.7, 0.4, Order::CutFirst, 60)]
fn no_daemon_relies_on_a_policy_that_was_replaced_long_ago(
    #[case] silent: f64,
    #[case] cut: f64,
    #[case] order: Order,
    #[case] max_delay: u64,
) {
    let mut worst = (Duration::ZERO, 0, 0);
    let mut relied = 0;
    for seed in 1..=SEEDS {
        let mut fleet = Fleet::new(seed, silent, cut, order, max_delay);
        while fleet.now < START + LENGTH {
            fleet.step();
            for daemon in (0..DAEMONS).filter(|daemon| fleet.relies(*daemon)) {
                let Some(lateness) = fleet.lateness(daemon) else { continue };
                relied += 1;
                worst = worst.max((lateness, seed, daemon));
            }
        }
    }
    println!("{worst:?} at worst, {relied} steps in which a daemon relied on a replaced policy");
    assert!(relied > 0, "the store accepted nothing that some lacked");
    assert!(worst.0 <= APPLY, "{worst:?} (time, seed, daemon)");
}

/// Guards against daemons that refuse requests though all daemons reach each other: while the store answers, while it is silent for
/// some and while it is silent for all. A policy that a member sends comes without its age, which the next round tells.
#[rstest]
#[case::calm(0.0)]
#[case::store_silent_for_some(0.5)]
#[case::store_silent_for_all(1.0)]
fn daemons_that_reach_each_other_always_rely_on_their_policy(#[case] silent: f64) {
    for seed in 1..=SEEDS {
        let mut fleet = Fleet::new(seed, silent, 0.0, Order::CutLater, 40);
        while fleet.now < START + LENGTH {
            fleet.step();
            let is_refusing = |daemon: &usize| {
                let known_for = fleet.now.since(fleet.daemons[*daemon].learned_at);
                !fleet.relies(*daemon) && known_for > MAX_GAP
            };
            let refusing: Vec<usize> = (0..DAEMONS).filter(is_refusing).collect();
            assert!(refusing.is_empty(), "seed {seed}: {refusing:?} refuse after {:?}", fleet.now.since(START));
        }
    }
}
