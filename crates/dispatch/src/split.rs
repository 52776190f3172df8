//! Splits the requests of a class over several services by weight.

/// A service's share of the requests of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The service, by position in the list of services.
    pub service: u16,
    /// Its weight relative to the other shares.
    pub weight: u32,
}

/// Weighted round-robin over services: each gets its share at any time, not only on average.
#[derive(Debug, Clone, Default)]
pub struct Split {
    shares: Vec<Share>,
    /// For each share, the weight that it has accumulated; the highest one gets the next request.
    credits: Vec<i64>,
}

impl Split {
    /// Creates a split; shares with weight zero get nothing.
    pub fn new(shares: &[Share]) -> Self {
        let shares: Vec<Share> = shares.iter().copied().filter(|share| share.weight > 0).collect();
        let credits = vec![0; shares.len()];
        Self { shares, credits }
    }

    /// Returns whether the split has these shares.
    pub fn has_shares(&self, shares: &[Share]) -> bool {
        shares.iter().filter(|share| share.weight > 0).eq(self.shares.iter())
    }

    /// Returns the service of the next request; `None` if there are no shares.
    pub fn next_service(&mut self) -> Option<u16> {
        let total: i64 = self.shares.iter().map(|share| i64::from(share.weight)).sum();
        for (credit, share) in self.credits.iter_mut().zip(&self.shares) {
            *credit += i64::from(share.weight);
        }
        let (chosen, credit) =
            self.credits.iter_mut().enumerate().max_by_key(|(index, credit)| (**credit, usize::MAX - index))?;
        *credit -= total;
        Some(self.shares[chosen].service)
    }
}
