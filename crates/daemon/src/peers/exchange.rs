//! The periodic gossip exchange with one peer at a time, and joining at startup.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::time::Time;
use fleet::Document;
use fleet::message::{Message, Snapshot};
use fleet::replica::{Origin, Version};
use jsonrpsee_http_client::HttpClient;

use super::api::PeersClient as _;
use super::client;
use crate::Context;
use crate::backends::announcement;
use crate::context::lock;
use crate::plugin::Plugin;
use crate::policies;

/// Upper bound of the delay between two seeds at startup.
const MAX_JOIN_BACKOFF: Duration = Duration::from_secs(8);
/// Maximum number of peers from which the policy is fetched at the same time.
pub const MAX_POLICY_FETCHES: usize = 3;
/// Time after which daemons that are started together are assumed to have registered with a seed.
const REGISTRATION_TIME: Duration = Duration::from_millis(400);

inventory::submit! {
    Plugin(kernel::Plugin { name: "exchange", stage: 30, start })
}

struct Exchange(tokio::task::JoinHandle<()>, Arc<Context>);

impl kernel::Component for Exchange {
    fn withdraw(&mut self) {
        lock(&self.1.roster).leave();
        super::push_departure(&self.1);
    }

    fn close(&mut self) {
        self.0.abort();
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let shared = Arc::clone(context);
    let task = context.runtime.spawn(async move {
        if !join(&shared).await {
            log::warn!("peers: no peer answered seeds={}", shared.settings.fleet.seeds.len());
        }
        shared.mirror_sync.mark_joined();
        run(&shared).await;
    });
    Ok(Box::new(Exchange(task, Arc::clone(context))))
}

/// Returns the next regular gossip message to any member.
pub fn message(context: &Context) -> Message {
    let version = lock(&context.policy_replica).version();
    let now = context.now();
    lock(&context.roster).message(version, now)
}

/// Returns the next regular gossip message to the member `name`.
pub fn message_to(context: &Context, name: &str) -> Message {
    let version = lock(&context.policy_replica).version();
    let now = context.now();
    lock(&context.roster).message_to(name, version, now)
}

/// Returns the answer to a peer's message.
pub fn answer(context: &Context, message: &Message) -> Message {
    let version = lock(&context.policy_replica).version();
    let now = context.now();
    lock(&context.roster).answer(message, version, now)
}

/// Applies a message that a peer sent, and starts fetching the peer's policy if that is newer.
pub fn apply_message(context: &Arc<Context>, message: &Message) {
    merge_message(context, message);
    let address = &message.from.peer_address;
    if lock(&context.policy_replica).needs(message.version)
        && let Some(client) = client::client(context, address)
    {
        fetch_newer(context, message.version, None, address, client);
    }
}

/// Applies a peer's message: merges members, loads, losses, leaving servers and rate limits.
fn merge_message(context: &Arc<Context>, message: &Message) {
    let now = context.now();
    lock(&context.roster).merge(message, now);
    if !message.losses.is_empty() {
        let new_losses = context.driver.with_engine_mut(context, |engine| engine.merge_losses(&message.losses, now));
        // Most single losses are connections that ended by themselves. Pushed by all daemons to all others, each one
        // would cost more than its request, so losses are pushed only if requests are refused because of them.
        if super::spread_losses(context, &new_losses) {
            super::push_urgent(context);
        }
    }
    super::spread_leaving(context, &message.leaving);
    super::merge_rate_limits(context, &message.rate_limits);
}

/// Starts fetching the policy of the peer at `address`, which has `version` in force, over the connection of `client` if that is newer
/// and not being fetched from [`MAX_POLICY_FETCHES`] peers already. At `confirmed_at`, if it is known, this version was the store's.
pub fn fetch_newer(
    context: &Arc<Context>,
    version: Version,
    confirmed_at: Option<Time>,
    address: &str,
    client: HttpClient,
) {
    if !lock(&context.policy_replica).needs(version) {
        return;
    }
    let Ok(permit) = Arc::clone(&context.policy_fetches).try_acquire_owned() else { return };
    let (context, address) = (Arc::clone(context), address.to_owned());
    let runtime = context.runtime.clone();
    runtime.spawn(async move {
        if let Some(document) = fetch_policy(&context, &address, client).await {
            apply_policy(&context, document, confirmed_at, &address);
        }
        drop(permit);
    });
}

/// Applies the policy of the peer at `address`, which was the store's at `confirmed_at` if that is known.
pub fn apply_policy(context: &Arc<Context>, document: Document, confirmed_at: Option<Time>, address: &str) {
    let version = document.version;
    if policies::apply(context, document, Origin::Peer, address) {
        super::push_revision(context);
    }
    if let Some(as_of) = confirmed_at {
        lock(&context.confirmation).confirm(version, as_of);
    }
}

/// Sends `message` to one peer and applies its answer; records a failure in the roster, also if another instance answers: the peer has
/// ended, and its address was given to that one.
pub async fn exchange_with(context: &Arc<Context>, name: &str, address: &str, message: Message) {
    let Some(client) = client::client(context, address) else {
        return;
    };
    let connected = client.clone();
    match client.exchange(message).await {
        Ok(answer) => {
            context.metrics.exchanges.with_label_values(&["ok"]).inc();
            context.peer_answered_at.store(context.now().as_micros(), Ordering::Relaxed);
            record_sender(context, name, &answer);
            merge_message(context, &answer);
            fetch_newer(context, answer.version, None, &answer.from.peer_address, connected);
        }
        Err(error) => {
            context.metrics.exchanges.with_label_values(&["failed"]).inc();
            log::debug!("peers: exchange failed peer={name} reason={:?}", error.to_string());
            let now = context.now();
            lock(&context.roster).record_failure(name, now);
        }
    }
}

/// Records a failure of the member `name` if another instance has sent the answer. A seed is asked by its address, and is no member then.
fn record_sender(context: &Context, name: &str, answer: &Message) {
    let now = context.now();
    let mut roster = lock(&context.roster);
    if answer.from.name != name && roster.address(name).is_some() {
        log::info!("peers: another instance answered peer={name} answered={}", answer.from.name);
        roster.record_failure(name, now);
    }
}

async fn fetch_policy(context: &Context, address: &str, client: HttpClient) -> Option<Document> {
    let after = lock(&context.policy_replica).version();
    match client.policy(after.stored.revision, Some(after)).await {
        Ok(Some(document)) => return Some(document),
        Ok(None) => log::debug!("peers: policy skipped, not newer peer={address}"),
        Err(error) => log::debug!("peers: policy not fetched peer={address} reason={:?}", error.to_string()),
    }
    None
}

/// Joins through the first seed that answers, trying them in random order; returns whether one did.
async fn join(context: &Arc<Context>) -> bool {
    let mut rng = fastrand::Rng::with_seed(context.incarnation);
    let mut seeds = context.settings.fleet.seeds.clone();
    seeds.retain(|seed| *seed != context.settings.fleet.address);
    rng.shuffle(&mut seeds);
    let base = Duration::from_millis(context.settings.fleet.exchange_ms);
    for (attempts, seed) in seeds.iter().enumerate() {
        let Some(client) = client::client(context, seed) else {
            continue;
        };
        match client.snapshot().await {
            Ok(snapshot) => {
                let seed_is_starting = !snapshot.has_mirror && context.settings.fleet.first_start;
                apply_snapshot(context, snapshot, seed);
                if seed_is_starting && context.catalog.is_some() {
                    rejoin(context, seed).await;
                }
                return true;
            }
            Err(error) => log::debug!("peers: seed did not answer peer={seed} reason={:?}", error.to_string()),
        }
        // Full jitter keeps the daemons of a failure domain that all start at once from asking at the same time.
        let max_delay = base.saturating_mul(1 << attempts.min(6)).min(MAX_JOIN_BACKOFF);
        tokio::time::sleep(max_delay.mul_f64(rng.f64())).await;
    }
    false
}

/// Merges the snapshot of a peer: its members, leaving servers, rate limits and policy.
fn apply_snapshot(context: &Arc<Context>, snapshot: Snapshot, seed: &str) {
    let now = context.now();
    lock(&context.roster).merge_snapshot(&snapshot, now);
    for server in &snapshot.leaving {
        announcement::record_leaving(context, *server);
    }
    super::merge_rate_limits(context, &snapshot.rate_limits);
    log::info!("peers: joined through peer={seed} members={}", snapshot.records.len());
    if let Some(document) = snapshot.policy {
        policies::apply(context, document, Origin::Peer, seed);
    }
}

/// Registers with a seed that has just started itself, and requests its snapshot again after [`REGISTRATION_TIME`].
/// Without this, daemons that all start together would not know each other, and each would act as its region's leader.
async fn rejoin(context: &Arc<Context>, seed: &str) {
    exchange_with(context, seed, seed, message(context)).await;
    tokio::time::sleep(REGISTRATION_TIME).await;
    let Some(client) = client::client(context, seed) else { return };
    match client.snapshot().await {
        Ok(snapshot) => apply_snapshot(context, snapshot, seed),
        Err(error) => log::debug!("peers: seed did not answer peer={seed} reason={:?}", error.to_string()),
    }
}

/// Exchanges messages with one member after the other until the task is aborted. A daemon that knows no other one asks its seeds again:
/// they may have started later, and nobody else knows of it.
async fn run(context: &Arc<Context>) {
    let base = context.settings.fleet.exchange_ms;
    let mut rng = fastrand::Rng::with_seed(context.incarnation ^ 1);
    loop {
        let interval = rng.u64(base * 3 / 4..=base * 5 / 4);
        tokio::time::sleep(Duration::from_millis(interval)).await;
        let now = context.now();
        let target = {
            let mut roster = lock(&context.roster);
            roster.tick(now);
            roster.next_target(now)
        };
        match target {
            Some((name, address)) => {
                let message = message_to(context, &name);
                exchange_with(context, &name, &address, message).await;
            }
            None if context.stopping() || !lock(&context.roster).is_empty() => {}
            None => _ = join(context).await,
        }
    }
}
