//! Look-ups of callers that state their region.
//!
//! Load pattern: some machines have a tenth of the processor and the link of others, and each caller picks one of the
//! addresses that it is told at random. So a caller is told of a small machine less often, in proportion to what the machine
//! can carry. A caller is always told of the same ones: it gives up connections to addresses that it is no longer told of.

use base::hash;

use crate::table::RegionId;
use crate::view::{Entry, Standing, View};

/// Number of entry instances that a caller is told of at least, if there are as many: one that fails costs it a third of its
/// choices then.
const MIN_NAMED: usize = 3;

/// Returns the positions in the view of up to `limit` entry instances for a caller in `region` with the hash `caller`.
///
/// Entry instances of its own region are named, so that callers spread over them; those of other regions only if its own has no
/// good one, and of these first the ones in its `homes`, regions in which its requests may run. Doubtful ones are named only if no
/// good one is left. `None` stands for any region.
pub fn look_up<F>(view: &View, region: Option<RegionId>, homes: F, caller: u64, limit: usize) -> Vec<u16>
where
    F: FnOnce() -> Vec<RegionId>,
{
    let matching = |worst: Standing, scope: &[RegionId]| {
        let entries = view.entries().iter().enumerate();
        let allowed =
            entries.filter(|(_, entry)| entry.standing <= worst && (scope.is_empty() || scope.contains(&entry.region)));
        allowed.map(|(position, entry)| (position as u16, entry)).collect::<Vec<_>>()
    };
    let own: Vec<RegionId> = region.into_iter().collect();
    let good = matching(Standing::Good, &own);
    if !good.is_empty() {
        return sample(good, caller, limit);
    }
    let homes = homes();
    let preferences = [
        (Standing::Good, homes.as_slice()),
        (Standing::Good, &[]),
        (Standing::Doubtful, &own),
        (Standing::Doubtful, &homes),
        (Standing::Doubtful, &[]),
    ];
    let found = preferences.into_iter().map(|(worst, scope)| matching(worst, scope));
    sample(found.into_iter().find(|found| !found.is_empty()).unwrap_or_default(), caller, limit)
}

/// Returns the largest entry instances, and each smaller one with a probability that is its capacity as a fraction of theirs.
fn sample(entries: Vec<(u16, &Entry)>, caller: u64, limit: usize) -> Vec<u16> {
    let largest = entries.iter().map(|(_, entry)| entry.capacity).max().unwrap_or(1).max(1);
    // The lower its rank, the likelier an instance is named; one of full capacity always is.
    let rank = |entry: &Entry| {
        let drawn = hash::unit_interval(hash::combine(caller, hash::bytes(entry.name.as_bytes())));
        drawn * f64::from(largest) / f64::from(entry.capacity.max(1))
    };
    let mut ranked: Vec<(f64, u16)> = entries.into_iter().map(|(position, entry)| (rank(entry), position)).collect();
    ranked.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
    let drawn = ranked.iter().take_while(|(rank, _)| *rank < 1.0).count();
    let mut named: Vec<u16> =
        ranked.into_iter().take(drawn.max(MIN_NAMED).min(limit)).map(|(_, position)| position).collect();
    named.sort_unstable();
    named
}
