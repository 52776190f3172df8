//! Records the usage of links and slots.

use super::Simulation;

impl Simulation<'_> {
    /// Records the bytes of an answer on the link between two regions.
    pub(super) fn record_link_usage(&mut self, entry: usize, server: usize, bytes: u64) {
        let from = self.site.region_position(&self.site.servers[server].region).unwrap_or(0);
        let to = self.site.region_position(&self.site.entries[entry].region).unwrap_or(0);
        if from == to {
            return;
        }
        let second = self.now.as_millis() / 1_000;
        let used = self.link_bytes.entry((from, to, second)).or_default();
        *used += bytes as f64;
        let cap = self.site.policy.link_cap(&self.site.regions[from], &self.site.regions[to]).unwrap_or(0.0);
        self.outcome.max_link_usage = self.outcome.max_link_usage.max(*used / cap.max(1.0));
    }

    /// Records how much of a region's slots the attempts of other regions use, when one of them arrives.
    pub(super) fn record_foreign_usage(&mut self, entry: usize, server: usize) {
        let region = &self.site.servers[server].region;
        if self.site.entries[entry].region == *region {
            return;
        }
        let foreign = self.attempts.iter().filter(|((entry, _), attempt)| {
            self.site.servers[attempt.server].region == *region && self.site.entries[*entry].region != *region
        });
        let slots: u32 =
            self.site.servers.iter().filter(|server| server.region == *region).map(|server| server.slots).sum();
        self.outcome.max_foreign_usage =
            self.outcome.max_foreign_usage.max(foreign.count() as f64 / f64::from(slots.max(1)));
    }

    /// Averages the busy slots of the server's region over each second, or over several seconds in which no job
    /// started or ended, and updates the smallest headroom.
    pub(super) fn record_busy_slots(&mut self, server: usize) {
        let name = &self.site.servers[server].region;
        let region = self.site.region_position(name).unwrap_or(0);
        let servers = || (0..self.servers.len()).filter(|index| self.site.servers[*index].region == *name);
        let busy: usize = servers().map(|index| self.servers[index].busy()).sum();
        let slots: u32 = servers().map(|index| self.site.servers[index].slots).sum();
        let second = self.now.as_millis() / 1_000;
        let (since, busy_before, averaged_second, sum) = self.busy_slots[region];
        let sum = sum + busy_before * self.now.since(since).as_secs_f64();
        if second == averaged_second {
            self.busy_slots[region] = (self.now, busy as f64, averaged_second, sum);
            return;
        }
        let utilization = sum / (second - averaged_second).max(1) as f64 / f64::from(slots.max(1));
        if averaged_second > 0 {
            self.outcome.min_headroom = self.outcome.min_headroom.min((1.0 - utilization).max(0.0));
        }
        self.busy_slots[region] = (self.now, busy as f64, second, 0.0);
    }
}
