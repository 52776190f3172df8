//! One look-up.

use base::hash;

use crate::shift::Shares;
use crate::table::{RegionId, Table};
use crate::view::{MAX_ENTRIES, View};

/// Bits of an address that vary within the smallest block that is steered as one.
const BLOCK_BITS: u32 = 8;

/// Ranked entry instances, by position in the view; no allocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    positions: [u16; MAX_ENTRIES],
    length: u8,
    /// The region that the caller is steered to; `None` if no entry instance is known.
    pub region: Option<RegionId>,
}

impl Answer {
    /// Positions in the view, best first.
    pub fn positions(&self) -> &[u16] {
        &self.positions[..usize::from(self.length)]
    }

    fn push(&mut self, position: u16, most: usize) {
        let length = usize::from(self.length);
        if length < most && !self.positions().contains(&position) {
            self.positions[length] = position;
            self.length += 1;
        }
    }

    fn full(&self, most: usize) -> bool {
        usize::from(self.length) >= most
    }
}

/// Answers a look-up for the caller at `address` with at most `most` entry instances.
///
/// The home region comes first unless `shares` sends the block elsewhere; the last place is kept for another
/// region, so that a caller whose region dies has somewhere to go.
pub fn look_up(table: &Table, view: &View, shares: &Shares, address: u32, most: usize) -> Answer {
    let most = most.clamp(1, MAX_ENTRIES);
    let block = hash::combine(u64::from(address >> BLOCK_BITS), 0);
    let mut answer = Answer { positions: [0; MAX_ENTRIES], length: 0, region: None };
    let home = table.home(address).unwrap_or_else(|| nearest(block, view));
    let region = first_with(view, shares.region(home, hash::unit_interval(block)), block);
    answer.region = region;
    let Some(region) = region else { return answer };
    let local = if most > 1 { most - 1 } else { most };
    for position in view.ranked(region, block) {
        answer.push(position, local);
    }
    fill(&mut answer, view, shares, region, block, most);
    for position in view.ranked(region, block) {
        answer.push(position, most);
    }
    answer
}

/// Fills the answer from other regions that take new callers.
fn fill(answer: &mut Answer, view: &View, shares: &Shares, used: RegionId, block: u64, most: usize) {
    let regions = view.regions() as RegionId;
    let start = (block % u64::from(regions.max(1))) as RegionId;
    for step in 0..regions {
        let region = (start + step) % regions;
        if region == used || !shares.accepts_callers(region) {
            continue;
        }
        if let Some(position) = view.ranked(region, block).next() {
            answer.push(position, most);
        }
        if answer.full(most) {
            return;
        }
    }
}

/// A region for callers that no block covers: any, evenly.
fn nearest(block: u64, view: &View) -> RegionId {
    (block % view.regions().max(1) as u64) as RegionId
}

/// `wanted`, or the next region that has an entry instance.
fn first_with(view: &View, wanted: RegionId, block: u64) -> Option<RegionId> {
    if view.has_entries(wanted) {
        return Some(wanted);
    }
    let regions = view.regions() as RegionId;
    let start = (block >> 32) as RegionId;
    let others = (0..regions).map(|step| start.wrapping_add(step) % regions.max(1));
    others.into_iter().find(|region| view.has_entries(*region))
}
