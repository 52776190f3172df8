//! Budgets for extra work, earned by ordinary work.

/// A budget that earns a part of a unit for each request and spends whole units.
#[derive(Debug, Clone)]
pub struct Budget {
    earned_per_request: f64,
    most: f64,
    level: f64,
}

impl Budget {
    /// A full budget of `most` units that earns `earned_per_request` for each request.
    pub const fn new(earned_per_request: f64, most: f64) -> Self {
        Self { earned_per_request, most, level: most }
    }

    /// Changes what is earned and how much can be saved up.
    pub fn set(&mut self, earned_per_request: f64, most: f64) {
        self.earned_per_request = earned_per_request;
        self.most = most;
        self.level = self.level.min(most);
    }

    /// Earns for one request.
    pub fn earn(&mut self) {
        self.level = (self.level + self.earned_per_request).min(self.most);
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
