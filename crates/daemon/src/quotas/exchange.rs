//! Sends the messages of this daemon to the allocators.

use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use jsonrpsee_http_client::HttpClient;
use quota::message::{Account, Ask, Grant, Member};

use super::Inner;
use crate::Context;
use crate::context::lock;
use crate::peers::api::PeersClient as _;
use crate::plugin::Plugin;

/// Time over which requests for tokens are gathered into one message.
const GATHER: Duration = Duration::from_millis(5);
/// Longest time between two checks of which messages are due.
const MAX_SLEEP: Duration = Duration::from_millis(200);
/// The same while requests wait for tokens.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of requests of an account at all daemons for each one here that is assumed.
const MAX_FLEET_FACTOR: f64 = 1_000.0;
/// Shortest time between two choices of allocators.
const CHOICE_INTERVAL: Duration = Duration::from_millis(100);
/// The same for each daemon of the fleet: a choice looks at all of them.
const CHOICE_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(1);

inventory::submit! {
    Plugin(kernel::Plugin { name: "quota", stage: 35, start })
}

struct Task(tokio::task::JoinHandle<()>, Arc<Context>);

impl kernel::Component for Task {
    fn withdraw(&mut self) {
        let now = self.1.now();
        lock(&self.1.quotas.inner).allocator.end(now);
    }

    fn close(&mut self) {
        self.0.abort();
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let shared = Arc::clone(context);
    let task = context.runtime.spawn(async move {
        loop {
            let sleep = send_due(&shared);
            if tokio::time::timeout(sleep, shared.quotas.changed.notified()).await.is_ok() {
                tokio::time::sleep(GATHER).await;
            }
        }
    });
    Ok(Box::new(Task(task, Arc::clone(context))))
}

/// A message that is due.
enum Due {
    /// To this daemon's own allocator.
    Own(Ask),
    Peer(Member, HttpClient, Ask),
}

/// Sends the messages that are due; returns the time after which to check again.
fn send_due(context: &Arc<Context>) -> Duration {
    let now = context.now();
    let mut inner = lock(&context.quotas.inner);
    inner.update_limits(context, now);
    if !inner.in_use {
        return MAX_SLEEP;
    }
    choose(context, &mut inner, now);
    let mut factors = Vec::new();
    let due = inner.due(now);
    for message in due {
        match message {
            Due::Own(ask) => {
                let grant = inner.allocator.answer(&ask, now);
                let own = inner.own;
                inner.apply(own, &grant, now, now);
                factors.extend(inner.fleet_factors(&grant, now));
            }
            Due::Peer(member, client, ask) => call(context, member, client, ask, now),
        }
    }
    let sleep = if inner.stock.has_waiting() { RETRY_INTERVAL } else { MAX_SLEEP };
    drop(inner);
    tell_engine(context, &factors);
    sleep
}

/// Tells the dispatch engine how much more of each account's requests there are at all daemons than here.
fn tell_engine(context: &Arc<Context>, factors: &[(Account, f64)]) {
    if !factors.is_empty() {
        context.driver.with_engine_mut(context, |engine| {
            factors.iter().for_each(|(account, factor)| engine.set_fleet_factor(*account, *factor));
        });
    }
}

/// Sets this daemon's share and its choice of allocators by the members that it knows.
fn choose(context: &Arc<Context>, inner: &mut Inner, now: Time) {
    if now < inner.choice_due {
        return;
    }
    let roster = lock(&context.roster);
    let share = inner.census.share(context, &roster, now);
    inner.choice_due = now + CHOICE_INTERVAL.max(CHOICE_INTERVAL_PER_DAEMON * share.daemons as u32);
    inner.lender.set_share(share.of_all, share.daemons);
    let choice = inner.allocators.choose(&roster, now);
    inner.lender.choose(&choice, now);
}

impl Inner {
    /// Returns the messages that are due at `now`: to renew a loan, or to ask for tokens.
    fn due(&mut self, now: Time) -> Vec<Due> {
        let choice = self.lender.choice().to_vec();
        let due = choice.into_iter().filter_map(|member| {
            let chosen = |account: Account| self.lender.allocator_of(account) == Some(member);
            if self.allocators.is_busy(member) {
                return None;
            }
            if now < self.lender.renewal_at(member) && !self.stock.has_wants(chosen, now) {
                return None;
            }
            if member == self.own {
                let wants = self.stock.wants(chosen, now);
                return Some(Due::Own(self.lender.ask(member, wants, now)));
            }
            let client = self.allocators.start(member)?;
            let wants = self.stock.wants(chosen, now);
            Some(Due::Peer(member, client, self.lender.ask(member, wants, now)))
        });
        due.collect()
    }

    /// Returns, for each account of a grant, how many requests there are at all daemons for each one here.
    fn fleet_factors(&self, grant: &Grant, now: Time) -> Vec<(Account, f64)> {
        let factor = |here: f64, all: f32| f64::from(all) / here.max(f64::from(all) / MAX_FLEET_FACTOR).max(1e-3);
        let parts = grant.parts.iter().filter(|part| part.per_second > 0.0);
        parts.map(|part| (part.account, factor(self.stock.state(part.account, now).1, part.per_second))).collect()
    }

    /// Applies the answer of an allocator to the message that was sent at `sent_at`.
    fn apply(&mut self, member: Member, grant: &Grant, sent_at: Time, now: Time) {
        self.lender.record(member, grant, sent_at, now);
        for part in &grant.parts {
            let used_up = self.stock.record(*part, sent_at, now);
            self.serve_waiting(part.account, now);
            if let Some(after) = used_up {
                self.refuse_waiting(part.account, after);
            }
        }
    }
}

/// Sends a message on a task of its own.
fn call(context: &Arc<Context>, member: Member, client: HttpClient, ask: Ask, sent_at: Time) {
    let shared = Arc::clone(context);
    context.runtime.spawn(async move {
        let wants = ask.wants.clone();
        let answer = match client.tokens(ask.clone()).await {
            // The connection may have been lost since it was last used; the message has an effect only once.
            Err(jsonrpsee::core::ClientError::Transport(_)) => client.tokens(ask).await,
            answer => answer,
        };
        let now = shared.now();
        let mut inner = lock(&shared.quotas.inner);
        inner.allocators.end(member, answer.is_ok(), now);
        let mut factors = Vec::new();
        match answer {
            Ok(grant) => {
                inner.apply(member, &grant, sent_at, now);
                factors = inner.fleet_factors(&grant, now);
            }
            Err(error) => {
                inner.stock.record_failure(&wants);
                log::info!("quota: allocator did not answer member={member:016x} reason={:?}", error.to_string());
            }
        }
        drop(inner);
        tell_engine(&shared, &factors);
        shared.quotas.changed.notify_one();
    });
}
