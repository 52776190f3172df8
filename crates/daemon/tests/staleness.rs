//! Age of the data on which daemons act while some of them lose the store: the pure decisions of all daemons of a region,
//! with drawn delays, and with daemons of an earlier build among them.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;
use fleet::source::{self, Backoff, MAX_STALENESS, Source};
use rstest::rstest;
use store::changes::{Changes, Item};
use store::{Entry, Event, Liveness, Mirror};

const START: Time = Time::from_millis(10_000);
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(5);
/// Length of one schedule.
const LENGTH: Duration = Duration::from_secs(16);
/// Time from a change in the store to the moment from which no daemon that reaches the store may act without it: the
/// shortest time for draining that the platform states, less the way of a request.
const MAX_DELAY: Duration = Duration::from_millis(1_950);
/// Settings and delays of a daemon's calls to the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(900);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(300);
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Time on top of the wait that a daemon allows a peer for its answer.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// The store: the key that each revision wrote or deleted.
#[derive(Default)]
struct Store {
    changes: Vec<(Time, Event)>,
}

impl Store {
    /// Returns the revision at `time`.
    fn revision(&self, time: Time) -> u64 {
        self.changes.partition_point(|(at, _)| *at <= time) as u64
    }

    /// Returns the changes after one revision up to another.
    fn events(&self, after: u64, revision: u64) -> Vec<Event> {
        let events = self.changes.get(after as usize..revision as usize).unwrap_or_default();
        events.iter().map(|(_, event)| event.clone()).collect()
    }

    fn change(&mut self, rng: &mut fastrand::Rng, now: Time) {
        let revision = self.changes.len() as u64 + 1;
        let key = |number: u64| format!("servers/{number}");
        let victim = rng.u64(1..=revision);
        let deleted = |(_, event): &(Time, Event)| matches!(event, Event::Delete(known, _) if *known == key(victim));
        let event = if rng.bool() && victim < revision && !self.changes.iter().any(deleted) {
            Event::Delete(key(victim), revision)
        } else {
            Event::Put(Entry { key: key(revision), value: b"x".to_vec(), revision })
        };
        self.changes.push((now, event));
    }

    /// Returns the keys that were deleted by `time`.
    fn deleted(&self, time: Time) -> impl Iterator<Item = &str> {
        let until = self.revision(time) as usize;
        self.changes[..until].iter().filter_map(|(_, event)| match event {
            Event::Delete(key, _) => Some(key.as_str()),
            Event::Put(_) => None,
        })
    }
}

/// A request for changes to another daemon.
struct Request {
    member: usize,
    stale_after: Duration,
    sent: Time,
    /// When it reaches the member.
    reaches: Time,
    wait: Duration,
    after: u64,
    /// When the member's mirror was confirmed as the request reached it, and what the member read last.
    read: Option<(Option<Time>, Changes)>,
    /// The answer and its arrival.
    answer: Option<(Time, Changes)>,
}

/// A call to the store that checks its revision, and the changes that it fetches.
struct Check {
    sent: Time,
    arrives: Time,
    /// Revision in the answer; `None` if none comes.
    revision: Option<u64>,
}

struct Daemon {
    name: String,
    domain: String,
    mirror: Mirror,
    backoff: Backoff,
    request: Option<Request>,
    /// Arrival of the changes that a watch returns.
    watch: Option<(Time, u64)>,
    watch_after: Time,
    liveness: Liveness,
    check: Option<Check>,
    next_check: Time,
    /// Whether it states ages from before its wait, as earlier builds do.
    is_earlier_build: bool,
    /// When it does not reach the store.
    cut: (Time, Time),
    /// When its answers to peers do not arrive.
    silent: (Time, Time),
}

fn within(span: (Time, Time), now: Time) -> bool {
    (span.0..span.1).contains(&now)
}

struct Fleet {
    rng: fastrand::Rng,
    store: Store,
    daemons: Vec<Daemon>,
    /// Longest one-way delay between two daemons.
    max_delay: Duration,
}

impl Fleet {
    fn new(seed: u64, size: usize, domains: usize, earlier: f64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = START;
        let ms = |rng: &mut fastrand::Rng, range: std::ops::Range<u64>| start + Duration::from_millis(rng.u64(range));
        let cut_from = ms(&mut rng, 2_000..4_000);
        let cut_share = rng.f64() * 0.9;
        let daemons: Vec<Daemon> = (0..size)
            .map(|number| {
                let mut mirror = Mirror::new();
                mirror.replace(vec![Entry { key: "op/config".to_owned(), value: Vec::new(), revision: 1 }], 1, start);
                mirror.confirm(start);
                let (cut, silent) = (rng.f64() < cut_share && number > 0, rng.f64() < 0.1);
                let from = cut_from + Duration::from_millis(rng.u64(0..300));
                let length = Duration::from_millis(rng.u64(200..8_000));
                let silent_from = ms(&mut rng, 1_000..8_000);
                let silence = Duration::from_millis(rng.u64(200..4_000));
                Daemon {
                    name: format!("e-{number}"),
                    domain: format!("d-{}", number % domains),
                    mirror,
                    backoff: Backoff::new(),
                    request: None,
                    watch: None,
                    watch_after: start,
                    liveness: Liveness::new(),
                    check: None,
                    next_check: start + Duration::from_millis(rng.u64(0..900)),
                    is_earlier_build: rng.f64() < earlier,
                    cut: if cut { (from, from + length) } else { (start, start) },
                    silent: if silent { (silent_from, silent_from + silence) } else { (start, start) },
                }
            })
            .collect();
        let max_delay = Duration::from_millis(*rng.choice(&[4, 30, 120]).expect("there are some"));
        let mut store = Store::default();
        store.changes.push((start, Event::Put(Entry { key: "op/config".to_owned(), value: Vec::new(), revision: 1 })));
        Self { rng, store, daemons, max_delay }
    }

