//! Budgets for extra attempts, earned by ordinary requests.

/// A budget that earns a fraction of an attempt for each request and spends whole attempts.
#[derive(Debug, Clone)]
pub struct Budget {
    ratio: f64,
    burst: f64,
    level: f64,
}

impl Budget {
    /// Creates a full budget of `burst` attempts that earns `ratio` of an attempt for each request.
    pub const fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, level: burst }
    }

    /// Replaces the ratio and the burst.
    pub fn set(&mut self, ratio: f64, burst: f64) {
        self.ratio = ratio;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Earns for one request.
    pub fn earn(&mut self) {
        self.level = (self.level + self.ratio).min(self.burst);
    }

    /// Spends one attempt if the budget holds one; returns whether it did.
    pub fn spend(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
