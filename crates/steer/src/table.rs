//! Home regions of blocks of callers, compactly.

use config::policy::Policy;

/// A region's position in the ordered list of regions.
pub type RegionId = u16;

/// No region.
const NONE: RegionId = RegionId::MAX;

/// A block of addresses with its home.
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
    const fn last(self) -> u32 {
        self.first | u32::MAX.wrapping_shr(self.length as u32) & if self.length == 32 { 0 } else { u32::MAX }
    }
}

/// Disjoint ranges of addresses in order; six bytes a range.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    starts: Vec<u32>,
    regions: Vec<RegionId>,
}

impl Table {
    /// A table of `blocks`; where blocks nest, the longer prefix wins.
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

    /// A table of the blocks in `policy`.
    pub fn from_policy(policy: &Policy) -> Self {
        let regions: Vec<&String> = policy.regions.keys().collect();
        let blocks = policy.blocks.iter().filter_map(|block| {
            let (first, length) = block.range()?;
            let region = regions.iter().position(|name| **name == block.region)? as RegionId;
            Some(Block { first, length, region })
        });
        Self::new(blocks.collect())
    }

    /// The home region of `address`; `None` if no block covers it.
    pub fn home(&self, address: u32) -> Option<RegionId> {
        let after = self.starts.partition_point(|start| *start <= address);
        let region = *self.regions.get(after.checked_sub(1)?)?;
        (region != NONE).then_some(region)
    }

    /// Ranges in the table.
    pub const fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether the table covers nothing.
    pub const fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Bytes of memory that the ranges take.
    pub const fn bytes(&self) -> usize {
        self.starts.capacity() * size_of::<u32>() + self.regions.capacity() * size_of::<RegionId>()
    }

    /// Ends the open blocks that end before `next`; what encloses them goes on.
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
            self.push(after, outer.map_or(NONE, |outer| outer.region));
        }
    }

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
