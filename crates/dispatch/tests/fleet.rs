//! Bounds on what a whole fleet sends to one server, kept by daemons that decide alone and believe different things of
//! each other.

mod common;

use std::time::Duration;

use base::rate::Limit;
use base::time::Time;
use common::backend;
use dispatch::announcements::Announcements;
use dispatch::backend::{Backend, Place, Position, SlowStart, Spec, share};
use dispatch::subset;
use rstest::rstest;

const START: Time = Time::from_millis(10_000);
/// Window in which a server counts its arrivals.
const WINDOW: Duration = Duration::from_secs(4);
/// Arrivals in a window above one and a half times the limit that still count as kept.
const SLACK: f64 = 5.0;
/// Time between two moments at which each daemon sends what it may.
const STEP: Duration = Duration::from_millis(20);
/// Length of a schedule.
const RUN_TIME: Duration = Duration::from_secs(40);
/// Mean time between two changes of what daemons believe.
const CHANGE_INTERVAL: Duration = Duration::from_secs(6);
/// Longest time until a daemon learns of a change.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// The server's number.
const SERVER: u32 = 77;
/// Number of daemons that send to a cold server.
const STARTERS: usize = 3;

/// A daemon's belief about the fleet.
#[derive(Debug, Clone)]
struct Belief {
    live: Vec<usize>,
    /// Number of daemons that have not announced their departure.
    known: usize,
}

/// A daemon in front of one limited server.
struct Daemon {
    server: Backend,
    /// Beliefs to come, with the time at which each takes effect.
    pending: Vec<(Time, Belief)>,
    /// It does nothing before this time, and then goes on with what it believed.
    stopped_until: Time,
}

fn hash_of(daemon: usize) -> u64 {
    base::hash::bytes(format!("entry-{daemon}").as_bytes())
}

fn position(daemon: usize, belief: &Belief) -> Position {
    let hashes: Vec<u64> = belief.live.iter().map(|other| hash_of(*other)).collect();
    let rank = subset::rank(hash_of(daemon), &hashes, u64::from(SERVER)) as u32;
    let coverage = belief.live.len() as f64 / belief.known as f64;
    Position { rank, daemons: belief.live.len() as u32, coverage }
}

/// What bounds the requests to the server.
#[derive(Debug, Clone, Copy)]
enum Bound {
    /// It states this limit, in requests per second.
    Limit(f64),
    /// It is cold and takes this many requests per second.
    Cold(f64),
}

/// Returns the server as `daemon` declares it.
fn spec(daemon: usize, belief: &Belief, bound: Bound) -> Spec {
    let position = position(daemon, belief);
    let slow_start = match bound {
        Bound::Limit(_) => None,
        Bound::Cold(per_second) => {
            let hashes: Vec<u64> = belief.live.iter().map(|other| hash_of(*other)).collect();
            let (part, starter) =
                subset::start_share(hash_of(daemon), &hashes, u64::from(SERVER), STARTERS, position.coverage);
            Some(SlowStart { until: Time::MAX, per_second: per_second * part, starter, phase: 0.5, learns_pace: false })
        }
    };
    Spec { position, slow_start, slots: u32::MAX, ..backend(SERVER, Place::Region) }
}

/// Creates the server as a daemon with `spec` knows it.
fn server(spec: Spec, bound: Bound, now: Time) -> Backend {
    let mut server = Backend::new(spec, now);
    if let Bound::Limit(limit) = bound {
        let mut announcements = Announcements::new();
        announcements.record_rate_limit(SERVER, Limit { per_second: Some(limit), observed_at: now }, now);
        server.apply_announcement(announcements.get(SERVER), now);
    }
    server
}

/// A change of what the daemons of a fleet believe: for each daemon its next belief.
fn draw_beliefs(daemons: usize, rng: &mut fastrand::Rng) -> Vec<Belief> {
    let all: Vec<usize> = (0..daemons).collect();
    let full = Belief { live: all.clone(), known: daemons };
    match rng.u8(0..5) {
        0 => vec![full; daemons],
        1 => {
            let parts = rng.usize(2..=4);
            let part_of: Vec<usize> = all.iter().map(|_| rng.usize(..parts)).collect();
            let inside = |part: usize| all.iter().copied().filter(|other| part_of[*other] == part).collect();
            all.iter().map(|daemon| Belief { live: inside(part_of[*daemon]), known: daemons }).collect()
        }
        2 => {
            let alone = rng.usize(..daemons);
            let others: Vec<usize> = all.iter().copied().filter(|other| *other != alone).collect();
            let belief = |daemon: &usize| match (*daemon == alone, rng.bool()) {
                (true, _) => Belief { live: vec![alone], known: daemons },
                (false, true) => Belief { live: others.clone(), known: daemons },
                (false, false) => full.clone(),
            };
            all.iter().map(belief).collect()
        }
        _ => {
            let fresh = [rng.usize(..daemons), rng.usize(..daemons)];
            let without: Vec<usize> = all.iter().copied().filter(|other| !fresh.contains(other)).collect();
            let old = Belief { known: without.len(), live: without };
            all.iter()
                .map(|daemon| if fresh.contains(daemon) || rng.bool() { full.clone() } else { old.clone() })
                .collect()
        }
    }
}