    /// Returns the source of a daemon at `now`.
    fn source(&self, own: usize, now: Time) -> (Option<usize>, Duration) {
        let daemon = &self.daemons[own];
        let usable = self
            .daemons
            .iter()
            .filter(|other| other.name == daemon.name || !daemon.backoff.is_active(&other.name, now));
        let region: BTreeMap<&str, &str> = usable.map(|other| (other.name.as_str(), other.domain.as_str())).collect();
        let source = source::choose(&daemon.name, &region);
        let member = match source {
            Source::Store => None,
            Source::RegionLeader(name) | Source::DomainLeader(name) => {
                self.daemons.iter().position(|other| other.name == name)
            }
        };
        (member, source.stale_after())
    }

    fn delay(&mut self) -> Duration {
        let late = if self.rng.u32(0..20) == 0 { 3 } else { 1 };
        Duration::from_micros(self.rng.u64(500..self.max_delay.as_micros() as u64)) * late
    }

    fn store_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(1..25))
    }

    fn step(&mut self, now: Time) {
        if self.rng.u32(0..30) == 0 {
            self.store.change(&mut self.rng, now);
        }
        for own in 0..self.daemons.len() {
            self.daemons[own].mirror.remove_expired(now);
            self.answer(own, now);
        }
        for own in 0..self.daemons.len() {
            let (member, stale_after) = self.source(own, now);
            self.check(own, member.is_none(), now);
            if self.daemons[own].request.is_some() {
                self.receive(own, now);
            } else if let Some(member) = member {
                self.ask(own, member, stale_after, now);
            } else {
                self.watch(own, now);
            }
        }
    }

    fn ask(&mut self, own: usize, member: usize, stale_after: Duration, now: Time) {
        let reaches = now + self.delay();
        let daemon = &mut self.daemons[own];
        let wait = source::wait(stale_after, daemon.mirror.age(now).unwrap_or_default());
        let after = daemon.mirror.revision();
        daemon.request =
            Some(Request { member, stale_after, sent: now, reaches, wait, after, read: None, answer: None });
    }

    /// Lets the member that a daemon has asked answer once there is something new or the wait is over.
    fn answer(&mut self, own: usize, now: Time) {
        let delay = self.delay();
        let Some(request) = self.daemons[own].request.as_ref().filter(|request| request.answer.is_none()) else {
            return;
        };
        let member = &self.daemons[request.member];
        if now < request.reaches || within(member.silent, now) {
            return;
        }
        let confirmed = member.mirror.age(now).map(|age| now - age);
        let current = member.mirror.changes(request.after, "", now).expect("it is not empty");
        let known = request.read.as_ref().map_or(confirmed, |(known, _)| *known);
        let is_new = current.version().revision > request.after || confirmed > known;
        let expired = now >= request.reaches + request.wait;
        let mut changes = if is_new || !member.is_earlier_build {
            current
        } else {
            request.read.as_ref().map_or(current, |(_, read)| read.clone())
        };
        changes.read_after_wait &= !member.is_earlier_build;
        let changes = changes.with_wait(request.reaches, now);
        let request = self.daemons[own].request.as_mut().expect("it was there");
        if is_new || expired {
            request.answer = Some((now + delay, changes));
        } else {
            request.read.get_or_insert((known, changes));
        }
    }

    /// Applies the answer to a daemon's request, or ends the request when none came in time.
    fn receive(&mut self, own: usize, now: Time) {
        let Some(request) = self.daemons[own].request.take() else { return };
        let member = self.daemons[request.member].name.clone();
        let daemon = &mut self.daemons[own];
        match &request.answer {
            Some((arrival, changes)) if now >= *arrival => {
                // An earlier build takes all ages for those at the end of the wait.
                let changes =
                    Changes { read_after_wait: changes.read_after_wait || daemon.is_earlier_build, ..changes.clone() };
                let items: Vec<Item> = changes.items.clone();
                daemon.mirror.merge(&changes, items, request.sent, now);
                if daemon.mirror.age(now).is_none_or(|age| age >= request.stale_after) {
                    daemon.backoff.record_failure(&member, now);
                }
            }
            _ if now >= request.sent + request.wait + RESPONSE_MARGIN => daemon.backoff.record_failure(&member, now),
            _ => daemon.request = Some(request),
        }
    }

    fn watch(&mut self, own: usize, now: Time) {
        let delay = self.store_delay();
        let revision = self.store.revision(now);
        let daemon = &mut self.daemons[own];
        match daemon.watch {
            Some((arrival, revision)) if now >= arrival => {
                daemon.watch = None;
                daemon.watch_after = now + BATCH_DELAY;
                let after = daemon.mirror.revision();
                if after < revision && !within(daemon.cut, now) {
                    daemon.mirror.apply(self.store.events(after, revision), revision, now);
                }
            }
            None if revision > daemon.mirror.revision() && now >= daemon.watch_after && !within(daemon.cut, now) => {
                daemon.watch = Some((now + delay, revision));
            }
            _ => {}
        }
    }

    /// Checks the store's revision as a daemon that watches does, or fetches what its source may have missed.
    fn check(&mut self, own: usize, watching: bool, now: Time) {
        let (there, back) = (self.store_delay(), self.store_delay());
        let follower_delay = Duration::from_millis(self.rng.u64(750..2_250));
        let revision = self.store.revision(now + there);
        let daemon = &mut self.daemons[own];
        if watching && let Some(as_of) = daemon.liveness.confirmed(daemon.mirror.version()) {
            daemon.mirror.confirm(as_of);
        }
        let Some(check) = daemon.check.take_if(|check| now >= check.arrives) else {
            let due = watching || daemon.mirror.age(now).is_none_or(|age| age >= MAX_STALENESS);
            if daemon.check.is_none() && due && now >= daemon.next_check {
                let cut = within(daemon.cut, now);
                let arrives = now + if cut { STORE_TIMEOUT } else { there + back };
                daemon.check = Some(Check { sent: now, arrives, revision: Some(revision).filter(|_| !cut) });
            }
            return;
        };
        let Some(revision) = check.revision else {
            daemon.mirror.record_failure(check.sent);
            daemon.next_check = check.sent + if watching { RETRY_DELAY } else { follower_delay };
            return;
        };
        daemon.mirror.record_answer(check.sent, now);
        if watching {
            let known = daemon.mirror.version();
            daemon.liveness.record_answer(revision, known, BATCH_DELAY, check.sent, now);
            daemon.next_check = check.sent + CHECK_INTERVAL;
        } else {
            let after = daemon.mirror.revision();
            if after < revision {
                daemon.mirror.apply(self.store.events(after, revision), revision, now);
            }
            daemon.mirror.confirm(check.sent);
            daemon.next_check = check.sent + Duration::from_millis(50);
        }
    }

    /// Checks what the daemons believe about the age of their data, and how old it is.
    fn assert_fresh(&self, context: &str, now: Time) {
        for daemon in self.daemons.iter().filter(|daemon| !daemon.is_earlier_build) {
            let (name, revision) = (&daemon.name, daemon.mirror.revision());
            if let Some(age) = daemon.mirror.age(now) {
                let missed = self.store.revision(now - age) > revision;
                assert!(!missed, "{context}: {name} believes that its data is {age:?} old, and it is older");
            }
            if daemon.cut.0 < daemon.cut.1 {
                continue;
            }
            let limit = now - MAX_DELAY;
            assert!(revision >= self.store.revision(limit), "{context}: {name} lacks a change of {MAX_DELAY:?} ago");
            let kept = self.store.deleted(limit).find(|key| daemon.mirror.get(key).is_some());
            assert_eq!(kept, None, "{context}: {name} keeps a key that was deleted {MAX_DELAY:?} ago");
        }
    }
}

/// Guards against a daemon that takes its data for fresher than it is, because each hop states its age from before a wait,
/// and against one that keeps deleted keys because its source was cut off: servers that left got requests too late.
#[rstest]
#[case::one_hop(7, 7, 0.0, 40)]
#[case::two_hops(7, 3, 0.0, 40)]
#[case::two_hops_of_two_builds(9, 3, 0.5, 40)]
#[case::grown(34, 6, 0.0, 8)]
#[case::large(119, 9, 0.0, 2)]
#[case::large_of_two_builds(119, 9, 0.5, 2)]
fn no_daemon_that_reaches_the_store_acts_on_data_that_is_too_old(
    #[case] size: usize,
    #[case] domains: usize,
    #[case] earlier: f64,
    #[case] seeds: u64,
) {
    for seed in 0..seeds {
        let mut fleet = Fleet::new(seed, size, domains, earlier);
        let mut now = START;
        while now < START + LENGTH {
            now = now + STEP;
            fleet.step(now);
            fleet.assert_fresh(&format!("seed {seed}, {size} daemons, after {:?}", now.since(START)), now);
        }
    }
}
