//! Delayed knowledge of the entry instances: failed regions, leaving servers and load reports.

use base::error::Kind;
use base::hash;
use base::instance::Instance;
use base::time::Time;
use dispatch::backend::{Place, Position, Report, Spec};
use dispatch::engine::Remote;
use dispatch::engine::policy::Policy;
use dispatch::{Ending, subset};
use steer::grant;
use steer::shift::Load;
use steer::view::{Entry, Standing, View};

use super::{Event, PROPAGATION_DELAY, REPORT_INTERVAL, Simulation};
use crate::site::Site;

impl Simulation<'_> {
    /// Takes a region down, or brings it up again with cold caches.
    pub(super) fn set_region_up(&mut self, region: &str, up: bool) {
        let servers: Vec<usize> =
            (0..self.servers.len()).filter(|index| self.site.servers[*index].region == region).collect();
        if up {
            self.down_regions.remove(region);
            self.known_removed.remove(region);
            for index in servers {
                self.servers[index].up = true;
                self.servers[index].cold_since = Some(self.now);
            }
            return self.update_engines();
        }
        self.down_regions.insert(region.to_owned());
        let entries: Vec<usize> =
            (0..self.site.entries.len()).filter(|entry| self.site.entries[*entry].region == region).collect();
        for index in servers {
            for id in self.servers[index].stop() {
                self.schedule(self.now, Event::AttemptEnded(id, Ending::Lost));
            }
        }
        // Callers of the failed entry instances get no answer; their requests are lost.
        let lost: Vec<usize> = (0..self.requests.len())
            .filter(|index| !self.requests[*index].finished && entries.contains(&self.requests[*index].entry))
            .collect();
        for index in lost {
            self.fail_request(index, Kind::BackendLost);
        }
        self.schedule(self.now + PROPAGATION_DELAY, Event::RemovalKnown(region.to_owned()));
    }

    /// Gives every engine the servers and limits that follow from the removals known now, and renews the look-up view.
    pub(super) fn update_engines(&mut self) {
        let now = self.now;
        let site = self.site;
        let is_removed = |names: [&String; 2]| names.iter().any(|name| self.known_removed.contains(*name));
        let entries = site.entries.iter().map(|entry| Entry {
            name: entry.name.clone(),
            address: entry.address.clone(),
            region: site.region_position(&entry.region).unwrap_or(0) as u16,
            domain: hash::bytes(entry.domain.as_bytes()) as u16,
            standing: if is_removed([&entry.region, &entry.name]) { Standing::Out } else { Standing::Good },
            capacity: 1,
        });
        self.view = View::new(entries.collect(), site.regions.len());
        for (index, entry) in site.entries.iter().enumerate() {
            let live = |other: &&Instance| other.region == entry.region && !is_removed([&other.region, &other.name]);
            let daemons: Vec<u64> =
                site.entries.iter().filter(live).map(|other| hash::bytes(other.name.as_bytes())).collect();
            let regional: Vec<u64> = (0..site.servers.len() as u64)
                .filter(|server| site.servers[*server as usize].region == entry.region)
                .collect();
            let hosts = subset::hosts(hash::bytes(entry.name.as_bytes()), &daemons, &regional);
            let spec = |(position, server): (usize, &Instance)| Spec {
                region: site.region_position(&server.region).unwrap_or(0) as u16,
                slow_start: None,
                position: Position::ALONE,
                id: position as u32,
                service: site.services.iter().position(|service| *service == server.service).unwrap_or(0) as u16,
                place: place(site, entry, server),
                slots: server.slots,
                leaving: is_removed([&server.region, &server.name]),
                hosts: regional.iter().position(|id| *id == position as u64).is_some_and(|rank| hosts[rank]),
            };
            let specs = site.servers.iter().enumerate().map(spec).collect();
            let share = 1.0 / daemons.len().max(1) as f64;
            for (position, region) in site.regions.iter().enumerate().filter(|(_, region)| **region != entry.region) {
                let slots =
                    site.servers.iter().filter(|server| server.region == *region).map(|server| server.slots).sum();
                let cap = site.policy.link_cap(&entry.region, region).unwrap_or(0.0);
                let allowed = grant::allowance(slots, site.regions.len() - 1, cap, share);
                let remote = Remote { max_in_flight: allowed.max_requests, bytes_per_second: allowed.bytes_per_second };
                self.engines[index].set_remote(position as u16, remote, now);
            }
            self.engines[index].set_backends(specs, now);
        }
        for entry in 0..site.entries.len() {
            self.apply_actions(entry);
        }
    }

    /// Updates the shares of callers that are sent to other regions, from the regions' load at `at`.
    fn update_shares(&mut self, at: Time) {
        let load = |name: &String| {
            let servers = (0..self.servers.len()).filter(|index| self.site.servers[*index].region == *name);
            let slots: u32 = servers.clone().map(|index| self.site.servers[index].slots).sum();
            let busy: usize = servers.map(|index| self.servers[index].busy()).sum();
            let at = if self.reports_enabled { at } else { Time::ZERO };
            let down = self.known_removed.contains(name);
            Load { busy: busy as f64, slots: f64::from(slots), at, drained: false, down }
        };
        let loads: Vec<Load> = self.site.regions.iter().map(load).collect();
        self.controller.update(&loads, self.now);
    }

    /// Sends the load reports of all servers and schedules the next ones; baseline policies get none and leave all
    /// callers in their home regions.
    pub(super) fn send_reports(&mut self) {
        self.schedule(self.now + REPORT_INTERVAL, Event::Reports);
        if self.policy != Policy::Steered {
            return;
        }
        let at = self.now - self.report_lag;
        self.update_shares(at);
        if !self.reports_enabled {
            return;
        }
        for index in 0..self.servers.len() {
            if !self.servers[index].up {
                continue;
            }
            let load = self.servers[index].load_at(at);
            let draining = self.leaving_since.contains_key(&index);
            let report = Report { load, draining, pace: None, at };
            for entry in 0..self.engines.len() {
                if self.site.entries[entry].region == self.site.servers[index].region {
                    self.engines[entry].apply_report(index as u32, report, self.now);
                    self.apply_actions(entry);
                }
            }
        }
    }
}

/// Returns where a server is, as seen from an entry instance.
fn place(site: &Site, entry: &Instance, server: &Instance) -> Place {
    if entry.domain == server.domain {
        Place::Domain
    } else if entry.region == server.region {
        Place::Region
    } else {
        Place::Remote(site.region_position(&server.region).unwrap_or(0) as u16)
    }
}
