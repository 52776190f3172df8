//! The entry instances with their standing, ranked in advance for look-ups.

use base::hash;

use crate::table::RegionId;

/// Maximum number of entry instances in one answer.
pub const MAX_ENTRIES: usize = 8;

/// Number of ranked lists for each region; a block always uses the same one.
const LISTS: usize = 1_024;

/// Marks the unused places of a ranked list.
const NO_ENTRY: u16 = u16::MAX;

/// Whether an entry instance may be named to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It serves.
    Good,
    /// It may be dead; it is named only if too few good ones are left.
    Doubtful,
    /// It is drained, leaving or dead.
    Out,
}

/// An entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Unique name.
    pub name: String,
    /// Address for callers, `IP:PORT`.
    pub address: String,
    /// Its region.
    pub region: RegionId,
    /// A number that identifies its failure domain.
    pub domain: u16,
    /// Whether it may be named to callers.
    pub standing: Standing,
    /// Requests per second that its machine can carry, relative to the others.
    pub capacity: u32,
}

/// Entry instances with ranked lists for each region.
#[derive(Debug, Clone, Default)]
pub struct View {
    entries: Vec<Entry>,
    /// For each region, `LISTS` lists of `MAX_ENTRIES` positions in `entries`.
    lists: Vec<Vec<[u16; MAX_ENTRIES]>>,
}

impl View {
    /// Creates the ranked lists of `regions` regions.
    pub fn new(entries: Vec<Entry>, regions: usize) -> Self {
        let seeds: Vec<u64> = entries.iter().map(|entry| hash::bytes(entry.name.as_bytes())).collect();
        let lists = (0..regions).map(|region| rank_region(&entries, &seeds, region as RegionId)).collect();
        Self { entries, lists }
    }

    /// Whether `region` has an entry instance to name.
    pub fn has_entries(&self, region: RegionId) -> bool {
        let lists = self.lists.get(usize::from(region));
        lists.and_then(|lists| lists.first()).is_some_and(|list| list[0] != NO_ENTRY)
    }

    /// Returns the positions of the ranked entry instances of `region` for the block with the hash `key`.
    pub fn ranked(&self, region: RegionId, key: u64) -> impl Iterator<Item = u16> + '_ {
        let list = self.lists.get(usize::from(region)).and_then(|lists| lists.get(key as usize % LISTS));
        let list = list.copied().unwrap_or([NO_ENTRY; MAX_ENTRIES]);
        list.into_iter().take_while(|position| *position != NO_ENTRY)
    }

    /// Returns the entry instance at `position`; `None` if there is none.
    pub fn entry(&self, position: u16) -> Option<&Entry> {
        self.entries.get(usize::from(position))
    }

    /// Returns the position of the entry instance `name`; `None` if there is none.
    pub fn position(&self, name: &str) -> Option<u16> {
        let position = self.entries.iter().position(|entry| entry.name == name)?;
        u16::try_from(position).ok()
    }

    /// Returns all entry instances.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the number of regions.
    pub const fn regions(&self) -> usize {
        self.lists.len()
    }
}

/// Ranks the entry instances of `region` for each list; returns no lists if none may be named.
fn rank_region(entries: &[Entry], seeds: &[u64], region: RegionId) -> Vec<[u16; MAX_ENTRIES]> {
    let usable = usable(entries, region);
    if usable.is_empty() {
        return Vec::new();
    }
    (0..LISTS as u64).map(|key| rank(entries, seeds, &usable, key)).collect()
}

/// Returns the positions of the entry instances of `region` that may be named.
///
/// If fewer than half are good, the doubtful ones are included: a wrong list of instances must not empty a region.
fn usable(entries: &[Entry], region: RegionId) -> Vec<u16> {
    let up_to = |worst: Standing| {
        let matching =
            entries.iter().enumerate().filter(|(_, entry)| entry.region == region && entry.standing <= worst);
        matching.map(|(position, _)| position as u16).collect::<Vec<_>>()
    };
    let good = up_to(Standing::Good);
    let all = up_to(Standing::Doubtful);
    if good.len() * 2 < all.len() { all } else { good }
}

/// Returns the best entry instances for `key`; the second one is in another failure domain than the first if possible.
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
    let mut list = [NO_ENTRY; MAX_ENTRIES];
    for (cell, (_, position)) in list.iter_mut().zip(scored) {
        *cell = position;
    }
    list
}
