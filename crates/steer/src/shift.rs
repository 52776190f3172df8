//! Shares of each region's callers that are steered to other regions.
//!
//! Callers keep old answers and load reports arrive late, so shares change in small steps. Each step waits until the
//! one before has shown its effect. All daemons may take a step on the same stale report at once: the spare capacity
//! of a region is divided between the others, so that all steps together fit into it.

use std::time::Duration;

use base::time::Time;

use crate::table::RegionId;

/// Utilization above which callers are moved away from a region.
pub const HIGH_WATER: f64 = 0.80;
/// Utilization below which a region gets its callers back.
pub const LOW_WATER: f64 = 0.60;
/// Largest fraction of a region's callers that is moved in one step.
pub const MAX_STEP: f64 = 0.05;
/// Time over which a drained region loses all its callers, and over which a returning one regains them.
pub const RAMP_TIME: Duration = Duration::from_secs(20);
/// Age above which a load report moves no callers.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(15);

/// The reported load of a region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests running on all backend servers together.
    pub busy: f64,
    /// Requests that can run at once.
    pub slots: f64,
    /// When the load was measured.
    pub at: Time,
    /// Whether the region is drained.
    pub drained: bool,
    /// Whether none of its entry instances serves.
    pub down: bool,
}

impl Load {
    /// Returns the fraction of the slots in use; 1 for a region without slots.
    fn utilization(&self) -> f64 {
        if self.slots <= 0.0 { 1.0 } else { self.busy / self.slots }
    }

    fn is_fresh(&self, now: Time) -> bool {
        now.since(self.at) <= MAX_REPORT_AGE
    }

    /// Returns the free slots below the high-water mark; zero for a region that can take no callers.
    fn spare_slots(&self, now: Time) -> f64 {
        if self.drained || self.down || !self.is_fresh(now) {
            return 0.0;
        }
        (self.slots * HIGH_WATER - self.busy).max(0.0)
    }
}

/// For each region, the fractions of its callers that are steered to each region.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Shares {
    /// `fractions[from][to]`; each row sums to one.
    fractions: Vec<Vec<f64>>,
    /// Whether callers of other regions may be sent to a region.
    accepting: Vec<bool>,
}

impl Shares {
    /// Creates shares that keep all callers in their home region.
    pub fn home(regions: usize) -> Self {
        let row = |from: usize| (0..regions).map(|to| f64::from(u8::from(from == to))).collect();
        Self { fractions: (0..regions).map(row).collect(), accepting: vec![true; regions] }
    }

    /// Returns the region for a block of callers whose home is `home`; `unit` is the block's hash, mapped to 0 to 1.
    pub fn region(&self, home: RegionId, unit: f64) -> RegionId {
        let Some(row) = self.fractions.get(usize::from(home)) else {
            return home;
        };
        let mut left = unit - row[usize::from(home)];
        if left < 0.0 {
            return home;
        }
        for (to, fraction) in row.iter().enumerate().filter(|(to, _)| *to != usize::from(home)) {
            left -= fraction;
            if left < 0.0 {
                return to as RegionId;
            }
        }
        home
    }

    /// Whether callers of other regions may be sent to `region`.
    pub fn accepts_callers(&self, region: RegionId) -> bool {
        self.accepting.get(usize::from(region)).copied().unwrap_or(false)
    }

    /// Returns the fraction of `from`'s callers that is steered to `to`; zero for unknown regions.
    pub fn share(&self, from: RegionId, to: RegionId) -> f64 {
        self.fractions.get(usize::from(from)).and_then(|row| row.get(usize::from(to))).copied().unwrap_or(0.0)
    }
}

#[derive(Debug, Clone, Default)]
struct Region {
    /// Fraction of the callers moved away because of load.
    shed: f64,
    /// Fraction of the callers moved away because of a drain.
    drained: f64,
    /// Slots that each other region could take when the first step was made. Their later reports only hold a step back,
    /// since a report that does not show the effect of our steps may be frozen or wrong.
    spare: Vec<f64>,
    /// Slots in use in this region when the first step was made.
    demand: f64,
    /// When `shed` last changed.
    stepped_at: Time,
    /// When `drained` was last updated.
    updated_at: Time,
}

impl Region {
    /// Returns the largest fraction of the callers that fits into what the others could take.
    fn max_shed(&self) -> f64 {
        (self.spare.iter().sum::<f64>() / self.demand.max(1.0)).min(1.0)
    }
}

/// Moves callers between regions in steps.
#[derive(Debug, Clone)]
pub struct Controller {
    regions: Vec<Region>,
    shares: Shares,
    /// Time after which a step has shown its effect.
    settle_time: Duration,
}

