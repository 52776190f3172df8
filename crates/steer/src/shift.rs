//! How much of each region's callers is steered elsewhere.
//!
//! Callers keep old answers and reports come late, so a shift moves in small steps, each of which waits until
//! the one before has shown its effect. All daemons may step on the same stale report at once: the spare
//! capacity of a region is split between the others, so the steps together fit into it.

use std::time::Duration;

use base::time::Time;

use crate::table::RegionId;

/// Load above which a region sheds callers.
pub const HIGH_WATER: f64 = 0.80;
/// Load below which a region takes its callers back.
pub const LOW_WATER: f64 = 0.60;
/// Largest part of a region's callers moved in one step.
pub const MAX_STEP: f64 = 0.05;
/// Time over which a drained region loses its callers, and a returning one regains them.
pub const RAMP_TIME: Duration = Duration::from_secs(20);
/// Age beyond which a load report moves nothing.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(15);

/// What is known of a region's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests running, over all backend servers.
    pub busy: f64,
    /// Requests that can run at once.
    pub slots: f64,
    /// When this was true.
    pub at: Time,
    /// Whether the region is drained.
    pub drained: bool,
    /// Whether none of its entry instances serves.
    pub down: bool,
}

impl Load {
    fn share(&self) -> f64 {
        if self.slots <= 0.0 { 1.0 } else { self.busy / self.slots }
    }

    fn fresh(&self, now: Time) -> bool {
        now.since(self.at) <= MAX_REPORT_AGE
    }

    /// Slots below the high-water mark that nobody uses.
    fn spare(&self, now: Time) -> f64 {
        if self.drained || self.down || !self.fresh(now) {
            return 0.0;
        }
        (self.slots * HIGH_WATER - self.busy).max(0.0)
    }
}

/// For each region, which part of its callers goes where.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Shares {
    /// `parts[from][to]`; each row sums to one.
    parts: Vec<Vec<f64>>,
    open: Vec<bool>,
}

impl Shares {
    /// Everyone stays at home.
    pub fn home(regions: usize) -> Self {
        let row = |from: usize| (0..regions).map(|to| f64::from(u8::from(from == to))).collect();
        Self { parts: (0..regions).map(row).collect(), open: vec![true; regions] }
    }

    /// The region of a block whose home is `home` and whose hash maps to `unit`, from zero to one.
    pub fn region(&self, home: RegionId, unit: f64) -> RegionId {
        let Some(row) = self.parts.get(usize::from(home)) else {
            return home;
        };
        let mut left = unit - row[usize::from(home)];
        if left < 0.0 {
            return home;
        }
        for (to, part) in row.iter().enumerate().filter(|(to, _)| *to != usize::from(home)) {
            left -= part;
            if left < 0.0 {
                return to as RegionId;
            }
        }
        home
    }

    /// Whether callers of other regions may be sent to `region`.
    pub fn accepts_callers(&self, region: RegionId) -> bool {
        self.open.get(usize::from(region)).copied().unwrap_or(false)
    }

    /// The part of `from`'s callers that goes to `to`.
    pub fn share(&self, from: RegionId, to: RegionId) -> f64 {
        self.parts.get(usize::from(from)).and_then(|row| row.get(usize::from(to))).copied().unwrap_or(0.0)
    }
}

#[derive(Debug, Clone, Default)]
struct Region {
    /// Part moved away because of load.
    moved: f64,
    /// Part moved away because of a drain.
    drained: f64,
    /// What the others could take when the first step was made, in slots; their later reports only hold a
    /// step back, since a report that does not show our steps may be frozen or wrong.
    room: Vec<f64>,
    /// Our own load when the first step was made, in slots.
    demand: f64,
    stepped: Time,
    updated: Time,
}

impl Region {
    /// The largest part that fits into what the others could take.
    fn most(&self) -> f64 {
        (self.room.iter().sum::<f64>() / self.demand.max(1.0)).min(1.0)
    }
}

/// Moves callers between regions, step by step.
#[derive(Debug, Clone)]
pub struct Controller {
    regions: Vec<Region>,
    shares: Shares,
    /// Time a step needs to show its effect.
    settle: Duration,
}

