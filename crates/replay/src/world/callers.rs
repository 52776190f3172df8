//! Callers: they keep answers, go down the list, and send poisonous requests again.

use std::time::Duration;

use base::error::Kind;
use base::hash;
use dispatch::engine::Arrival;
use steer::answer;

use super::{Event, KEPT, POISON_PAUSE, POISON_SENDS, Request, World};

impl World<'_> {
    pub(super) fn request(&self, class: &str, region: &str, work: Duration, bytes: u64, caller: u32) -> Request {
        Request {
            class: self.site.classes.iter().position(|name| name == class).unwrap_or(0),
            region: self.site.region(region).unwrap_or(0),
            work,
            bytes,
            caller,
            poison: false,
            sent: self.now,
            entry: 0,
            arrived: self.now,
            tried: false,
            runs: 0,
            over: false,
        }
    }

    /// A caller sends: it uses its kept answer, and goes down the list past dead instances.
    pub(super) fn send(&mut self, mut request: Request) {
        let class = self.site.classes[request.class].clone();
        if let Some(class) = self.outcome.classes.get_mut(&class) {
            class.sent += 1;
        }
        self.open += 1;
        let entry = self.entry(request.caller, request.region);
        let Some(entry) = entry else {
            self.requests.push(request);
            return self.note_refused(self.requests.len() - 1, Kind::Unreachable);
        };
        request.entry = entry;
        self.requests.push(request);
        self.plan(self.now + self.site.to_callers, Event::Arrive(self.requests.len() - 1));
    }

    fn entry(&mut self, caller: u32, region: usize) -> Option<usize> {
        let alive = |world: &Self, entry: &usize| !world.dead_regions.contains(&world.site.entries[*entry].region);
        let kept = self.cache.get(&caller).filter(|(_, until)| *until > self.now).cloned();
        let found = kept.and_then(|(entries, _)| entries.into_iter().find(|entry| alive(self, entry)));
        if found.is_some() {
            return found;
        }
        let address = ((region as u32 + 1) << 24) | (caller << 8);
        let answer = answer::look_up(&self.table, &self.view, self.controller.shares(), address, 3);
        let entries: Vec<usize> = answer.positions().iter().map(|position| usize::from(*position)).collect();
        self.cache.insert(caller, (entries.clone(), self.now + KEPT));
        entries.into_iter().find(|entry| alive(self, entry))
    }

    pub(super) fn arrive(&mut self, index: usize) {
        let now = self.now;
        if self.dead_regions.contains(&self.site.entries[self.requests[index].entry].region) {
            return self.note_refused(index, Kind::BackendLost);
        }
        let request = &mut self.requests[index];
        request.arrived = now;
        let entry = request.entry;
        let fingerprint = if request.poison { u64::from(request.caller) } else { hash::combine(index as u64, 7) };
        let arrival = Arrival::new(index as u64, request.class, fingerprint, 200);
        self.engines[entry].submit(arrival, now);
        self.settle(entry);
    }

    /// The caller of a poisonous request tries again, at whichever entry instance it is sent to.
    pub(super) fn poison_again(&mut self, index: usize, sends: u32) {
        if sends >= POISON_SENDS {
            return;
        }
        let mut request = self.requests[index].clone();
        self.cache.remove(&request.caller);
        request.sent = self.now;
        request.over = false;
        request.tried = false;
        request.region = sends as usize % self.site.regions.len();
        self.send(request);
        self.plan(self.now + POISON_PAUSE, Event::Poison(self.requests.len() - 1, sends + 1));
    }
}
