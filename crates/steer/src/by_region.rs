//! Look-ups of callers that say where they are.

use crate::table::RegionId;
use crate::view::{Standing, View};

/// Positions of up to `most` entry instances for a caller in `region`.
///
/// Those of its own region, all of them, so that callers spread; those of other regions only if it has none. The
/// doubtful are named only where no good one is left.
pub fn look_up(view: &View, region: Option<RegionId>, most: usize) -> Vec<u16> {
    let with = |worst: Standing, inside: bool| {
        let entries = view.entries().iter().enumerate();
        let fits = entries.filter(|(_, entry)| {
            entry.standing <= worst && (!inside || region.is_none_or(|region| entry.region == region))
        });
        fits.map(|(position, _)| position as u16).take(most).collect::<Vec<_>>()
    };
    let steps =
        [(Standing::Good, true), (Standing::Good, false), (Standing::Doubtful, true), (Standing::Doubtful, false)];
    steps.into_iter().map(|(worst, inside)| with(worst, inside)).find(|found| !found.is_empty()).unwrap_or_default()
}
