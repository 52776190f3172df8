//! What is counted while a replay runs.

use super::World;

impl World<'_> {
    pub(super) fn note_link(&mut self, entry: usize, server: usize, bytes: u64) {
        let from = self.site.region(&self.site.servers[server].region).unwrap_or(0);
        let to = self.site.region(&self.site.entries[entry].region).unwrap_or(0);
        if from == to {
            return;
        }
        let second = self.now.as_millis() / 1_000;
        let used = self.link.entry((from, to, second)).or_default();
        *used += bytes as f64;
        let cap = self.site.policy.link_cap(&self.site.regions[from], &self.site.regions[to]).unwrap_or(0.0);
        self.outcome.link = self.outcome.link.max(*used / cap.max(1.0));
    }

    pub(super) fn note_foreign(&mut self, entry: usize, server: usize) {
        let region = &self.site.servers[server].region;
        if self.site.entries[entry].region == *region {
            return;
        }
        let foreign = self.attempts.iter().filter(|((entry, _), attempt)| {
            self.site.servers[attempt.server].region == *region && self.site.entries[*entry].region != *region
        });
        let slots: u32 =
            self.site.servers.iter().filter(|server| server.region == *region).map(|server| server.slots).sum();
        self.outcome.foreign = self.outcome.foreign.max(foreign.count() as f64 / f64::from(slots.max(1)));
    }

    /// Averages the busy slots of a region over each second.
    pub(super) fn note_busy(&mut self, server: usize) {
        let name = &self.site.servers[server].region;
        let region = self.site.region(name).unwrap_or(0);
        let inside = || (0..self.servers.len()).filter(|index| self.site.servers[*index].region == *name);
        let busy: usize = inside().map(|index| self.servers[index].busy()).sum();
        let slots: u32 = inside().map(|index| self.site.servers[index].slots).sum();
        let second = self.now.as_millis() / 1_000;
        let (since, level, current, sum) = self.busy[region];
        let sum = sum + level * self.now.since(since).as_secs_f64();
        if second == current {
            self.busy[region] = (self.now, busy as f64, current, sum);
            return;
        }
        let used = sum / (second - current).max(1) as f64 / f64::from(slots.max(1));
        if current > 0 {
            self.outcome.headroom = self.outcome.headroom.min((1.0 - used).max(0.0));
        }
        self.busy[region] = (self.now, busy as f64, second, 0.0);
    }
}
