//! Which faults come when: a pure function of the seed.

use std::time::Duration;

use fastrand::Rng;

/// Part of the time before the first fault, and after the last.
const QUIET_PART: f64 = 0.1;
/// Shortest time of a fault, in milliseconds.
const SHORTEST_MS: u64 = 200;
/// Longest time of a fault, in milliseconds.
const LONGEST_MS: u64 = 4_000;
/// Times that a fault comes to the same place in a row, at most.
const SERIES: usize = 3;

/// What happens to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// All bytes come so much later, in milliseconds.
    Delay(u64),
    /// Nothing passes towards the server.
    Up,
    /// Nothing passes back.
    Down,
    /// Nothing passes at all.
    Silent,
    /// All open connections are reset.
    Reset,
    /// Open connections carry nothing any more, for good and without an end; new ones work.
    Forget,
}

/// What happens to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blow {
    /// It is killed, and started again at the end.
    Kill,
    /// It is asked to stop, and started again at the end.
    Stop,
    /// It stands still until the end.
    Pause,
}

/// What the store does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ill {
    /// It answers nothing but errors.
    Down,
    /// It answers so late, in milliseconds.
    Slow(u64),
    /// It does what it is asked and loses the answer.
    Lost,
}

/// A fault at a place; places are numbers, taken modulo the number of such places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Of a link between daemons and a backend server or the store.
    Link(usize, Cut),
    /// Of the link between callers and an entry daemon.
    Caller(usize, Cut),
    /// Of an entry daemon.
    Entry(usize, Blow),
    /// Of a backend server.
    Server(usize, Blow),
    /// Of the store.
    Store(Ill),
    /// A change of the policy.
    Change,
}

/// A step of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When, from the start.
    pub at: Duration,
    /// The fault.
    pub trouble: Trouble,
    /// Whether it begins; otherwise it ends.
    pub begins: bool,
}

/// `count` series of faults within `time`, and half as many more of links to callers and of connections that are
/// forgotten, in order; they overlap as they fall. The further ones are drawn apart, so that a seed's first `count` stay
/// what they were when it was found to fail.
pub fn steps(seed: u64, count: usize, time: Duration) -> Vec<Step> {
    let (mut rng, mut further) = (Rng::with_seed(seed), Rng::with_seed(!seed));
    let mut steps = Vec::new();
    (0..count).for_each(|_| series(&mut rng, trouble, time, &mut steps));
    (0..count / 2).for_each(|_| series(&mut further, trouble_of_connections, time, &mut steps));
    steps.sort_by_key(|step| step.at);
    steps
}

/// One fault that comes to the same place a few times.
fn series(rng: &mut Rng, draw: fn(&mut Rng) -> Trouble, time: Duration, steps: &mut Vec<Step>) {
    let trouble = draw(rng);
    let mut at = time.mul_f64(QUIET_PART + (1.0 - 3.0 * QUIET_PART) * rng.f64());
    for _ in 0..rng.usize(1..=SERIES) {
        let end = at + Duration::from_millis(rng.u64(SHORTEST_MS..=LONGEST_MS));
        if end > time.mul_f64(1.0 - QUIET_PART) {
            break;
        }
        steps.push(Step { at, trouble, begins: true });
        steps.push(Step { at: end, trouble, begins: false });
        at = end + Duration::from_millis(rng.u64(0..=LONGEST_MS / 2));
    }
}

fn trouble_of_connections(rng: &mut Rng) -> Trouble {
    let place = rng.usize(..1_000);
    match rng.u8(0..4) {
        0 => Trouble::Link(place, Cut::Forget),
        1 => Trouble::Caller(place, Cut::Forget),
        _ => Trouble::Caller(place, cut(rng)),
    }
}

fn trouble(rng: &mut Rng) -> Trouble {
    let place = rng.usize(..1_000);
    match rng.u8(0..10) {
        0..=3 => Trouble::Link(place, cut(rng)),
        4 | 5 => Trouble::Entry(place, blow(rng)),
        6 | 7 => Trouble::Server(place, blow(rng)),
        8 => Trouble::Store(match rng.u8(0..3) {
            0 => Ill::Down,
            1 => Ill::Slow(rng.u64(50..=3_000)),
            _ => Ill::Lost,
        }),
        _ => Trouble::Change,
    }
}

fn cut(rng: &mut Rng) -> Cut {
    match rng.u8(0..5) {
        0 => Cut::Delay(rng.u64(5..=800)),
        1 => Cut::Up,
        2 => Cut::Down,
        3 => Cut::Silent,
        _ => Cut::Reset,
    }
}

fn blow(rng: &mut Rng) -> Blow {
    match rng.u8(0..3) {
        0 => Blow::Kill,
        1 => Blow::Stop,
        _ => Blow::Pause,
    }
}
