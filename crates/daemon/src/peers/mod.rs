//! Exchange between daemons over JSON-RPC.

pub mod api;
pub mod client;
pub mod exchange;
pub mod server;

use std::sync::Arc;

use base::rate::Bucket;
use base::time::Time;
use dispatch::backend::BackendId;
use fleet::message::Message;

use crate::Context;
use crate::backends::announcement;
use crate::context::lock;

/// Times a second at which a daemon tells of losses and of leaving servers at once, and as many times together: a request
/// that crashes servers loses a few connections, a network hundreds.
const TELLS_PER_SECOND: f64 = 1.0;
const TELLS_TOGETHER: f64 = 3.0;

/// Bounds how often peers are told at once.
pub const fn telling(now: Time) -> Bucket {
    Bucket::new(TELLS_PER_SECOND, TELLS_TOGETHER, now)
}

/// Tells a few peers at once that a newer policy is in force here; they fetch it and tell others.
pub fn tell_revision(context: &Arc<Context>) {
    let fanout = context.settings.fleet.fanout as usize;
    tell(context, fanout);
}

/// Lets the messages of the next while tell of losses of connections; says whether requests are refused for them.
pub fn spread_losses(context: &Context, losses: &[(u64, u64)]) -> bool {
    let now = context.now();
    let fingerprints = losses.iter().map(|(fingerprint, _)| *fingerprint);
    let poison: Vec<(u64, u64)> = context.driver.with_engine(|engine| {
        fingerprints.flat_map(|fingerprint| engine.quarantine_losses(fingerprint, now)).collect()
    });
    let mut roster = lock(&context.roster);
    losses.iter().for_each(|loss| roster.losses_mut().add(*loss, now));
    poison.iter().for_each(|loss| roster.losses_mut().add_persistent(*loss, now));
    !poison.is_empty()
}

/// Tells peers at once of losses and of servers that leave, so that they send nothing there either; when there are many
/// they wait for the usual messages.
pub fn tell_urgent(context: &Arc<Context>) {
    let now = context.now();
    if !lock(&context.gossip_limiter).take(1.0, now) {
        return;
    }
    let mut roster = lock(&context.roster);
    let chosen = roster.random_members(context.settings.fleet.fanout as usize);
    let messages: Vec<Message> = chosen.iter().map(|_| roster.urgent_message(0, now)).collect();
    drop(roster);
    for ((name, address), message) in chosen.into_iter().zip(messages) {
        send(context, name, address, message);
    }
}

/// Backend servers said that they leave, to us or to a peer: passes on what is news.
pub fn spread_leaving(context: &Arc<Context>, servers: &[BackendId]) {
    let now = context.now();
    let news: Vec<BackendId> =
        servers.iter().copied().filter(|server| announcement::record_leaving(context, *server)).collect();
    if news.is_empty() {
        return;
    }
    let mut roster = lock(&context.roster);
    news.iter().for_each(|server| roster.leaving_mut().add(*server, now));
    drop(roster);
    tell_urgent(context);
}

/// Tells as many peers as it takes for most to hear at once that we leave.
pub fn tell_leaving(context: &Arc<Context>) {
    tell(context, 2 * context.settings.fleet.fanout as usize);
}

fn tell(context: &Arc<Context>, most: usize) {
    let chosen = lock(&context.roster).random_members(most);
    for (name, address) in chosen {
        send(context, name, address, exchange::message(context));
    }
}

fn send(context: &Arc<Context>, name: String, address: String, message: Message) {
    let context = Arc::clone(context);
    let runtime = context.runtime.clone();
    runtime.spawn(async move { exchange::with(&context, &name, &address, message).await });
}
