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
    parts: Vec<Share>,
    credits: Vec<i64>,
}

impl Split {
    /// A split between `parts`; parts without weight get nothing.
    pub fn new(parts: &[Share]) -> Self {
        let parts: Vec<Share> = parts.iter().copied().filter(|part| part.weight > 0).collect();
        let credits = vec![0; parts.len()];
        Self { parts, credits }
    }

    /// Whether the split is between `parts`.
    pub fn is_between(&self, parts: &[Share]) -> bool {
        parts.iter().filter(|part| part.weight > 0).eq(self.parts.iter())
    }

    /// The service of the next request; `None` if there is no part.
    pub fn deal(&mut self) -> Option<u16> {
        let total: i64 = self.parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(&self.parts) {
            *credit += i64::from(part.weight);
        }
        let (chosen, credit) =
            self.credits.iter_mut().enumerate().max_by_key(|(index, credit)| (**credit, usize::MAX - index))?;
        *credit -= total;
        Some(self.parts[chosen].service)
    }
}
