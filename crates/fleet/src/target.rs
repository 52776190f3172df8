//! Random choice of gossip partners.

/// Iterates over the members in rounds, each in a new random order, so that every member is chosen once a round.
#[derive(Debug, Clone)]
pub struct Targets {
    /// Members left in this round; the next one is last.
    order: Vec<String>,
    rng: fastrand::Rng,
}

impl Targets {
    /// Creates an empty round; equal seeds give equal orders.
    pub fn new(seed: u64) -> Self {
        Self { order: Vec::new(), rng: fastrand::Rng::with_seed(seed) }
    }

    /// Returns the next member that `allowed` accepts; `members` fills the next round when this one is empty.
    ///
    /// Returns `None` if a whole new round has no such member.
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

    /// Returns up to `limit` random `members`.
    pub fn sample(&mut self, mut members: Vec<String>, limit: usize) -> Vec<String> {
        self.rng.shuffle(&mut members);
        members.truncate(limit);
        members
    }

    /// Returns `true` with a probability of one in `odds`.
    pub fn one_in(&mut self, odds: u32) -> bool {
        self.rng.u32(0..odds.max(1)) == 0
    }
}
