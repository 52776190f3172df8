//! Look-ups by the caller's address.

use base::hash;

use crate::shift::Shares;
use crate::table::{RegionId, Table};
use crate::view::{MAX_ENTRIES, View};

/// Low bits of an address that are ignored: all callers of a block of this size get the same answer.
const BLOCK_BITS: u32 = 8;

/// Ranked entry instances, as positions in the view; stored without allocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    positions: [u16; MAX_ENTRIES],
    length: u8,
    /// The region that the caller is steered to; `None` if no region has an entry instance to name.
    pub region: Option<RegionId>,
}

impl Answer {
    /// Returns the positions in the view, best first.
    pub fn positions(&self) -> &[u16] {
        &self.positions[..usize::from(self.length)]
    }

    /// Appends `position` unless it is there already or the answer has `limit` positions.
    fn push(&mut self, position: u16, limit: usize) {
        let length = usize::from(self.length);
        if length < limit && !self.positions().contains(&position) {
            self.positions[length] = position;
            self.length += 1;
        }
    }

    fn is_full(&self, limit: usize) -> bool {
        usize::from(self.length) >= limit
    }
}

/// Answers a look-up for the caller at the IPv4 address `address` with at most `limit` entry instances.
///
/// The home region comes first unless `shares` sends the block elsewhere. The last place is reserved for another
/// region, so that a caller has an alternative when its region fails.
pub fn look_up(table: &Table, view: &View, shares: &Shares, address: u32, limit: usize) -> Answer {
    let limit = limit.clamp(1, MAX_ENTRIES);
    let block = hash::combine(u64::from(address >> BLOCK_BITS), 0);
    let mut answer = Answer { positions: [0; MAX_ENTRIES], length: 0, region: None };
    let home = table.home(address).unwrap_or_else(|| default_home(block, view));
    let region = with_entries(view, shares.region(home, hash::unit_interval(block)), block);
    answer.region = region;
    let Some(region) = region else { return answer };
    let local_limit = if limit > 1 { limit - 1 } else { limit };
    for position in view.ranked(region, block) {
        answer.push(position, local_limit);
    }
    add_other_regions(&mut answer, view, shares, region, block, limit);
    for position in view.ranked(region, block) {
        answer.push(position, limit);
    }
    answer
}

/// Adds the first entry instance of each other region that accepts callers, until the answer is full.
fn add_other_regions(answer: &mut Answer, view: &View, shares: &Shares, used: RegionId, block: u64, limit: usize) {
    let regions = view.regions() as RegionId;
    let start = (block % u64::from(regions.max(1))) as RegionId;
    for step in 0..regions {
        let region = (start + step) % regions;
        if region == used || !shares.accepts_callers(region) {
            continue;
        }
        if let Some(position) = view.ranked(region, block).next() {
            answer.push(position, limit);
        }
        if answer.is_full(limit) {
            return;
        }
    }
}

/// Returns the home region of callers that no block covers; these are spread evenly over all regions.
fn default_home(block: u64, view: &View) -> RegionId {
    (block % view.regions().max(1) as u64) as RegionId
}

/// Returns `preferred` if it has an entry instance, else another region that has one.
fn with_entries(view: &View, preferred: RegionId, block: u64) -> Option<RegionId> {
    if view.has_entries(preferred) {
        return Some(preferred);
    }
    let regions = view.regions() as RegionId;
    let start = (block >> 32) as RegionId;
    let others = (0..regions).map(|step| start.wrapping_add(step) % regions.max(1));
    others.into_iter().find(|region| view.has_entries(*region))
}
