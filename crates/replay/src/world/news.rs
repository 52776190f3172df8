//! What the entry instances learn: deaths, leaves and load reports, each late.

use base::error::Kind;
use base::hash;
use base::instance::Instance;
use base::time::Time;
use dispatch::backend::{Place, Report, Spec};
use dispatch::engine::Remote;
use dispatch::engine::policy::Policy;
use dispatch::{Ending, subset};
use steer::grant;
use steer::shift::Load;
use steer::view::{Entry, Standing, View};

use super::{Event, NEWS, REPORT_EVERY, World};
use crate::site::Site;

impl World<'_> {
    pub(super) fn region(&mut self, region: &str, up: bool) {
        let inside: Vec<usize> =
            (0..self.servers.len()).filter(|index| self.site.servers[*index].region == region).collect();
        if up {
            self.dead_regions.remove(region);
            self.known_gone.remove(region);
            for index in inside {
                self.servers[index].up = true;
                self.servers[index].cold_since = Some(self.now);
            }
            return self.learn();
        }
        self.dead_regions.insert(region.to_owned());
        let gone: Vec<usize> =
            (0..self.site.entries.len()).filter(|entry| self.site.entries[*entry].region == region).collect();
        for index in inside {
            for id in self.servers[index].die() {
                self.plan(self.now, Event::Answered(id, Ending::Lost));
            }
        }
        // Callers of the dead entry instances learn nothing; their requests are broken off.
        let broken: Vec<usize> = (0..self.requests.len())
            .filter(|index| !self.requests[*index].over && gone.contains(&self.requests[*index].entry))
            .collect();
        for index in broken {
            self.note_refused(index, Kind::BackendLost);
        }
        self.plan(self.now + NEWS, Event::Known(region.to_owned()));
    }

    /// Gives every engine the world as it is known now.
    pub(super) fn learn(&mut self) {
        let now = self.now;
        let site = self.site;
        let gone = |names: [&String; 2]| names.iter().any(|name| self.known_gone.contains(*name));
        let entries = site.entries.iter().map(|entry| Entry {
            name: entry.name.clone(),
            address: entry.address.clone(),
            region: site.region(&entry.region).unwrap_or(0) as u16,
            domain: hash::bytes(entry.domain.as_bytes()) as u16,
            standing: if gone([&entry.region, &entry.name]) { Standing::Out } else { Standing::Good },
        });
        self.view = View::new(entries.collect(), site.regions.len());
        for (index, entry) in site.entries.iter().enumerate() {
            let live = |other: &&Instance| other.region == entry.region && !gone([&other.region, &other.name]);
            let daemons: Vec<u64> =
                site.entries.iter().filter(live).map(|other| hash::bytes(other.name.as_bytes())).collect();
            let near: Vec<u64> = (0..site.servers.len() as u64)
                .filter(|server| site.servers[*server as usize].region == entry.region)
                .collect();
            let hosts = subset::hosts(hash::bytes(entry.name.as_bytes()), &daemons, &near);
            let spec = |(position, server): (usize, &Instance)| Spec {
                region: site.region(&server.region).unwrap_or(0) as u16,
                slow_start: None,
                id: position as u32,
                service: site.services.iter().position(|service| *service == server.service).unwrap_or(0) as u16,
                place: place(site, entry, server),
                slots: server.slots,
                leaving: gone([&server.region, &server.name]),
                hosts: near.iter().position(|id| *id == position as u64).is_some_and(|at| hosts[at]),
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
            self.settle(entry);
        }
    }

    /// Moves callers between regions by what is known of them; a plain policy leaves all at home.
    fn shift(&mut self, at: Time) {
        let load = |name: &String| {
            let inside = (0..self.servers.len()).filter(|index| self.site.servers[*index].region == *name);
            let slots: u32 = inside.clone().map(|index| self.site.servers[index].slots).sum();
            let busy: usize = inside.map(|index| self.servers[index].busy()).sum();
            let at = if self.reports { at } else { Time::ZERO };
            let down = self.known_gone.contains(name);
            Load { busy: busy as f64, slots: f64::from(slots), at, drained: false, down }
        };
        let loads: Vec<Load> = self.site.regions.iter().map(load).collect();
        self.controller.update(&loads, self.now);
    }

    pub(super) fn report(&mut self) {
        self.plan(self.now + REPORT_EVERY, Event::Reports);
        if self.policy != Policy::Steered {
            return;
        }
        let at = self.now - self.lag;
        self.shift(at);
        if !self.reports {
            return;
        }
        for index in 0..self.servers.len() {
            if !self.servers[index].up {
                continue;
            }
            let load = self.servers[index].load_at(at);
            let draining = self.left.contains_key(&index);
            let report = Report { load, draining, pace: None, at };
            for entry in 0..self.engines.len() {
                if self.site.entries[entry].region == self.site.servers[index].region {
                    self.engines[entry].apply_report(index as u32, report, self.now);
                    self.settle(entry);
                }
            }
        }
    }
}

fn place(site: &Site, entry: &Instance, server: &Instance) -> Place {
    if entry.domain == server.domain {
        Place::Domain
    } else if entry.region == server.region {
        Place::Region
    } else {
        Place::Remote(site.region(&server.region).unwrap_or(0) as u16)
    }
}
