//! Seeded traces for the cases that are measured.

use std::time::Duration;

use base::time::Time;

use crate::site::Site;
use crate::trace::{Event, Trace, What};

/// Length of a case.
pub const LENGTH: Duration = Duration::from_mins(1);
/// When a case's fault begins.
const FAULT_AT: Duration = Duration::from_secs(15);
/// When a case's fault ends, if it does.
const FAULT_ENDS: Duration = Duration::from_secs(40);
/// Callers of a region.
const CALLERS: u32 = 400;
/// Mean time of short work, in milliseconds.
const SHORT_MS: f64 = 20.0;
/// Mean time of waiting work, in milliseconds.
const LONG_MS: f64 = 1_500.0;

/// A measured case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// Half of the slots busy, waiting work among it.
    Steady,
    /// A market day: load rises to nine tenths of the slots for a while.
    Peak,
    /// A third of the servers take ten times as long, and reports are 5 s late.
    Slowed,
    /// A region dies with its entry instances and servers.
    RegionGone,
    /// A region comes back with cold caches.
    Cold,
    /// Load reports stop.
    Blind,
    /// One request in two hundred takes fifty times as long.
    Stragglers,
    /// A request stops each server that runs it, and is sent again and again.
    Poison,
    /// Twice the usual waiting work.
    Bulk,
    /// Two servers of the short work's service leave.
    Leave,
}

impl Case {
    /// All cases.
    pub const ALL: [Self; 10] = [
        Self::Steady,
        Self::Peak,
        Self::Slowed,
        Self::RegionGone,
        Self::Cold,
        Self::Blind,
        Self::Stragglers,
        Self::Poison,
        Self::Bulk,
        Self::Leave,
    ];

    /// A short name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Peak => "peak",
            Self::Slowed => "slowed",
            Self::RegionGone => "region-gone",
            Self::Cold => "cold",
            Self::Blind => "blind",
            Self::Stragglers => "stragglers",
            Self::Poison => "poison",
            Self::Bulk => "bulk",
            Self::Leave => "leave",
        }
    }

    /// The case's trace for `site`.
    pub fn trace(self, site: &Site, seed: u64) -> Trace {
        let mut maker = Maker { site, case: self, rng: fastrand::Rng::with_seed(seed), events: Vec::new() };
        for name in &site.classes {
            maker.flow(name);
        }
        maker.faults();
        maker.events.sort_by_key(|event| event.at);
        Trace { events: maker.events }
    }
}

struct Maker<'a> {
    site: &'a Site,
    case: Case,
    rng: fastrand::Rng,
    events: Vec<Event>,
}

impl Maker<'_> {
    /// Part of its service's slots that a class keeps busy on average.
    fn part(&self, name: &str) -> f64 {
        let class = &self.site.policy.classes[name];
        let bulk = if self.case == Case::Bulk { 0.24 } else { 0.12 };
        match (class.may_wait, class.idempotent) {
            (true, _) => bulk,
            (false, true) => 0.36,
            (false, false) => 0.06,
        }
    }

    fn flow(&mut self, name: &str) {
        let class = self.site.policy.classes[name].clone();
        let slots: u32 =
            self.site.servers.iter().filter(|server| server.service == class.service).map(|server| server.slots).sum();
        let mean_ms = if class.may_wait { LONG_MS } else { SHORT_MS };
        let per_second = self.part(name) * f64::from(slots) * 1_000.0 / mean_ms;
        let mut at = 0.0;
        loop {
            let rate = per_second * self.swell(at, class.may_wait);
            at += -(1.0 - self.rng.f64()).ln() / rate;
            if at >= LENGTH.as_secs_f64() {
                return;
            }
            let region = self.site.regions[self.rng.usize(..self.site.regions.len())].clone();
            let caller = self.rng.u32(..CALLERS);
            let (work_us, bytes) = (self.work_us(mean_ms), self.bytes(class.may_wait));
            let what = What::Send { class: name.to_owned(), region, work_us, bytes, caller };
            self.events.push(Event { at: time(at), what });
        }
    }

    /// How many times the usual load comes at `at`.
    fn swell(&self, at: f64, waits: bool) -> f64 {
        let inside = at >= FAULT_AT.as_secs_f64() && at < FAULT_ENDS.as_secs_f64();
        match (self.case, waits) {
            (Case::Peak, false) if inside => 2.0,
            _ => 1.0,
        }
    }

    /// Log-normal around the mean; a straggler takes fifty times as long.
    fn work_us(&mut self, mean_ms: f64) -> u64 {
        const SIGMA: f64 = 0.5;
        let (one, other) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos();
        let straggles = self.case == Case::Stragglers && self.rng.u32(..200) == 0;
        let factor = if straggles { 50.0 } else { 1.0 };
        (mean_ms * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp() * factor * 1_000.0) as u64
    }

    fn bytes(&mut self, waits: bool) -> u64 {
        let most = if waits { 400_000 } else { 8_000 };
        self.rng.u64(most / 4..most)
    }

    fn faults(&mut self) {
        let region = self.site.regions[0].clone();
        let servers: Vec<String> = self.site.servers.iter().map(|server| server.name.clone()).collect();
        match self.case {
            Case::Steady | Case::Peak | Case::Stragglers | Case::Bulk => {}
            Case::Slowed => {
                self.push(Duration::ZERO, What::Lag(5_000));
                for server in servers.iter().step_by(3) {
                    self.push(FAULT_AT, What::Slow(server.clone(), 10.0));
                    self.push(FAULT_ENDS, What::Slow(server.clone(), 1.0));
                }
            }
            Case::RegionGone => self.push(FAULT_AT, What::Region(region, false)),
            Case::Cold => {
                self.push(FAULT_AT, What::Region(region.clone(), false));
                self.push(FAULT_ENDS, What::Region(region, true));
            }
            Case::Blind => self.push(FAULT_AT, What::Reports(false)),
            Case::Poison => {
                let class = self.short();
                self.push(FAULT_AT, What::Poison { class, region, caller: CALLERS + 1 });
            }
            Case::Leave => {
                let service = self.site.policy.classes[&self.short()].service.clone();
                let leaving: Vec<String> = self
                    .site
                    .servers
                    .iter()
                    .filter(|server| server.service == service)
                    .take(2)
                    .map(|server| server.name.clone())
                    .collect();
                for server in leaving {
                    self.push(FAULT_AT, What::Leave(server));
                }
            }
        }
    }

    /// The class of short idempotent work.
    fn short(&self) -> String {
        let short = self.site.policy.classes.iter().find(|(_, class)| class.idempotent && !class.may_wait);
        short.map(|(name, _)| name.clone()).unwrap_or_default()
    }

    fn push(&mut self, at: Duration, what: What) {
        self.events.push(Event { at: time(at.as_secs_f64()), what });
    }
}

fn time(seconds: f64) -> Time {
    Time::from_micros((seconds * 1e6) as u64)
}