impl Controller {
    /// A controller for `regions` regions whose callers keep answers for `kept`.
    pub fn new(regions: usize, kept: Duration, now: Time) -> Self {
        let region = Region { stepped: now, updated: now, ..Region::default() };
        Self { regions: vec![region; regions], shares: Shares::home(regions), settle: kept + MAX_REPORT_AGE }
    }

    /// The shares in force.
    pub const fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Takes in the regions' loads and moves the shares if it is time.
    pub fn update(&mut self, loads: &[Load], now: Time) {
        for from in 0..self.regions.len().min(loads.len()) {
            self.step_drain(from, &loads[from], now);
            self.step_load(from, loads, now);
        }
        let open = |load: &Load| !load.drained && !load.down && (!load.fresh(now) || load.share() < HIGH_WATER);
        self.shares.open = loads.iter().map(open).collect();
        for from in 0..self.regions.len().min(loads.len()) {
            self.shares.parts[from] = self.row(from, loads, now);
        }
    }

    /// A drained region loses its callers, and a returning one with its cold caches regains them, step by step;
    /// one that is gone has lost them.
    fn step_drain(&mut self, from: usize, load: &Load, now: Time) {
        let region = &mut self.regions[from];
        let change = now.since(region.updated).as_secs_f64() / RAMP_TIME.as_secs_f64();
        region.updated = now;
        let signed = if load.drained { change } else { -change };
        region.drained = if load.down { 1.0 } else { (region.drained + signed).clamp(0.0, 1.0) };
    }

    fn step_load(&mut self, from: usize, loads: &[Load], now: Time) {
        let load = &loads[from];
        let region = &mut self.regions[from];
        if now.since(region.stepped) < self.settle || !load.fresh(now) {
            return;
        }
        if load.share() > HIGH_WATER {
            if region.moved <= 0.0 {
                region.room = rooms(from, loads, now);
                region.demand = load.busy;
            }
            let others_full = rooms(from, loads, now).iter().sum::<f64>() <= 0.0;
            let most = if others_full { region.moved } else { region.most() };
            region.moved = (region.moved + MAX_STEP).min(most);
            region.stepped = now;
        } else if load.share() < LOW_WATER && region.moved > 0.0 {
            region.moved = (region.moved - MAX_STEP).max(0.0);
            region.stepped = now;
        }
    }

    /// The row of `from`: what moves goes to the others by what they can take.
    fn row(&self, from: usize, loads: &[Load], now: Time) -> Vec<f64> {
        let region = &self.regions[from];
        let mut row = vec![0.0; loads.len()];
        if region.drained > region.moved {
            let spare = rooms(from, loads, now);
            let open = |to: usize| f64::from(u8::from(to != from && !loads[to].drained && !loads[to].down));
            let even: Vec<f64> = (0..loads.len()).map(open).collect();
            let known = spare.iter().sum::<f64>() > 0.0;
            spread(&mut row, region.drained, if known { &spare } else { &even });
        } else {
            let open: Vec<f64> = region
                .room
                .iter()
                .zip(loads)
                .map(|(room, load)| if load.drained || load.down { 0.0 } else { *room })
                .collect();
            // What a drained region was to take stays at home.
            let left = open.iter().sum::<f64>() / region.room.iter().sum::<f64>().max(f64::EPSILON);
            spread(&mut row, region.moved * left, &open);
        }
        row[from] = 1.0 - row.iter().sum::<f64>();
        row
    }
}

/// Spreads `part` over `row` by `weights`; without any weight nothing moves.
fn spread(row: &mut [f64], part: f64, weights: &[f64]) {
    let total: f64 = weights.iter().sum();
    if total <= 0.0 {
        return;
    }
    for (cell, weight) in row.iter_mut().zip(weights) {
        *cell = part * weight / total;
    }
}

/// What each other region can take from `from`, in slots: its spare ones, split between all that may come.
fn rooms(from: usize, loads: &[Load], now: Time) -> Vec<f64> {
    let sources = loads.len().saturating_sub(1).max(1) as f64;
    let room = |(to, load): (usize, &Load)| if to == from { 0.0 } else { load.spare(now) / sources };
    loads.iter().enumerate().map(room).collect()
}
