//! Budgets for extra work, earned by ordinary work.

/// A budget that earns a part of a unit for each request and spends whole units.
#[derive(Debug, Clone)]
pub struct Budget {
    ratio: f64,
    burst: f64,
    level: f64,
}

impl Budget {
    /// A full budget of `most` units that earns `earned_per_request` for each request.
    pub const fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, level: burst }
    }

    /// Changes what is earned and how much can be saved up.
    pub fn set(&mut self, ratio: f64, burst: f64) {
        self.ratio = ratio;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Earns for one request.
    pub fn earn(&mut self) {
        self.level = (self.level + self.ratio).min(self.burst);
    }

    /// Spends one unit if it is there; says whether it did.
    pub fn spend(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
