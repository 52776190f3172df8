//! One exchange with one peer, again and again.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::message::{Message, Snapshot};

use super::api::PeersClient as _;
use super::client;
use crate::Context;
use crate::backends::announcement;
use crate::context::lock;
use crate::plugin::Plugin;
use crate::policies;

/// Longest pause of a daemon that finds no peer at its start.
const LONGEST_BACKOFF: Duration = Duration::from_secs(8);
/// Time in which daemons that are started together have told a seed that they are there.
const MEETING: Duration = Duration::from_millis(400);

inventory::submit! {
    Plugin(kernel::Plugin { name: "exchange", stage: 30, start })
}

struct Exchange(tokio::task::JoinHandle<()>, Arc<Context>);

impl kernel::Component for Exchange {
    fn withdraw(&mut self) {
        lock(&self.1.roster).leave();
        super::tell_leaving(&self.1);
    }

    fn close(&mut self) {
        self.0.abort();
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let shared = Arc::clone(context);
    let task = context.runtime.spawn(async move {
        join(&shared).await;
        shared.mirror_sync.note_joined();
        run(&shared).await;
    });
    Ok(Box::new(Exchange(task, Arc::clone(context))))
}

/// The message for a peer.
pub fn message(context: &Context) -> Message {
    let revision = lock(&context.policy_replica).revision();
    let now = context.now();
    lock(&context.roster).message(revision, now)
}

/// The answer to a peer's message.
pub fn answer(context: &Context, message: &Message) -> Message {
    let revision = lock(&context.policy_replica).revision();
    let now = context.now();
    lock(&context.roster).answer(message, revision, now)
}

/// Takes in a peer's message and fetches its policy if that is newer.
pub fn take(context: &Arc<Context>, message: &Message) {
    let now = context.now();
    lock(&context.roster).merge(message, now);
    if !message.losses.is_empty() {
        let news = context.driver.with_engine_mut(context, |engine| engine.merge_losses(&message.losses, now));
        // A single loss is mostly a connection's own end; told at once by all to all, each one costs more than its request.
        if super::spread_losses(context, &news) {
            super::tell_urgent(context);
        }
    }
    super::spread_leaving(context, &message.leaving);
    if lock(&context.policy_replica).needs(message.revision) {
        let address = message.from.peer_address.clone();
        let context = Arc::clone(context);
        let runtime = context.runtime.clone();
        runtime.spawn(async move { fetch(&context, &address).await });
    }
}

/// Sends `message` to one peer and takes in its answer.
pub async fn with(context: &Arc<Context>, name: &str, address: &str, message: Message) {
    let Some(client) = client::client(context, address) else {
        return;
    };
    match client.exchange(message).await {
        Ok(answer) => {
            context.metrics.exchanges.with_label_values(&["ok"]).inc();
            context.peer_answered_at.store(context.now().as_micros(), Ordering::Relaxed);
            take(context, &answer);
        }
        Err(error) => {
            context.metrics.exchanges.with_label_values(&["failed"]).inc();
            log::debug!("peers: exchange failed peer={name} reason={:?}", error.to_string());
            let now = context.now();
            lock(&context.roster).record_failure(name, now);
        }
    }
}

async fn fetch(context: &Arc<Context>, address: &str) {
    let after = lock(&context.policy_replica).revision();
    let Some(client) = client::client(context, address) else {
        return;
    };
    match client.policy(after).await {
        Ok(Some(copy)) => {
            if policies::apply(context, copy, address) {
                super::tell_revision(context);
            }
        }
        Ok(None) => log::debug!("peers: policy skipped, not newer peer={address}"),
        Err(error) => log::debug!("peers: policy not fetched peer={address} reason={:?}", error.to_string()),
    }
}

/// Takes the state of the first peer that answers; a daemon alone goes on without.
async fn join(context: &Arc<Context>) {
    let mut rng = fastrand::Rng::with_seed(context.incarnation);
    let mut seeds = context.settings.fleet.seeds.clone();
    seeds.retain(|seed| *seed != context.settings.fleet.address);
    rng.shuffle(&mut seeds);
    let base = Duration::from_millis(context.settings.fleet.exchange_ms);
    for (tries, seed) in seeds.iter().enumerate() {
        let Some(client) = client::client(context, seed) else {
            continue;
        };
        match client.snapshot().await {
            Ok(snapshot) => {
                let starting = !snapshot.has_mirror && context.settings.fleet.first_start;
                adopt(context, snapshot, seed);
                if starting && context.catalog.is_some() {
                    meet(context, seed).await;
                }
                return;
            }
            Err(error) => log::debug!("peers: seed skipped peer={seed} reason={:?}", error.to_string()),
        }
        // Full jitter keeps a whole failure domain that starts at once from coming all together.
        let most = base.saturating_mul(1 << tries.min(6)).min(LONGEST_BACKOFF);
        tokio::time::sleep(most.mul_f64(rng.f64())).await;
    }
    log::warn!("peers: no peer answered seeds={}", seeds.len());
}

/// Takes in what a peer knows.
fn adopt(context: &Arc<Context>, snapshot: Snapshot, seed: &str) {
    let now = context.now();
    lock(&context.roster).merge_snapshot(&snapshot, now);
    for server in &snapshot.leaving {
        announcement::record_leaving(context, *server);
    }
    log::info!("peers: joined through peer={seed} members={}", snapshot.records.len());
    if let Some(copy) = snapshot.policy {
        policies::apply(context, copy, seed);
    }
}

/// Tells a peer that has just started itself that we are here, and asks it a moment later who else is: where all start
/// together, each would take itself for the first one of its region.
async fn meet(context: &Arc<Context>, seed: &str) {
    with(context, seed, seed, message(context)).await;
    tokio::time::sleep(MEETING).await;
    let Some(client) = client::client(context, seed) else { return };
    match client.snapshot().await {
        Ok(snapshot) => adopt(context, snapshot, seed),
        Err(error) => log::debug!("peers: seed skipped peer={seed} reason={:?}", error.to_string()),
    }
}

async fn run(context: &Arc<Context>) {
    let base = context.settings.fleet.exchange_ms;
    let mut rng = fastrand::Rng::with_seed(context.incarnation ^ 1);
    loop {
        let jittered = rng.u64(base * 3 / 4..=base * 5 / 4);
        tokio::time::sleep(Duration::from_millis(jittered)).await;
        let now = context.now();
        let target = {
            let mut roster = lock(&context.roster);
            roster.tick(now);
            roster.next_target(now)
        };
        if let Some((name, address)) = target {
            with(context, &name, &address, message(context)).await;
        }
    }
}
