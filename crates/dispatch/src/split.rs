//! Spreading the requests of a class over several services by weight.

/// A service's part of a class's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The service, by position.
    pub service: u16,
    /// Its weight among the parts.
    pub weight: u32,
}

/// Deals requests out so that each part has its share at any time, not only on average.
#[derive(Debug, Clone, Default)]
pub struct Split {
    shares: Vec<Share>,
    credits: Vec<i64>,
}

impl Split {
    /// A split between `parts`; parts without weight get nothing.
    pub fn new(shares: &[Share]) -> Self {
        let shares: Vec<Share> = shares.iter().copied().filter(|share| share.weight > 0).collect();
        let credits = vec![0; shares.len()];
        Self { shares, credits }
    }

    /// Whether the split is between `parts`.
    pub fn has_shares(&self, shares: &[Share]) -> bool {
        shares.iter().filter(|share| share.weight > 0).eq(self.shares.iter())
    }

    /// The service of the next request; `None` if there is no part.
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