impl Controller {
    /// Creates a controller for `regions` regions whose callers keep answers for `answer_ttl`.
    pub fn new(regions: usize, answer_ttl: Duration, now: Time) -> Self {
        let region = Region { stepped_at: now, updated_at: now, ..Region::default() };
        Self { regions: vec![region; regions], shares: Shares::home(regions), settle_time: answer_ttl + MAX_REPORT_AGE }
    }

    /// Returns the shares in force.
    pub const fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Updates the shares from `loads`, the loads of the regions by position.
    pub fn update(&mut self, loads: &[Load], now: Time) {
        for from in 0..self.regions.len().min(loads.len()) {
            self.step_drain(from, &loads[from], now);
            self.step_load(from, loads, now);
        }
        let accepting =
            |load: &Load| !load.drained && !load.down && (!load.is_fresh(now) || load.utilization() < HIGH_WATER);
        self.shares.accepting = loads.iter().map(accepting).collect();
        for from in 0..self.regions.len().min(loads.len()) {
            self.shares.fractions[from] = self.row(from, loads, now);
        }
    }

    /// Moves callers away from a drained region step by step, and back when it returns, since its caches are cold
    /// then; a region that is down has lost them all.
    fn step_drain(&mut self, from: usize, load: &Load, now: Time) {
        let region = &mut self.regions[from];
        let change = now.since(region.updated_at).as_secs_f64() / RAMP_TIME.as_secs_f64();
        region.updated_at = now;
        let signed = if load.drained { change } else { -change };
        region.drained = if load.down { 1.0 } else { (region.drained + signed).clamp(0.0, 1.0) };
    }

    /// Moves callers away from a region above the high-water mark, and back below the low-water mark.
    fn step_load(&mut self, from: usize, loads: &[Load], now: Time) {
        let load = &loads[from];
        let region = &mut self.regions[from];
        if now.since(region.stepped_at) < self.settle_time || !load.is_fresh(now) {
            return;
        }
        if load.utilization() > HIGH_WATER {
            if region.shed <= 0.0 {
                region.spare = spare_slots(from, loads, now);
                region.demand = load.busy;
            }
            let others_full = spare_slots(from, loads, now).iter().sum::<f64>() <= 0.0;
            let limit = if others_full { region.shed } else { region.max_shed() };
            region.shed = (region.shed + MAX_STEP).min(limit);
            region.stepped_at = now;
        } else if load.utilization() < LOW_WATER && region.shed > 0.0 {
            region.shed = (region.shed - MAX_STEP).max(0.0);
            region.stepped_at = now;
        }
    }

    /// Returns the fractions of `from`: what is moved away is divided between the others by what they can take.
    fn row(&self, from: usize, loads: &[Load], now: Time) -> Vec<f64> {
        let region = &self.regions[from];
        let mut row = vec![0.0; loads.len()];
        if region.drained > region.shed {
            let spare = spare_slots(from, loads, now);
            let usable = |to: usize| f64::from(u8::from(to != from && !loads[to].drained && !loads[to].down));
            let even: Vec<f64> = (0..loads.len()).map(usable).collect();
            let any_spare = spare.iter().sum::<f64>() > 0.0;
            distribute(&mut row, region.drained, if any_spare { &spare } else { &even });
        } else {
            let usable: Vec<f64> = region
                .spare
                .iter()
                .zip(loads)
                .map(|(spare, load)| if load.drained || load.down { 0.0 } else { *spare })
                .collect();
            // The fraction that was meant for drained regions stays at home.
            let left = usable.iter().sum::<f64>() / region.spare.iter().sum::<f64>().max(f64::EPSILON);
            distribute(&mut row, region.shed * left, &usable);
        }
        row[from] = 1.0 - row.iter().sum::<f64>();
        row
    }
}

/// Divides `fraction` between the cells of `row` by `weights`; does nothing if all weights are zero.
fn distribute(row: &mut [f64], fraction: f64, weights: &[f64]) {
    let total: f64 = weights.iter().sum();
    if total <= 0.0 {
        return;
    }
    for (cell, weight) in row.iter_mut().zip(weights) {
        *cell = fraction * weight / total;
    }
}

/// Returns the slots that each region can take from `from`: its spare ones, divided between all possible sources.
fn spare_slots(from: usize, loads: &[Load], now: Time) -> Vec<f64> {
    let sources = loads.len().saturating_sub(1).max(1) as f64;
    let spare = |(to, load): (usize, &Load)| if to == from { 0.0 } else { load.spare_slots(now) / sources };
    loads.iter().enumerate().map(spare).collect()
}
