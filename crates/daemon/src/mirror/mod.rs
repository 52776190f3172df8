//! Keeps a mirror of the platform's store and applies the policy and the servers that it lists.
//!
//! The mirror receives changes from the store itself or from another daemon's mirror; [`fleet::source`] chooses which.

mod check;
mod follow;
mod publish;
mod store;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use ::store::Error;
use base::time::Time;
use fleet::source::{Backoff, MAX_STALENESS, Source};
use tokio::sync::{Notify, watch};

pub use self::follow::changes;
pub use self::publish::{is_policy_pending, policy_age};
pub use self::store::confirm;
use crate::Context;
use crate::adapter::Catalog;
use crate::context::lock;
use crate::plugin::Plugin;

/// Longest wait at startup for the other daemons to become known.
const JOIN_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after startup in which a source whose mirror is still empty is polled again rather than avoided if all daemons
/// start now (`fleet.first_start`): it may have started at the same time as this one.
const STARTUP_GRACE: Duration = Duration::from_secs(2);
/// Maximum number of members that are asked for an initial copy.
const MAX_BOOTSTRAP_MEMBERS: usize = 4;
/// Delay after a failed call; it doubles with each consecutive failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the delay after failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// The same for a daemon that asks the store only because the member that it would follow is avoided.
const MAX_FOLLOWER_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Delay before the next watch per watching daemon, so that one call returns several changes. With 20 ms each, all
/// watching daemons together make at most 50 calls a second while the store changes all the time.
const BATCH_DELAY_PER_WATCHER: Duration = Duration::from_millis(20);
/// Bounds of the delay before the next watch; the upper one exists since a change must be in force within seconds.
const BATCH_DELAY: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_millis(500);

inventory::submit! {
    Plugin(kernel::Plugin { name: "mirror", stage: 30, start })
}

/// State shared by the tasks that keep the mirror current.
#[derive(Debug)]
pub struct SyncState {
    /// Sources that are avoided for a while because they were silent or stale.
    backoff: std::sync::Mutex<Backoff>,
    /// Held while the mirror's contents are published, so that an earlier reading never replaces a later one.
    publishing: std::sync::Mutex<()>,
    /// Notified when the mirror changed or was confirmed to be complete again.
    updates: watch::Sender<()>,
    /// Notified when the source should be selected again.
    reselect: Notify,
    /// Whether joining has finished: a seed has named the other daemons, or no seed answered.
    joined: watch::Sender<bool>,
}

impl SyncState {
    /// Returns the state of a daemon whose mirror is still empty.
    pub fn new() -> Self {
        Self {
            backoff: std::sync::Mutex::default(),
            publishing: std::sync::Mutex::default(),
            updates: watch::Sender::new(()),
            reselect: Notify::new(),
            joined: watch::Sender::new(false),
        }
    }

    /// Marks joining as finished: the other daemons are known, or no seed answered.
    pub fn mark_joined(&self) {
        self.joined.send_replace(true);
    }

    /// Wakes the members' requests that wait for the mirror to change or to be confirmed.
    fn notify(&self) {
        self.updates.send_replace(());
    }
}

impl Default for SyncState {
    fn default() -> Self {
        Self::new()
    }
}

struct Tasks(Vec<tokio::task::JoinHandle<()>>);

impl kernel::Component for Tasks {
    fn close(&mut self) {
        self.0.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let Some(catalog) = context.catalog else {
        return Ok(Box::new(kernel::Idle));
    };
    let sync = context.runtime.spawn(sync(Arc::clone(context), catalog));
    let liveness = context.runtime.spawn(check::run(Arc::clone(context), catalog));
    let refresh = context.runtime.spawn(publish::run(Arc::clone(context), catalog));
    Ok(Box::new(Tasks(vec![sync, liveness, refresh])))
}

/// Result of one request for changes.
enum Outcome {
    Changed,
    Unchanged,
    /// The store no longer has the history from the mirror's revision on; all keys have to be listed.
    Compacted,
}

/// Where the mirror receives changes from: the store, or a member by name.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Upstream {
    Store,
    Member { name: String, stale_after: Duration },
}

/// Selects the source at `now`, without the members that are avoided as silent or stale unless `include_avoided` is
/// set.
fn upstream(context: &Context, include_avoided: bool, now: Time) -> Upstream {
    let settings = &context.settings;
    let roster = lock(&context.roster);
    let backoff = lock(&context.mirror_sync.backoff);
    let in_region = |domain: &str| settings.domains.get(domain) == Some(&settings.region);
    let region: BTreeMap<&str, &str> = roster
        .responsive_members()
        .filter(|(name, domain)| *name == settings.instance || in_region(domain))
        .filter(|(name, _)| include_avoided || *name == settings.instance || !backoff.is_active(name, now))
        .collect();
    let source = fleet::source::choose(&settings.instance, &region);
    match source {
        Source::Store => Upstream::Store,
        Source::RegionLeader(name) | Source::DomainLeader(name) => {
            Upstream::Member { name: name.to_owned(), stale_after: source.stale_after() }
        }
    }
}

