//! Look-ups of callers that state their region.

use crate::table::RegionId;
use crate::view::{Standing, View};

/// Returns the positions in the view of up to `limit` entry instances for a caller in `region`.
///
/// All entry instances of its own region are named, so that callers spread over them; those of other regions only if
/// its own has none. Doubtful ones are named only if no good one is left. `None` stands for any region.
pub fn look_up(view: &View, region: Option<RegionId>, limit: usize) -> Vec<u16> {
    let matching = |worst: Standing, own_region: bool| {
        let entries = view.entries().iter().enumerate();
        let allowed = entries.filter(|(_, entry)| {
            entry.standing <= worst && (!own_region || region.is_none_or(|region| entry.region == region))
        });
        allowed.map(|(position, _)| position as u16).take(limit).collect::<Vec<_>>()
    };
    let preferences =
        [(Standing::Good, true), (Standing::Good, false), (Standing::Doubtful, true), (Standing::Doubtful, false)];
    preferences
        .into_iter()
        .map(|(worst, own_region)| matching(worst, own_region))
        .find(|found| !found.is_empty())
        .unwrap_or_default()
}
