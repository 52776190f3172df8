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

/// `count` series of faults within `time`, in order; they overlap as they fall.
pub fn steps(seed: u64, count: usize, time: Duration) -> Vec<Step> {
    let mut rng = Rng::with_seed(seed);
    let mut steps = Vec::new();
    for _ in 0..count {
        let trouble = trouble(&mut rng);
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
    steps.sort_by_key(|step| step.at);
    steps
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
