//! Checks that the mirror still receives changes from its source.
//!
//! A daemon that watches the store polls the store's revision, since a stalled watch shows no error. Any other daemon
//! asks the store only when its mirror was not confirmed to be complete for [`MAX_STALENESS`].

use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use fleet::source::MAX_STALENESS;
use store::{Error, Liveness, Version};

use super::{Outcome, Upstream, current_batch_delay, log_failure, publish, store as direct, upstream};
use crate::Context;
use crate::adapter::Catalog;
use crate::context::lock;

/// Longest sleep before testing again whether a check is due.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Poll interval while the watch has yet to return a revision that a check has seen; also the shortest time between two
/// successful checks of a daemon that does not watch.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a failed check of a daemon that watches the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Average delay after a failed check of any other daemon.
const FOLLOWER_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Longest wait for changes that the store is known to have.
const FETCH_WAIT: Duration = Duration::from_millis(50);

/// Runs the checks until the task is aborted.
pub async fn run(context: Arc<Context>, catalog: Catalog) {
    let period = Duration::from_millis(context.settings.platform.liveness_ms);
    let mut rng = fastrand::Rng::with_seed(context.incarnation ^ 2);
    let mut liveness = Liveness::new();
    let mut next_check = context.now();
    let mut was_watching = false;
    loop {
        let now = context.now();
        tokio::time::sleep(time_to_next(&context, &liveness, was_watching, next_check, now)).await;
        let (version, age) = {
            let mirror = lock(&context.mirror);
            (mirror.version(), mirror.age(context.now()))
        };
        let now = context.now();
        let watching = upstream(&context, false, now) == Upstream::Store;
        if std::mem::replace(&mut was_watching, watching) != watching {
            context.mirror_sync.reselect.notify_one();
            liveness = Liveness::new();
        }
        if version.revision == 0 {
            continue;
        }
        if watching {
            record_confirmation(&context, &liveness, version);
            if liveness.check_overdue(version, now) {
                restart_watch(&context, version);
            }
        }
        let due = now >= next_check && (watching || age.is_none_or(|age| age >= MAX_STALENESS));
        if !due {
            continue;
        }
        let result = if watching { check(&context, &mut liveness).await } else { catch_up(&context, catalog).await };
        let delay = match (result, watching) {
            (Ok(()), true) => period,
            (Ok(()), false) => CATCH_UP_INTERVAL,
            (Err(_), true) => RETRY_DELAY,
            (Err(_), false) => FOLLOWER_RETRY_DELAY.mul_f64(0.5 + rng.f64()),
        };
        next_check = now + delay;
    }
}

/// Returns the time until the next check may be due.
fn time_to_next(context: &Context, liveness: &Liveness, watching: bool, next_check: Time, now: Time) -> Duration {
    if watching {
        let interval = if liveness.next_deadline().is_some() { CATCH_UP_INTERVAL } else { POLL_INTERVAL };
        return next_check.since(now).min(interval);
    }
    let age = lock(&context.mirror).age(now).unwrap_or_default();
    MAX_STALENESS.saturating_sub(age).max(next_check.since(now)).min(POLL_INTERVAL)
}

/// Starts a stalled watch again over a new connection.
fn restart_watch(context: &Context, version: Version) {
    log::warn!("mirror: watch stalled, starting it again version={version}");
    context.store.reconnect();
    context.mirror_sync.reselect.notify_one();
}

/// Asks the store for its version and compares it with what the watch has returned so far.
async fn check(context: &Context, liveness: &mut Liveness) -> Result<(), Error> {
    let sent = context.now();
    match direct::version(context).await {
        Ok(version) => {
            let now = context.now();
            let known = lock(&context.mirror).version();
            if liveness.record_answer(version, known, current_batch_delay(context), sent, now) {
                restart_watch(context, known);
            }
            record_confirmation(context, liveness, known);
            Ok(())
        }
        Err(error) => {
            log_failure(context, &Upstream::Store, &error);
            liveness.record_failure();
            // The connection may never answer again, so the next check uses a new one.
            context.store.reconnect();
            Err(error)
        }
    }
}

/// Marks the mirror as complete as of the last check if it has reached that check's version, and notifies followers.
fn record_confirmation(context: &Context, liveness: &Liveness, version: Version) {
    let Some(as_of) = liveness.confirmed(version) else { return };
    if lock(&context.mirror).confirm(as_of) {
        context.mirror_sync.notify();
    }
}

/// Fetches from the store itself the changes that the source may have missed.
async fn catch_up(context: &Arc<Context>, catalog: Catalog) -> Result<(), Error> {
    let sent = context.now();
    context.metrics.mirror_catch_ups.inc();
    let (known, age) = {
        let mirror = lock(&context.mirror);
        (mirror.version(), mirror.age(sent).map(|age| age.as_millis()))
    };
    let fetch = async {
        let version = direct::version(context).await?;
        log::info!("mirror: source too old, store asked version={version} known={known} age_ms={age:?}");
        let mut changed = false;
        if lock(&context.mirror).version() < version {
            let outcome = match direct::changes_within(context, FETCH_WAIT).await? {
                Outcome::Compacted => direct::list(context).await?,
                outcome => outcome,
            };
            changed = matches!(outcome, Outcome::Changed);
        }
        let mut mirror = lock(&context.mirror);
        if mirror.version() >= version {
            mirror.confirm(sent);
        }
        Ok(changed)
    };
    match fetch.await {
        Ok(changed) => {
            if changed {
                publish::publish(context, catalog);
            }
            context.mirror_sync.notify();
            Ok(())
        }
        Err(error) => {
            log_failure(context, &Upstream::Store, &error);
            context.store.reconnect();
            Err(error)
        }
    }
}
