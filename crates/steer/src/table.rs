//! A compact table from blocks of callers to their home regions.

use config::policy::Policy;

/// A region's position in the ordered list of regions.
pub type RegionId = u16;

/// Marks a range that no block covers.
const NO_REGION: RegionId = RegionId::MAX;

/// A block of IPv4 addresses with its home region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    /// First address.
    pub first: u32,
    /// Prefix length, 0 to 32.
    pub length: u8,
    /// Home region.
    pub region: RegionId,
}

impl Block {
    /// Returns the last address.
    const fn last(self) -> u32 {
        self.first | u32::MAX.wrapping_shr(self.length as u32) & if self.length == 32 { 0 } else { u32::MAX }
    }
}

/// Disjoint ranges of addresses in ascending order; six bytes a range.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    /// First address of each range; a range ends where the next one starts.
    starts: Vec<u32>,
    /// Home region of each range.
    regions: Vec<RegionId>,
}

impl Table {
    /// Creates a table of `blocks`; where blocks are nested, the longest prefix applies.
    pub fn new(mut blocks: Vec<Block>) -> Self {
        blocks.sort_by_key(|block| (block.first, block.length));
        let mut table = Self::default();
        let mut open: Vec<Block> = Vec::new();
        for block in blocks {
            table.close(&mut open, Some(block.first));
            table.push(block.first, block.region);
            open.push(block);
        }
        table.close(&mut open, None);
        table.starts.shrink_to_fit();
        table.regions.shrink_to_fit();
        table
    }

    /// Creates a table of the blocks in `policy`.
    pub fn from_policy(policy: &Policy) -> Self {
        let regions: Vec<&String> = policy.regions.keys().collect();
        let blocks = policy.blocks.iter().filter_map(|block| {
            let (first, length) = block.range()?;
            let region = regions.iter().position(|name| **name == block.region)? as RegionId;
            Some(Block { first, length, region })
        });
        Self::new(blocks.collect())
    }

    /// Returns the home region of `address`; `None` if no block covers it.
    pub fn home(&self, address: u32) -> Option<RegionId> {
        let after = self.starts.partition_point(|start| *start <= address);
        let region = *self.regions.get(after.checked_sub(1)?)?;
        (region != NO_REGION).then_some(region)
    }

    /// Returns the number of ranges in the table.
    pub const fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether the table covers nothing.
    pub const fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Returns the memory used by the ranges, in bytes.
    pub const fn bytes(&self) -> usize {
        self.starts.capacity() * size_of::<u32>() + self.regions.capacity() * size_of::<RegionId>()
    }

    /// Closes the open blocks that end before `next`; after each, the block that encloses it continues.
    fn close(&mut self, open: &mut Vec<Block>, next: Option<u32>) {
        while let Some(block) = open.last().copied() {
            if next.is_some_and(|next| next <= block.last()) {
                return;
            }
            open.pop();
            let Some(after) = block.last().checked_add(1) else {
                continue;
            };
            let outer = open.last().filter(|outer| outer.last() >= after);
            self.push(after, outer.map_or(NO_REGION, |outer| outer.region));
        }
    }

    /// Starts a range; replaces the previous one if that is empty, and extends it if it has the same region.
    fn push(&mut self, start: u32, region: RegionId) {
        if self.starts.last() == Some(&start) {
            self.regions.pop();
            self.starts.pop();
        }
        if self.regions.last() == Some(&region) {
            return;
        }
        self.starts.push(start);
        self.regions.push(region);
    }
}
