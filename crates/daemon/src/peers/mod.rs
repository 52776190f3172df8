//! Gossip and calls between daemons over JSON-RPC.

pub mod api;
pub mod client;
pub mod exchange;
pub mod server;

use std::sync::Arc;

use base::rate::{Bucket, Limit};
use base::time::Time;
use dispatch::Engine;
use dispatch::announcements::News;
use dispatch::backend::BackendId;
use fleet::message::{self, Message};

use crate::Context;
use crate::backends::announcement;
use crate::context::lock;

/// Pushes of losses and leaving servers per second. A request that crashes servers loses a few connections; a network
/// fault loses hundreds, too many to push each.
const URGENT_PER_SECOND: f64 = 1.0;
/// Number of such pushes that may follow each other without a pause.
const URGENT_BURST: f64 = 3.0;

/// Returns the rate limiter of [`push_urgent`].
pub const fn gossip_limiter(now: Time) -> Bucket {
    Bucket::new(URGENT_PER_SECOND, URGENT_BURST, now)
}

/// Pushes the revision of a policy that has just become active to a few random peers, which fetch the policy and push
/// it on.
pub fn push_revision(context: &Arc<Context>) {
    let fanout = context.settings.fleet.fanout as usize;
    push(context, fanout);
}

/// Adds losses of connections to the next gossip messages; returns whether requests are refused because of them.
///
/// `losses` holds pairs of a request's fingerprint and the loss's unique number. All losses of a fingerprint that is
/// refused are repeated in every message for a while.
pub fn spread_losses(context: &Context, losses: &[(u64, u64)]) -> bool {
    let now = context.now();
    let fingerprints = losses.iter().map(|(fingerprint, _)| *fingerprint);
    let quarantined: Vec<(u64, u64)> = context.driver.with_engine(|engine| {
        fingerprints.flat_map(|fingerprint| engine.quarantine_losses(fingerprint, now)).collect()
    });
    let mut roster = lock(&context.roster);
    losses.iter().for_each(|loss| roster.losses_mut().add(*loss, now));
    quarantined.iter().for_each(|loss| roster.losses_mut().add_persistent(*loss, now));
    !quarantined.is_empty()
}

/// Pushes losses, leaving backend servers and rate limits to a few random peers, so that they heed them as well. Above
/// the rate limit of pushes they are left to the regular exchanges.
pub fn push_urgent(context: &Arc<Context>) {
    let now = context.now();
    if !lock(&context.gossip_limiter).take(1.0, now) {
        return;
    }
    let mut roster = lock(&context.roster);
    let targets = roster.random_members(context.settings.fleet.fanout as usize);
    let messages: Vec<Message> = targets.iter().map(|_| roster.urgent_message(0, now)).collect();
    drop(roster);
    for ((name, address), message) in targets.into_iter().zip(messages) {
        spawn_exchange(context, name, address, message);
    }
}

/// Records backend servers that announced to this daemon or to a peer that they leave, and pushes those that were not
/// known as leaving.
pub fn spread_leaving(context: &Arc<Context>, servers: &[BackendId]) {
    let now = context.now();
    let new: Vec<BackendId> =
        servers.iter().copied().filter(|server| announcement::record_leaving(context, *server)).collect();
    if new.is_empty() {
        return;
    }
    let mut roster = lock(&context.roster);
    new.iter().for_each(|server| roster.leaving_mut().add(*server, now));
    drop(roster);
    push_urgent(context);
}

/// Passes on a rate limit that this daemon has recorded, and pushes it if it began, changed or ended.
pub fn spread_rate_limit(context: &Arc<Context>, server: BackendId, limit: Limit, news: News) {
    if news == News::None {
        return;
    }
    lock(&context.roster).pass_on_rate_limit(server, limit, context.now());
    if news != News::Confirmed {
        push_urgent(context);
    }
}

/// Applies rate limits that peers have passed on, and passes on those that are new here.
pub fn merge_rate_limits(context: &Arc<Context>, limits: &[message::RateLimit]) {
    let now = context.now();
    for limit in limits {
        let (server, limit) = limit.received(now);
        let apply = |engine: &mut Engine| engine.apply_rate_limit(server, limit, now);
        let news = context.driver.with_engine_mut(context, apply);
        spread_rate_limit(context, server, limit, news);
    }
}

/// Pushes a change of this daemon's own record to twice the usual number of peers, so that most members receive it soon.
pub fn push_state(context: &Arc<Context>) {
    push(context, 2 * context.settings.fleet.fanout as usize);
}

/// Pushes the departure of this daemon to twice the usual number of peers, so that most members receive it soon.
pub fn push_departure(context: &Arc<Context>) {
    push_state(context);
}

fn push(context: &Arc<Context>, limit: usize) {
    let targets = lock(&context.roster).random_members(limit);
    for (name, address) in targets {
        let message = exchange::message_to(context, &name);
        spawn_exchange(context, name, address, message);
    }
}

/// Sends `message` to a peer on a task of its own.
fn spawn_exchange(context: &Arc<Context>, name: String, address: String, message: Message) {
    let context = Arc::clone(context);
    let runtime = context.runtime.clone();
    runtime.spawn(async move { exchange::exchange_with(&context, &name, &address, message).await });
}
