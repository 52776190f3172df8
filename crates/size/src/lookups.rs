//! How look-ups grow with the number of address blocks and entry instances.

use steer::answer::look_up;
use steer::shift::Shares;
use steer::table::{Block, Table};
use steer::view::{Entry, Standing, View};

use crate::probe::{line, nanos};

/// Number of regions at the design size.
const REGIONS: u16 = 9;
/// Maximum number of entry instances in one answer.
const MAX_ENTRIES: usize = 3;

/// Returns a table of `count` blocks of 256 addresses, each with a random home region.
pub fn table(count: u32) -> Table {
    let mut rng = fastrand::Rng::with_seed(1);
    let block = |number: u32| Block { first: number << 8, length: 24, region: rng.u16(..REGIONS) };
    Table::new((0..count).map(block).collect())
}

/// Returns `count` entry instances, spread over the regions and 24 failure domains.
pub fn entries(count: usize) -> Vec<Entry> {
    let entry = |number: usize| Entry {
        name: format!("entry-{number:05}"),
        address: format!("10.0.{}.{}:7000", number / 250, number % 250),
        region: (number % usize::from(REGIONS)) as u16,
        domain: (number % 24) as u16,
        standing: Standing::Good,
        capacity: 1,
    };
    (0..count).map(entry).collect()
}

/// Prints the measurements of look-ups.
pub fn run() {
    let shares = Shares::home(REGIONS.into());
    for blocks in [1_000, 30_000, 810_000] {
        let table = table(blocks);
        line("block table, memory", blocks, table.bytes() as f64 / f64::from(blocks), "bytes a block");
        line("block table, build", blocks, nanos(1, |_| self::table(blocks)) / 1e6, "ms");
        for daemons in [7, 150, 1_500] {
            let view = View::new(entries(daemons), REGIONS.into());
            let mut rng = fastrand::Rng::with_seed(2);
            let one_lookup = |_| look_up(&table, &view, &shares, rng.u32(..blocks << 8), MAX_ENTRIES);
            line("look-up decision", format!("{blocks}/{daemons}"), nanos(200_000, one_lookup), "ns");
        }
    }
    for daemons in [7, 150, 1_500] {
        let all = entries(daemons);
        let build_nanos = nanos(3, |_| View::new(all.clone(), REGIONS.into()));
        line("ranked lists, build", daemons, build_nanos / 1e6, "ms");
        let bytes = f64::from(REGIONS) * 1_024.0 * 16.0 + daemons as f64 * 90.0;
        line("ranked lists, memory", daemons, bytes / 1e3, "KB (computed from the types)");
    }
}
