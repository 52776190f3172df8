//! Requests of client accounts.

use std::time::Duration;

use dispatch::engine::{Account, Arrival};

use super::{Cluster, Request};

/// What the callers of a client account send.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub per_second: f64,
    /// Times that callers repeat a refused request at once.
    pub repeats: u32,
}

impl Cluster {
    /// Runs for `time` with the demand of client accounts, whose numbers count from 1, from callers of all regions.
    pub fn run_accounts(&mut self, time: Duration, demands: &[Demand], objects: u64) {
        let end = self.now + time;
        let mut due = vec![self.now; demands.len()];
        while self.now < end {
            let index = (0..due.len()).min_by_key(|index| due[*index]).unwrap_or(0);
            self.advance(due[index].min(end));
            if due[index] >= end {
                break;
            }
            let region = self.rng.u16(..3);
            let object = 1_000 * u64::from(region) + self.rng.u64(..objects);
            self.by_account.entry(index as u64 + 1).or_default().asked += 1;
            self.submit_for(region, object, index as u64 + 1, demands[index].repeats);
            let pause = -(1.0 - self.rng.f64()).ln() / demands[index].per_second;
            due[index] = due[index] + Duration::from_secs_f64(pause);
        }
    }

    fn submit_for(&mut self, region: u16, object: u64, account: u64, repeats_left: u32) {
        let engine = usize::from(region) * 2 + self.rng.usize(0..2);
        self.next += 1;
        self.requests.insert(self.next, Request { engine, object, arrived: self.now, account, repeats_left });
        let arrival = Arrival {
            object: Some(object),
            account: Account { id: account, ..Account::NONE },
            ..Arrival::new(self.next, 0, object, 100)
        };
        self.engines[engine].0.submit(arrival, self.now);
        self.apply_actions(engine);
        for again in std::mem::take(&mut self.repeated) {
            let region = self.engines[again.engine].1;
            self.submit_for(region, again.object, again.account, again.repeats_left - 1);
        }
    }
}