/// Lets each daemon send whatever it may for [`RUN_TIME`], while beliefs change and daemons stop for seconds; returns the
/// times of the sends.
fn run_schedule(daemons: usize, bound: Bound, rng: &mut fastrand::Rng) -> Vec<Time> {
    let full = Belief { live: (0..daemons).collect(), known: daemons };
    let daemon = |number| Daemon {
        server: server(spec(number, &full, bound), bound, START),
        pending: Vec::new(),
        stopped_until: Time::ZERO,
    };
    let mut fleet: Vec<Daemon> = (0..daemons).map(daemon).collect();
    let (mut now, mut sends) = (START, Vec::new());
    let mut change_at = START + CHANGE_INTERVAL.mul_f64(rng.f64());
    while now < START + RUN_TIME {
        if now >= change_at {
            for (daemon, belief) in fleet.iter_mut().zip(draw_beliefs(daemons, rng)) {
                daemon.pending.push((now + SPREAD_TIME.mul_f64(rng.f64()), belief));
            }
            let stopped = rng.usize(..daemons);
            fleet[stopped].stopped_until = now + Duration::from_secs(rng.u64(0..7));
            change_at = now + CHANGE_INTERVAL.mul_f64(0.5 + rng.f64());
        }
        for (number, daemon) in fleet.iter_mut().enumerate() {
            step(number, daemon, bound, now, &mut sends);
        }
        now = now + STEP;
    }
    sends
}

/// Applies the beliefs that are due to a daemon, and sends what it may.
fn step(number: usize, daemon: &mut Daemon, bound: Bound, now: Time, sends: &mut Vec<Time>) {
    if now < daemon.stopped_until {
        return;
    }
    while let Some(index) = daemon.pending.iter().position(|(at, _)| *at <= now) {
        let (_, belief) = daemon.pending.remove(index);
        daemon.server.update_spec(spec(number, &belief, bound), now);
    }
    while !daemon.server.unavailable(now) && daemon.server.admits(now) {
        daemon.server.record_start(false, now);
        sends.push(now);
    }
}

/// Returns the most sends in `window`.
fn most_in_window(sends: &[Time], window: Duration) -> usize {
    let mut first = 0;
    let in_window = |(last, at): (usize, &Time)| {
        while at.since(sends[first]) >= window {
            first += 1;
        }
        last + 1 - first
    };
    sends.iter().enumerate().map(in_window).max().unwrap_or(0)
}

/// Returns the number of schedules that the environment asks for; `usual` if it does not.
fn schedules_or(usual: u64) -> u64 {
    std::env::var("SCHEDULES").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Guards against a limit that holds for each daemon and not for their sum: fleets of several sizes, split, with members
/// that only some know, with one that believes the others gone, and with daemons that go on after a stop of seconds.
#[rstest]
#[case::small(7, 300)]
#[case::grown(34, 60)]
#[case::large(119, 20)]
fn a_fleet_keeps_a_servers_limit_whatever_each_daemon_believes(#[case] daemons: usize, #[case] schedules: u64) {
    let schedules = schedules_or(schedules);
    let mut highest = (0.0, 0);
    for seed in 0..schedules {
        let mut rng = fastrand::Rng::with_seed(seed);
        let limit = 0.1 * 300.0_f64.powf(rng.f64());
        let most = most_in_window(&run_schedule(daemons, Bound::Limit(limit), &mut rng), WINDOW);
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + SLACK;
        assert!(most as f64 <= allowed, "seed {seed}: {most} requests in {WINDOW:?} at {limit} a second");
        highest = if most as f64 / allowed > highest.0 { (most as f64 / allowed, seed) } else { highest };
    }
    println!("{daemons} daemons: at most {:.2} of what is allowed, seed {}", highest.0, highest.1);
}

/// Guards against a cold server's rate that every part of a split fleet sends in full.
#[rstest]
#[case::small(7, 5.0, 300)]
#[case::grown(34, 8.0, 60)]
#[case::large(119, 10.0, 20)]
fn a_fleet_keeps_a_cold_servers_rate_whatever_each_daemon_believes(
    #[case] daemons: usize,
    #[case] slack: f64,
    #[case] schedules: u64,
) {
    let mut highest = (0.0, 0);
    for seed in 0..schedules_or(schedules) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let per_second = 2.0 + 6.0 * rng.f64();
        let most = most_in_window(&run_schedule(daemons, Bound::Cold(per_second), &mut rng), Duration::from_secs(1));
        let allowed = 1.5 * per_second + slack;
        assert!(most as f64 <= allowed, "seed {seed}: {most} requests in a second at {per_second} a second");
        highest = if most as f64 / allowed > highest.0 { (most as f64 / allowed, seed) } else { highest };
    }
    println!("{daemons} daemons: at most {:.2} of what is allowed, seed {}", highest.0, highest.1);
}

/// A fleet of any size that agrees uses most of the limit, through few daemons.
#[rstest]
#[case::small(7)]
#[case::large(119)]
fn a_fleet_that_agrees_uses_most_of_a_limit(#[case] daemons: u32) {
    for limit in [0.5, 1.5, 5.0, 50.0] {
        let at = |rank| share(limit, Position { rank, daemons, coverage: 1.0 });
        let sum: f64 = (0..daemons).map(at).sum();
        assert!(sum >= 0.7 * limit && sum <= limit, "{sum} of {limit} by {daemons} daemons");
        assert!(at(1) > 0.0, "the failure of one sender leaves another");
    }
}
