//! The measured cases and their traces, generated from a seed.

use std::time::Duration;

use base::time::Time;

use crate::site::Site;
use crate::trace::{Event, EventKind, Trace};

/// Length of a case's trace.
pub const LENGTH: Duration = Duration::from_mins(1);
/// Time at which a case's fault or load change begins.
const FAULT_START: Duration = Duration::from_secs(15);
/// Time at which it ends, in the cases where it does.
const FAULT_END: Duration = Duration::from_secs(40);
/// Number of callers in each region.
const CALLERS: u32 = 400;
/// Mean duration of short work, in milliseconds.
const SHORT_WORK_MS: f64 = 20.0;
/// Mean duration of waiting work, in milliseconds.
const WAITING_WORK_MS: f64 = 1_500.0;

/// A load and fault scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// About half of the slots are busy, some of them with waiting work.
    Steady,
    /// A market day: for a while the load rises to nine tenths of the slots.
    Peak,
    /// A third of the servers take ten times as long, and reports are 5 s late.
    Slowed,
    /// A region fails with all its entry instances and servers.
    RegionGone,
    /// A region fails and returns with cold caches.
    Cold,
    /// Load reports stop.
    Blind,
    /// One request in 200 takes 50 times as long.
    Stragglers,
    /// A request crashes each server that runs it, and its caller keeps retrying it.
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

    /// Returns the name on the command line and in the table.
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

    /// Generates the trace of this case for `site`; equal seeds give equal traces.
    pub fn trace(self, site: &Site, seed: u64) -> Trace {
        let mut generator = Generator { site, case: self, rng: fastrand::Rng::with_seed(seed), events: Vec::new() };
        for name in &site.classes {
            generator.add_requests(name);
        }
        generator.add_faults();
        generator.events.sort_by_key(|event| event.at);
        Trace { events: generator.events }
    }
}

struct Generator<'a> {
    site: &'a Site,
    case: Case,
    rng: fastrand::Rng,
    events: Vec<Event>,
}

impl Generator<'_> {
    /// Returns the fraction of its service's slots that a class keeps busy on average.
    fn utilization(&self, name: &str) -> f64 {
        let class = &self.site.policy.classes[name];
        let bulk = if self.case == Case::Bulk { 0.24 } else { 0.12 };
        match (class.may_wait, class.idempotent) {
            (true, _) => bulk,
            (false, true) => 0.36,
            (false, false) => 0.06,
        }
    }

    /// Adds the requests of a class: Poisson arrivals from random callers of random regions.
    fn add_requests(&mut self, name: &str) {
        let class = self.site.policy.classes[name].clone();
        let slots: u32 =
            self.site.servers.iter().filter(|server| server.service == class.service).map(|server| server.slots).sum();
        let mean_ms = if class.may_wait { WAITING_WORK_MS } else { SHORT_WORK_MS };
        let per_second = self.utilization(name) * f64::from(slots) * 1_000.0 / mean_ms;
        let mut at = 0.0;
        loop {
            let rate = per_second * self.load_factor(at, class.may_wait);
            at += -(1.0 - self.rng.f64()).ln() / rate;
            if at >= LENGTH.as_secs_f64() {
                return;
            }
            let region = self.site.regions[self.rng.usize(..self.site.regions.len())].clone();
            let caller = self.rng.u32(..CALLERS);
            let (work_us, bytes) = (self.work_us(mean_ms), self.bytes(class.may_wait));
            let kind = EventKind::Send { class: name.to_owned(), region, work_us, bytes, caller };
            self.events.push(Event { at: time_from_secs(at), kind });
        }
    }

    /// Returns the load at `at`, in seconds, as a multiple of the usual load.
    fn load_factor(&self, at: f64, may_wait: bool) -> f64 {
        let during_fault = at >= FAULT_START.as_secs_f64() && at < FAULT_END.as_secs_f64();
        match (self.case, may_wait) {
            (Case::Peak, false) if during_fault => 2.0,
            _ => 1.0,
        }
    }

    /// Draws a work time from a log-normal distribution with mean `mean_ms`; a straggler takes 50 times as long.
    fn work_us(&mut self, mean_ms: f64) -> u64 {
        const SIGMA: f64 = 0.5;
        let (first, second) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
        let is_straggler = self.case == Case::Stragglers && self.rng.u32(..200) == 0;
        let factor = if is_straggler { 50.0 } else { 1.0 };
        (mean_ms * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp() * factor * 1_000.0) as u64
    }

    /// Draws the size of an answer.
    fn bytes(&mut self, may_wait: bool) -> u64 {
        let max_bytes = if may_wait { 400_000 } else { 8_000 };
        self.rng.u64(max_bytes / 4..max_bytes)
    }

    fn add_faults(&mut self) {
        let region = self.site.regions[0].clone();
        let servers: Vec<String> = self.site.servers.iter().map(|server| server.name.clone()).collect();
        match self.case {
            Case::Steady | Case::Peak | Case::Stragglers | Case::Bulk => {}
            Case::Slowed => {
                self.push(Duration::ZERO, EventKind::Lag(5_000));
                for server in servers.iter().step_by(3) {
                    self.push(FAULT_START, EventKind::Slow(server.clone(), 10.0));
                    self.push(FAULT_END, EventKind::Slow(server.clone(), 1.0));
                }
            }
            Case::RegionGone => self.push(FAULT_START, EventKind::Region(region, false)),
            Case::Cold => {
                self.push(FAULT_START, EventKind::Region(region.clone(), false));
                self.push(FAULT_END, EventKind::Region(region, true));
            }
            Case::Blind => self.push(FAULT_START, EventKind::Reports(false)),
            Case::Poison => {
                let class = self.short_class();
                self.push(FAULT_START, EventKind::Poison { class, region, caller: CALLERS + 1 });
            }
            Case::Leave => {
                let service = self.site.policy.classes[&self.short_class()].service.clone();
                let leaving: Vec<String> = self
                    .site
                    .servers
                    .iter()
                    .filter(|server| server.service == service)
                    .take(2)
                    .map(|server| server.name.clone())
                    .collect();
                for server in leaving {
                    self.push(FAULT_START, EventKind::Leave(server));
                }
            }
        }
    }

    /// Returns the class of short idempotent work.
    fn short_class(&self) -> String {
        let short = self.site.policy.classes.iter().find(|(_, class)| class.idempotent && !class.may_wait);
        short.map(|(name, _)| name.clone()).unwrap_or_default()
    }

    fn push(&mut self, at: Duration, kind: EventKind) {
        self.events.push(Event { at: time_from_secs(at.as_secs_f64()), kind });
    }
}

fn time_from_secs(seconds: f64) -> Time {
    Time::from_micros((seconds * 1e6) as u64)
}
