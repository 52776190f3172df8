//! A model of callers: they cache look-ups, try entry instances in order, and retry poisonous requests.

use std::time::Duration;

use base::error::Kind;
use base::hash;
use dispatch::engine::Arrival;
use steer::answer;

use super::{Event, LOOKUP_TTL, MAX_POISON_SENDS, POISON_RETRY_DELAY, Request, Simulation};

impl Simulation<'_> {
    /// Creates a request that a caller sends now.
    pub(super) fn new_request(&self, class: &str, region: &str, work: Duration, bytes: u64, caller: u32) -> Request {
        Request {
            class: self.site.classes.iter().position(|name| name == class).unwrap_or(0),
            region: self.site.region_position(region).unwrap_or(0),
            work,
            bytes,
            caller,
            poison: false,
            sent_at: self.now,
            entry: 0,
            arrived_at: self.now,
            attempted: false,
            runs: 0,
            finished: false,
        }
    }

    /// Sends a request to the first entry instance of the caller's list that is up; without one the request fails as
    /// unreachable.
    pub(super) fn send(&mut self, mut request: Request) {
        let class = self.site.classes[request.class].clone();
        if let Some(class) = self.outcome.classes.get_mut(&class) {
            class.sent += 1;
        }
        self.open_requests += 1;
        let entry = self.choose_entry(request.caller, request.region);
        let Some(entry) = entry else {
            self.requests.push(request);
            return self.fail_request(self.requests.len() - 1, Kind::Unreachable);
        };
        request.entry = entry;
        self.requests.push(request);
        self.schedule(self.now + self.site.caller_latency, Event::RequestArrived(self.requests.len() - 1));
    }

    /// Returns the first entry instance that is up, from the caller's cached look-up or else from a new one.
    fn choose_entry(&mut self, caller: u32, region: usize) -> Option<usize> {
        let is_up = |simulation: &Self, entry: &usize| {
            !simulation.down_regions.contains(&simulation.site.entries[*entry].region)
        };
        let cached = self.lookup_cache.get(&caller).filter(|(_, until)| *until > self.now).cloned();
        let found = cached.and_then(|(entries, _)| entries.into_iter().find(|entry| is_up(self, entry)));
        if found.is_some() {
            return found;
        }
        let address = ((region as u32 + 1) << 24) | (caller << 8);
        let answer = answer::look_up(&self.table, &self.view, self.controller.shares(), address, 3);
        let entries: Vec<usize> = answer.positions().iter().map(|position| usize::from(*position)).collect();
        self.lookup_cache.insert(caller, (entries.clone(), self.now + LOOKUP_TTL));
        entries.into_iter().find(|entry| is_up(self, entry))
    }

    /// Submits a request to the engine of its entry instance.
    pub(super) fn request_arrived(&mut self, index: usize) {
        let now = self.now;
        if self.down_regions.contains(&self.site.entries[self.requests[index].entry].region) {
            return self.fail_request(index, Kind::BackendLost);
        }
        let request = &mut self.requests[index];
        request.arrived_at = now;
        let entry = request.entry;
        let fingerprint = if request.poison { u64::from(request.caller) } else { hash::combine(index as u64, 7) };
        let arrival = Arrival::new(index as u64, request.class, fingerprint, 200);
        self.engines[entry].submit(arrival, now);
        self.apply_actions(entry);
    }

    /// Sends a poisonous request again, after a new look-up and each time from another region.
    pub(super) fn retry_poison(&mut self, index: usize, sends: u32) {
        if sends >= MAX_POISON_SENDS {
            return;
        }
        let mut request = self.requests[index].clone();
        self.lookup_cache.remove(&request.caller);
        request.sent_at = self.now;
        request.finished = false;
        request.attempted = false;
        request.region = sends as usize % self.site.regions.len();
        self.send(request);
        self.schedule(self.now + POISON_RETRY_DELAY, Event::PoisonRetry(self.requests.len() - 1, sends + 1));
    }
}
