//! Look-ups of callers that state their region.
//!
//! Load pattern: some machines have a tenth of the processor and the link of others, and each caller picks one of the
//! addresses that it is told at random. So a caller is told of a small machine less often, in proportion to what the machine
//! can carry. A caller is always told of the same ones: it gives up connections to addresses that it is no longer told of.

use std::time::Duration;

use base::hash;

use crate::table::RegionId;
use crate::view::{Entry, Standing, View};

/// Number of entry instances that a caller is told of at least, if there are as many: one that fails costs it a third of its
/// choices then.
const MIN_NAMED: usize = 3;

/// Time for which callers may keep an answer that names an instance that leaves.
pub const LEAVING_TTL: Duration = Duration::from_secs(1);

/// The instance that answers, while it leaves and still takes connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leaving {
    /// Its position in the view.
    pub position: u16,
    /// For how long it takes new connections.
    pub open_for: Duration,
}

/// Entry instances to name if the caller's region has no good one.
#[derive(Debug, Clone, Copy)]
enum Group {
    /// Good ones of the homes.
    GoodHomes,
    /// The one that answers, if it leaves, is of the caller's region and takes connections for as long as the answer may be kept,
    /// or if the caller's requests may not run everywhere.
    LeavingOwn,
    /// Good ones of any region.
    Good,
    /// Doubtful ones of the caller's region.
    DoubtfulOwn,
    /// Doubtful ones of the homes.
    DoubtfulHomes,
    /// Doubtful ones of any region.
    Doubtful,
    /// The one that answers, if it leaves.
    Leaving,
}

/// The order of preference.
const ORDER: [Group; 7] = [
    Group::GoodHomes,
    Group::LeavingOwn,
    Group::Good,
    Group::DoubtfulOwn,
    Group::DoubtfulHomes,
    Group::Doubtful,
    Group::Leaving,
];

/// Returns the positions in the view of up to `limit` entry instances for a caller in `region` with the hash `caller`.
///
/// Entry instances of its own region are named, so that callers spread over them; those of other regions only if its own has no
/// good one, and of these first the ones in its `homes`, regions in which its requests may run. Doubtful ones are named only if no
/// good one is left. `leaving` is the instance that answers if it leaves: a whole region may leave at once, and the others of it may
/// have stopped already. `None` stands for any region.
pub fn look_up<F>(
    view: &View,
    region: Option<RegionId>,
    homes: F,
    leaving: Option<Leaving>,
    caller: u64,
    limit: usize,
) -> Vec<u16>
where
    F: FnOnce() -> Vec<RegionId>,
{
    let is_own = |entry: &Entry| region.is_none_or(|own| entry.region == own);
    let good = matching(view, |_, entry| entry.standing == Standing::Good && is_own(entry));
    if !good.is_empty() {
        return sample(good, caller, limit);
    }
    let homes = homes();
    let is_home = |entry: &Entry| homes.contains(&entry.region);
    let leaves = |position: u16| leaving.filter(|leaving| leaving.position == position);
    let lasts = |leaving: Leaving| leaving.open_for >= LEAVING_TTL || !homes.is_empty();
    let is_in = |group: Group, position: u16, entry: &Entry| {
        let (is_good, may_serve) = (entry.standing == Standing::Good, entry.standing <= Standing::Doubtful);
        match group {
            Group::GoodHomes => is_good && is_home(entry),
            Group::LeavingOwn => is_own(entry) && leaves(position).is_some_and(lasts),
            Group::Good => is_good,
            Group::DoubtfulOwn => may_serve && is_own(entry),
            Group::DoubtfulHomes => may_serve && is_home(entry),
            Group::Doubtful => may_serve,
            Group::Leaving => leaves(position).is_some(),
        }
    };
    let mut groups = ORDER.into_iter().map(|group| matching(view, |position, entry| is_in(group, position, entry)));
    sample(groups.find(|group| !group.is_empty()).unwrap_or_default(), caller, limit)
}

/// Returns the entry instances that `allowed` accepts, with their positions.
fn matching<F>(view: &View, allowed: F) -> Vec<(u16, &Entry)>
where
    F: Fn(u16, &Entry) -> bool,
{
    let entries = (0..).zip(view.entries());
    entries.filter(|(position, entry)| allowed(*position, entry)).collect()
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
