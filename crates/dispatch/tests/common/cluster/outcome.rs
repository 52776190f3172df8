//! What became of the requests.

use super::Cluster;

/// Counts of the requests of one region's callers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub asked: u32,
    pub good: u32,
    pub answered: u32,
    pub refused: u32,
}

impl Cluster {
    /// Sums up the requests that arrived from second `from` up to `to`, of all regions.
    pub fn outcome(&self, from: u64, to: u64) -> Outcome {
        let inside = self.outcomes.iter().filter(|((second, _), _)| (from..to).contains(second));
        inside.fold(Outcome::default(), |sum, (_, one)| Outcome {
            asked: sum.asked + one.asked,
            good: sum.good + one.good,
            answered: sum.answered + one.answered,
            refused: sum.refused + one.refused,
        })
    }

    /// Returns the fraction of the requests of `caller`'s region that ran in `region`, in the two seconds from
    /// `second` on.
    pub fn ran_fraction(&self, second: u64, caller: u16, region: u16) -> f64 {
        let ran = (second..second + 2).filter_map(|second| self.ran.get(&(second, caller)));
        let (mut inside, mut all) = (0, 0);
        for counts in ran {
            inside += counts.get(&region).copied().unwrap_or(0);
            all += counts.values().sum::<u32>();
        }
        f64::from(inside) / f64::from(all.max(1))
    }
}
