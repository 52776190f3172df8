//! The plan of faults: what happens when, as a pure function of the seed.

use std::time::Duration;

use fastrand::Rng;

/// Fraction of the run before the first fault; as much is left free after the last one.
const QUIET_FRACTION: f64 = 0.1;
/// Minimum duration of a fault, in milliseconds.
const MIN_FAULT_MS: u64 = 200;
/// Maximum duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 4_000;
/// Lowest rate limit of a backend server, in tenths of a request per second.
const MIN_LIMIT_TENTHS: u32 = 5;
/// Highest rate limit of a backend server, in tenths of a request per second.
const MAX_LIMIT_TENTHS: u32 = 20;
/// Keeps the random numbers of rate limits apart from those of other faults.
const LIMIT_SEED: u64 = 0x6c69_6d69_7473;
/// Maximum number of times that one series injects its fault.
const MAX_FAULTS_PER_SERIES: usize = 3;

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// All bytes are delayed, in milliseconds.
    Delay(u64),
    /// Bytes towards the server are held back.
    BlockUpstream,
    /// Bytes towards the client are held back.
    BlockDownstream,
    /// Bytes in both directions are held back.
    BlockBoth,
    /// All open connections are reset.
    Reset,
    /// Connections that are open now never carry a byte again and are never closed; new ones work.
    Blackhole,
}

/// A fault of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// It is killed, and started again when the fault ends.
    Kill,
    /// It is asked to stop, and started again when the fault ends.
    Stop,
    /// It is suspended until the fault ends.
    Pause,
}

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It closes connections without an answer.
    Down,
    /// It delays each call, in milliseconds.
    Slow(u64),
    /// It carries out some writes and loses their answers.
    LoseAnswers,
}

/// A fault and its target. Targets are numbers, taken modulo the number of targets of that kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A fault of a link between daemons and a backend server or the store.
    Link(usize, LinkFault),
    /// A fault of a link between callers and an entry daemon.
    CallerLink(usize, LinkFault),
    /// A fault of an entry daemon.
    Entry(usize, ProcessFault),
    /// A fault of a backend server.
    Backend(usize, ProcessFault),
    /// A fault of the store.
    Store(StoreFault),
    /// A change of the policy.
    PolicyChange,
    /// A backend server states a limit of its rate, in tenths of a request per second.
    RateLimit(usize, u32),
}

/// A step of the run: the start or the end of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When, from the start of the run.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
    /// Whether the fault starts; otherwise it ends.
    pub starts: bool,
}

/// Returns `count` series of faults within `time`, and half as many series of faults of links to callers and of
/// blackholed connections, and as many of rate limits, ordered by time; they may overlap. Each further group has a random
/// generator of its own, so that the first `count` series of a seed are still those with which the seed was once found to
/// fail.
pub fn steps(seed: u64, count: usize, time: Duration) -> Vec<Step> {
    let (mut rng, mut connection_rng) = (Rng::with_seed(seed), Rng::with_seed(!seed));
    let mut limit_rng = Rng::with_seed(seed.rotate_left(32) ^ LIMIT_SEED);
    let mut steps = Vec::new();
    (0..count).for_each(|_| push_series(&mut rng, random_fault, time, &mut steps));
    (0..count / 2).for_each(|_| push_series(&mut connection_rng, random_connection_fault, time, &mut steps));
    (0..count / 2).for_each(|_| push_limits(&mut limit_rng, time, &mut steps));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Appends a series: one fault that hits the same target up to [`MAX_FAULTS_PER_SERIES`] times.
fn push_series(rng: &mut Rng, draw: fn(&mut Rng) -> Fault, time: Duration, steps: &mut Vec<Step>) {
    let fault = draw(rng);
    let mut at = time.mul_f64(QUIET_FRACTION + (1.0 - 3.0 * QUIET_FRACTION) * rng.f64());
    for _ in 0..rng.usize(1..=MAX_FAULTS_PER_SERIES) {
        let end = at + Duration::from_millis(rng.u64(MIN_FAULT_MS..=MAX_FAULT_MS));
        if end > time.mul_f64(1.0 - QUIET_FRACTION) {
            break;
        }
        steps.push(Step { at, fault, starts: true });
        steps.push(Step { at: end, fault, starts: false });
        at = end + Duration::from_millis(rng.u64(0..=MAX_FAULT_MS / 2));
    }
}

/// Appends the limits that one backend server states one after the other, some of them at once after the one before.
fn push_limits(rng: &mut Rng, time: Duration, steps: &mut Vec<Step>) {
    let target = rng.usize(..1_000);
    let end = 1.0 - QUIET_FRACTION;
    let mut at = QUIET_FRACTION + (0.5 - QUIET_FRACTION) * rng.f64();
    for _ in 0..rng.usize(1..=MAX_FAULTS_PER_SERIES) {
        let fault = Fault::RateLimit(target, rng.u32(MIN_LIMIT_TENTHS..=MAX_LIMIT_TENTHS));
        steps.push(Step { at: time.mul_f64(at), fault, starts: true });
        at += (end - at) * rng.f64();
        steps.push(Step { at: time.mul_f64(at), fault, starts: false });
        if rng.bool() {
            at += (end - at) * rng.f64();
        }
    }
}

fn random_connection_fault(rng: &mut Rng) -> Fault {
    let target = rng.usize(..1_000);
    match rng.u8(0..4) {
        0 => Fault::Link(target, LinkFault::Blackhole),
        1 => Fault::CallerLink(target, LinkFault::Blackhole),
        _ => Fault::CallerLink(target, random_link_fault(rng)),
    }
}

fn random_fault(rng: &mut Rng) -> Fault {
    let target = rng.usize(..1_000);
    match rng.u8(0..10) {
        0..=3 => Fault::Link(target, random_link_fault(rng)),
        4 | 5 => Fault::Entry(target, random_process_fault(rng)),
        6 | 7 => Fault::Backend(target, random_process_fault(rng)),
        8 => Fault::Store(match rng.u8(0..3) {
            0 => StoreFault::Down,
            1 => StoreFault::Slow(rng.u64(50..=3_000)),
            _ => StoreFault::LoseAnswers,
        }),
        _ => Fault::PolicyChange,
    }
}

fn random_link_fault(rng: &mut Rng) -> LinkFault {
    match rng.u8(0..5) {
        0 => LinkFault::Delay(rng.u64(5..=800)),
        1 => LinkFault::BlockUpstream,
        2 => LinkFault::BlockDownstream,
        3 => LinkFault::BlockBoth,
        _ => LinkFault::Reset,
    }
}

fn random_process_fault(rng: &mut Rng) -> ProcessFault {
    match rng.u8(0..3) {
        0 => ProcessFault::Kill,
        1 => ProcessFault::Stop,
        _ => ProcessFault::Pause,
    }
}
