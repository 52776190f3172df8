//! Which part of the objects has its first home near.
//!
//! Load pattern: a region with few servers and many callers. If each request went far only when the near servers
//! are full, the part that goes far would swing with every burst, and so would the load of the other regions.
//! Instead a part of the objects lives far at all times; it follows the load of the near servers in small steps.

use std::time::Duration;

use base::time::Time;

/// Time between two steps.
const EVERY: Duration = Duration::from_millis(500);
/// Largest change in one step; a window of two seconds sees four of them.
const STEP: f64 = 0.015;
/// Load of the near servers, in requests for each slot, above which objects move away.
const HIGH: f64 = 0.9;
/// Load of the near servers below which objects come back.
const LOW: f64 = 0.65;
/// Looks at the load beyond which more make no word weightier.
const MOST_WEIGHT: u32 = 20;
/// Part of a new load in the average.
const NEW_PART: f64 = 0.25;
/// How much of its even part of all slots a region is trusted to carry at first: all objects are new to their
/// servers then, and work on them takes several times as long.
const FIRST: f64 = 0.5;

/// The part of a service's objects that live near.
#[derive(Debug, Clone)]
pub struct Share {
    part: f64,
    load: f64,
    stepped: Time,
    /// Looks at the load that the part rests on.
    steps: u32,
}

impl Share {
    /// The first part, when `near` of `all` slots are near and `regions` regions have equal callers.
    pub fn new(near: f64, all: f64, regions: usize, now: Time) -> Self {
        let even = if all > 0.0 { regions as f64 * near / all } else { 1.0 };
        let part = if even < 1.0 { even * FIRST } else { 1.0 };
        Self { part, load: LOW, stepped: now, steps: 0 }
    }

    /// Whether the object at `place`, from 0 to 1, has its first home near.
    pub fn is_near(&self, place: f64) -> bool {
        place < self.part
    }

    /// The part.
    pub const fn part(&self) -> f64 {
        self.part
    }

    /// How many looks at the load the part rests on.
    pub const fn steps(&self) -> u32 {
        self.steps
    }

    /// Takes in what another daemon of the region has come to, so that both send an object to the same place. Each
    /// word weighs by the looks that it rests on.
    pub fn meet(&mut self, part: f64, steps: u32) {
        let (own, other) = (f64::from(self.steps.min(MOST_WEIGHT)), f64::from(steps.min(MOST_WEIGHT)));
        if other > 0.0 {
            self.part += (part - self.part) * other / (own + other);
            self.steps = self.steps.max(steps);
        }
    }

    /// Whether the next step is due.
    pub fn due(&self, now: Time) -> bool {
        now.since(self.stepped) >= EVERY
    }

    /// Takes in the load of the near servers, in requests for each slot, and makes a step if it calls for one.
    pub fn step(&mut self, load: f64, now: Time) {
        self.stepped = now;
        self.steps = self.steps.saturating_add(1);
        self.load += NEW_PART * (load - self.load);
        if self.load > HIGH {
            self.part = (self.part - STEP).max(0.0);
        } else if self.load < LOW {
            self.part = (self.part + STEP).min(1.0);
        }
    }
}
