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
pub const STEP: f64 = 0.05;
/// Time over which a drained region loses its callers, and a returning one regains them.
pub const RAMP: Duration = Duration::from_secs(20);
/// Age beyond which a load report moves nothing.
pub const STALE: Duration = Duration::from_secs(15);

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
}

impl Load {
    fn share(&self) -> f64 {
        if self.slots <= 0.0 { 1.0 } else { self.busy / self.slots }
    }

    fn fresh(&self, now: Time) -> bool {
        now.since(self.at) <= STALE
    }

    /// Slots below the high-water mark that nobody uses.
    fn spare(&self, now: Time) -> f64 {
        if self.drained || !self.fresh(now) {
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
        Self {
            parts: (0..regions).map(row).collect(),
            open: vec![true; regions],
        }
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
    pub fn open(&self, region: RegionId) -> bool {
        self.open.get(usize::from(region)).copied().unwrap_or(false)
    }

    /// The part of `from`'s callers that goes to `to`.
    pub fn part(&self, from: RegionId, to: RegionId) -> f64 {
        self.parts
            .get(usize::from(from))
            .and_then(|row| row.get(usize::from(to)))
            .copied()
            .unwrap_or(0.0)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Region {
    /// Part moved away because of load.
    moved: f64,
    /// Part moved away because of a drain.
    drained: f64,
    stepped: Time,
    updated: Time,
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
        let region = Region {
            stepped: now,
            updated: now,
            ..Region::default()
        };
        Self {
            regions: vec![region; regions],
            shares: Shares::home(regions),
            settle: kept + STALE,
        }
    }

    /// The shares in force.
    pub const fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Takes in the regions' loads and moves the shares if it is time.
    pub fn update(&mut self, loads: &[Load], now: Time) {
        for from in 0..self.regions.len().min(loads.len()) {
            self.step_drain(from, loads[from].drained, now);
            self.step_load(from, loads, now);
        }
        let open = |load: &Load| !load.drained && (!load.fresh(now) || load.share() < HIGH_WATER);
        self.shares.open = loads.iter().map(open).collect();
        for from in 0..self.regions.len().min(loads.len()) {
            self.shares.parts[from] = self.row(from, loads, now);
        }
    }

    fn step_drain(&mut self, from: usize, drained: bool, now: Time) {
        let region = &mut self.regions[from];
        let change = now.since(region.updated).as_secs_f64() / RAMP.as_secs_f64();
        region.updated = now;
        let signed = if drained { change } else { -change };
        region.drained = (region.drained + signed).clamp(0.0, 1.0);
    }

    fn step_load(&mut self, from: usize, loads: &[Load], now: Time) {
        let load = &loads[from];
        let settled = now.since(self.regions[from].stepped) >= self.settle;
        if !settled || !load.fresh(now) {
            return;
        }
        let region = &mut self.regions[from];
        if load.share() > HIGH_WATER {
            let room = room(from, loads, now);
            region.moved = (region.moved + STEP.min(room)).min(1.0);
            region.stepped = now;
        } else if load.share() < LOW_WATER && region.moved > 0.0 {
            region.moved = (region.moved - STEP).max(0.0);
            region.stepped = now;
        }
    }

    /// The row of `from`: what moves goes to the others by their spare capacity.
    fn row(&self, from: usize, loads: &[Load], now: Time) -> Vec<f64> {
        let region = &self.regions[from];
        let away = region.moved.max(region.drained);
        let spare = |to: usize| if to == from { 0.0 } else { loads[to].spare(now) };
        let total: f64 = (0..loads.len()).map(spare).sum();
        let fallback = |to: usize| f64::from(u8::from(to != from && !loads[to].drained));
        let others: f64 = (0..loads.len()).map(fallback).sum();
        let part = |to: usize| match (total > 0.0, others > 0.0) {
            (true, _) => away * spare(to) / total,
            (false, true) => region.drained * fallback(to) / others,
            (false, false) => 0.0,
        };
        let mut row: Vec<f64> = (0..loads.len()).map(part).collect();
        row[from] = 1.0 - row.iter().sum::<f64>();
        row
    }
}

/// The largest part of `from`'s callers that the others can take, with each one's spare split between all.
fn room(from: usize, loads: &[Load], now: Time) -> f64 {
    let sources = loads.len().saturating_sub(1).max(1) as f64;
    let demand = loads[from].busy.max(1.0);
    let spare: f64 = loads
        .iter()
        .enumerate()
        .filter(|(to, _)| *to != from)
        .map(|(_, load)| load.spare(now))
        .sum();
    spare / sources / demand
}
