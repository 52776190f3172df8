//! The order in which a daemon speaks with the others.

/// Goes through the members in a random order, anew for each round, so that each is met once a round.
#[derive(Debug, Clone)]
pub struct Targets {
    order: Vec<String>,
    rng: fastrand::Rng,
}

impl Targets {
    /// Equal seeds make equal orders.
    pub fn new(seed: u64) -> Self {
        Self { order: Vec::new(), rng: fastrand::Rng::with_seed(seed) }
    }

    /// The next member for which `allowed` holds; `members` refills the round.
    pub fn next_allowed<'a, I, F>(&mut self, members: I, allowed: F) -> Option<String>
    where
        I: Iterator<Item = &'a String>,
        F: Fn(&str) -> bool,
    {
        while let Some(name) = self.order.pop() {
            if allowed(&name) {
                return Some(name);
            }
        }
        self.order = members.cloned().collect();
        self.rng.shuffle(&mut self.order);
        while let Some(name) = self.order.pop() {
            if allowed(&name) {
                return Some(name);
            }
        }
        None
    }

    /// Up to `most` of `members`, at random.
    pub fn sample(&mut self, mut members: Vec<String>, most: usize) -> Vec<String> {
        self.rng.shuffle(&mut members);
        members.truncate(most);
        members
    }

    /// Whether a chance of one in `times` comes up.
    pub fn one_in(&mut self, times: u32) -> bool {
        self.rng.u32(0..times.max(1)) == 0
    }
}
