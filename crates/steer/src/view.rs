//! What a daemon believes of the entry instances, prepared for look-ups.

use base::hash;

use crate::table::RegionId;

/// Most entry instances in one answer.
pub const MAX_ENTRIES: usize = 8;

/// Ranked lists kept for each region; a block always uses the same one.
const LISTS: usize = 1_024;

/// No entry instance.
const NONE: u16 = u16::MAX;

/// What is believed of an entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It serves.
    Good,
    /// It may be gone; it is named only if too few good ones are left.
    Doubtful,
    /// It is drained, leaving or dead.
    Out,
}

/// An entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Unique name.
    pub name: String,
    /// Where callers reach it, `IP:PORT`.
    pub address: String,
    /// Its region.
    pub region: RegionId,
    /// A number that differs between failure domains.
    pub domain: u16,
    /// What is believed of it.
    pub standing: Standing,
}

/// Entry instances with ranked lists for each region.
#[derive(Debug, Clone, Default)]
pub struct View {
    entries: Vec<Entry>,
    /// For each region, `LISTS` lists of `MAX_ENTRIES` positions in `entries`.
    lists: Vec<Vec<[u16; MAX_ENTRIES]>>,
}

impl View {
    /// Prepares the ranked lists of `regions` regions.
    pub fn new(entries: Vec<Entry>, regions: usize) -> Self {
        let seeds: Vec<u64> = entries.iter().map(|entry| hash::bytes(entry.name.as_bytes())).collect();
        let lists = (0..regions).map(|region| rank_region(&entries, &seeds, region as RegionId)).collect();
        Self { entries, lists }
    }

    /// Whether a region has an entry instance to name.
    pub fn has_entries(&self, region: RegionId) -> bool {
        let lists = self.lists.get(usize::from(region));
        lists.and_then(|lists| lists.first()).is_some_and(|list| list[0] != NONE)
    }

    /// The ranked entry instances of `region` for the block hashed to `key`.
    pub fn ranked(&self, region: RegionId, key: u64) -> impl Iterator<Item = u16> + '_ {
        let list = self.lists.get(usize::from(region)).and_then(|lists| lists.get(key as usize % LISTS));
        let list = list.copied().unwrap_or([NONE; MAX_ENTRIES]);
        list.into_iter().take_while(|position| *position != NONE)
    }

    /// The entry instance at `position`.
    pub fn entry(&self, position: u16) -> Option<&Entry> {
        self.entries.get(usize::from(position))
    }

    /// All entry instances.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Number of regions.
    pub const fn regions(&self) -> usize {
        self.lists.len()
    }
}

fn rank_region(entries: &[Entry], seeds: &[u64], region: RegionId) -> Vec<[u16; MAX_ENTRIES]> {
    let usable = usable(entries, region);
    if usable.is_empty() {
        return Vec::new();
    }
    (0..LISTS as u64).map(|key| rank(entries, seeds, &usable, key)).collect()
}

/// Positions of the entry instances of `region` that may be named.
///
/// When fewer than half are good, the doubtful ones count too: a wrong list must not empty a region.
fn usable(entries: &[Entry], region: RegionId) -> Vec<u16> {
    let with = |worst: Standing| {
        let inside = entries.iter().enumerate().filter(|(_, entry)| entry.region == region && entry.standing <= worst);
        inside.map(|(position, _)| position as u16).collect::<Vec<_>>()
    };
    let good = with(Standing::Good);
    let all = with(Standing::Doubtful);
    if good.len() * 2 < all.len() { all } else { good }
}

/// The best entry instances for `key`: the second is of another failure domain if there is one.
fn rank(entries: &[Entry], seeds: &[u64], usable: &[u16], key: u64) -> [u16; MAX_ENTRIES] {
    let mut scored: Vec<(u64, u16)> =
        usable.iter().map(|position| (hash::combine(key, seeds[usize::from(*position)]), *position)).collect();
    scored.sort_unstable_by(|one, other| other.cmp(one));
    let domain = |position: u16| entries[usize::from(position)].domain;
    let first = domain(scored[0].1);
    let other = scored.iter().position(|(_, position)| domain(*position) != first);
    if let Some(other) = other {
        scored[1..=other].rotate_right(1);
    }
    let mut list = [NONE; MAX_ENTRIES];
    for (cell, (_, position)) in list.iter_mut().zip(scored) {
        *cell = position;
    }
    list
}
