//! The regions in which a request may run: those that its class and its account both allow.

use std::collections::BTreeSet;
use std::fmt;

use super::{Account, Class};

/// Stands for every region in text.
const ALL: &str = "-";
/// Stands for no region in text.
const NOWHERE: &str = "nowhere";

/// A set of regions by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Allowed {
    /// Every region.
    All,
    /// These regions; none if it is empty.
    Only(BTreeSet<String>),
}

impl Allowed {
    /// Returns the regions that a class allows.
    pub fn by_class(class: &Class) -> Self {
        Self::declared(&class.regions, class.closed)
    }

    /// Returns the regions that an account allows.
    pub fn by_account(account: &Account) -> Self {
        Self::declared(&account.regions, account.closed)
    }

    /// Returns the regions that a class and the account of a request both allow.
    pub fn of(class: &Class, account: Option<&Account>) -> Self {
        Self::by_class(class).and(account.map_or(Self::All, Self::by_account))
    }

    /// Operators name no region to allow all of them; a closed class or account allows none.
    fn declared(regions: &[String], closed: bool) -> Self {
        match regions {
            _ if closed => Self::Only(BTreeSet::new()),
            [] => Self::All,
            _ => Self::Only(regions.iter().cloned().collect()),
        }
    }

    /// Returns the regions that are in both sets.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::All, regions) | (regions, Self::All) => regions,
            (Self::Only(one), Self::Only(other)) => Self::Only(one.intersection(&other).cloned().collect()),
        }
    }

    /// Whether `region` is in the set.
    pub fn contains(&self, region: &str) -> bool {
        match self {
            Self::All => true,
            Self::Only(regions) => regions.contains(region),
        }
    }

    /// Whether every region of this set is in `other` too.
    pub fn is_within(&self, other: &Self) -> bool {
        match (self, other) {
            (_, Self::All) => true,
            (Self::All, Self::Only(_)) => false,
            (Self::Only(regions), Self::Only(others)) => regions.is_subset(others),
        }
    }

    /// Whether no region is in the set.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }

    /// Reads a set as log lines have it; see its `Display`.
    pub fn parse(text: &str) -> Self {
        match text {
            ALL => Self::All,
            NOWHERE => Self::Only(BTreeSet::new()),
            _ => Self::Only(text.split(',').map(str::to_owned).collect()),
        }
    }
}

/// Names, joined by commas; `-` for every region, `nowhere` for none.
impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All => f.write_str(ALL),
            Self::Only(regions) if regions.is_empty() => f.write_str(NOWHERE),
            Self::Only(regions) => f.write_str(&regions.iter().map(String::as_str).collect::<Vec<_>>().join(",")),
        }
    }
}
