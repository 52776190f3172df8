//! Sets of regions that may run a request.

/// A set of regions, by position in the list of regions. Regions from position 64 on are in no set but [`Set::ALL`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Set(u64);

impl Set {
    /// Every region, those from position 64 on included.
    pub const ALL: Self = Self(u64::MAX);

    /// No region.
    pub const NONE: Self = Self(0);

    /// Returns the set of `regions`; an empty list stands for all.
    pub fn of(regions: &[u16]) -> Self {
        if regions.is_empty() {
            return Self::ALL;
        }
        Self(regions.iter().filter_map(|region| 1_u64.checked_shl(u32::from(*region))).fold(0, |set, one| set | one))
    }

    /// Whether `region` is in the set.
    pub fn contains(self, region: u16) -> bool {
        self == Self::ALL || 1_u64.checked_shl(u32::from(region)).is_some_and(|one| self.0 & one != 0)
    }
}