/// Applies changes from the current source as they come; runs until the task is aborted.
async fn sync(context: Arc<Context>, catalog: Catalog) {
    let mut compacted = false;
    let mut compacted_at = None;
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut rng = fastrand::Rng::with_seed(context.incarnation);
    let mut follower = follow::Follower::default();
    let mut previous = None;
    bootstrap(&context, catalog, &mut follower).await;
    loop {
        let source = upstream(&context, false, context.now());
        if previous.as_ref() != Some(&source) {
            log::info!("mirror: source selected source={}", source_name(&source));
            previous = Some(source.clone());
        }
        let outcome = match &source {
            Upstream::Store if compacted || store::must_list(&context) => store::list(&context).await,
            Upstream::Store => store::changes(&context).await,
            Upstream::Member { name, stale_after } => follower.poll(&context, name, *stale_after).await,
        };
        match outcome {
            Ok(Outcome::Changed) => {
                (compacted, retry_delay) = (false, MIN_RETRY_DELAY);
                publish::publish(&context, catalog);
                context.mirror_sync.notify();
                if source == Upstream::Store {
                    tokio::time::sleep(current_batch_delay(&context)).await;
                }
            }
            Ok(Outcome::Unchanged) => {
                (compacted, retry_delay) = (false, MIN_RETRY_DELAY);
                context.mirror_sync.notify();
            }
            Ok(Outcome::Compacted) => {
                let version = lock(&context.mirror).version();
                log::info!("mirror: the store lacks the history, listing all keys version={version}");
                // A store that went back without naming an era: a list does not help until it has passed the version.
                if compacted_at.replace(version) == Some(version) {
                    log::warn!("mirror: the store is behind what it said before version={version}");
                    tokio::time::sleep(MAX_FOLLOWER_RETRY_DELAY).await;
                }
                compacted = true;
            }
            Err(error) => {
                log_failure(&context, &source, &error);
                let is_follower = upstream(&context, true, context.now()) != Upstream::Store;
                let max_delay =
                    if is_follower && source == Upstream::Store { MAX_FOLLOWER_RETRY_DELAY } else { MAX_RETRY_DELAY };
                let from_member = source != Upstream::Store;
                let delay = if from_member { MIN_RETRY_DELAY / 10 } else { retry_delay.mul_f64(0.5 + rng.f64()) };
                tokio::time::sleep(delay).await;
                if lock(&context.mirror).revision() == 0 && copy_from_any_member(&context, &mut follower).await {
                    publish::publish(&context, catalog);
                    context.mirror_sync.notify();
                }
                retry_delay = if from_member { retry_delay } else { (retry_delay * 2).min(max_delay) };
            }
        }
    }
}

/// Loads the initial copy. Callers wait for it, so the store and the members are asked at the same time. If all daemons
/// start now, no member has a copy yet, and this only waits for joining.
async fn bootstrap(context: &Arc<Context>, catalog: Catalog, follower: &mut follow::Follower) {
    let from_member = async {
        let mut joined = context.mirror_sync.joined.subscribe();
        if tokio::time::timeout(JOIN_TIMEOUT, joined.wait_for(|joined| *joined)).await.is_err() {
            log::info!("mirror: stopped waiting for this daemon to join its peers");
        }
        !context.settings.fleet.first_start && copy_from_any_member(context, follower).await
    };
    if context.settings.fleet.first_start {
        from_member.await;
        return;
    }
    let from_store = async { store::list(context).await.is_ok() };
    tokio::pin!(from_member, from_store);
    let loaded = tokio::select! {
        loaded = &mut from_store => loaded || from_member.await,
        loaded = &mut from_member => loaded || from_store.await,
    };
    if loaded {
        publish::publish(context, catalog);
        context.mirror_sync.notify();
    }
}

/// Copies the mirror of the first member that has one, however old it is, and returns whether one was found.
///
/// The store may not answer at all, and this daemon itself may be the one that the other members follow. Members of its
/// own region are asked first.
async fn copy_from_any_member(context: &Context, follower: &mut follow::Follower) -> bool {
    let mut members: Vec<(bool, String)> = {
        let roster = lock(&context.roster);
        let remote = |domain: &str| context.settings.domains.get(domain) != Some(&context.settings.region);
        let others = roster.responsive_members().filter(|(name, _)| *name != context.settings.instance);
        others.map(|(name, domain)| (remote(domain), name.to_owned())).collect()
    };
    fastrand::Rng::with_seed(context.incarnation).shuffle(&mut members);
    members.sort_by_key(|(remote, _)| *remote);
    for (_, name) in members.into_iter().take(MAX_BOOTSTRAP_MEMBERS) {
        let outcome = follower.poll(context, &name, MAX_STALENESS).await;
        if outcome.is_ok_and(|outcome| matches!(outcome, Outcome::Changed)) {
            return true;
        }
    }
    false
}

fn source_name(source: &Upstream) -> &str {
    match source {
        Upstream::Store => "store",
        Upstream::Member { name, .. } => name,
    }
}

/// Returns the delay before the next watch when `watchers` daemons watch the store, each for itself.
pub fn batch_delay(watchers: usize) -> Duration {
    BATCH_DELAY_PER_WATCHER.saturating_mul(watchers as u32).clamp(*BATCH_DELAY.start(), *BATCH_DELAY.end())
}

/// Returns the batch delay for the current regions: one daemon of each region watches.
fn current_batch_delay(context: &Context) -> Duration {
    let regions: std::collections::BTreeSet<&String> = context.settings.domains.values().collect();
    batch_delay(regions.len())
}

fn log_failure(context: &Context, source: &Upstream, error: &Error) {
    let now = context.now();
    let age = lock(&context.mirror).age(now).map_or(-1, |age| age.as_millis() as i64);
    let source = source_name(source);
    log::warn!("mirror: request failed source={source} knowledge_ms={age} reason={:?}", error.to_string());
}
