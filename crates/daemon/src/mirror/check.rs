//! Checks that the copy still hears of changes, whoever tells them.
//!
//! A daemon that watches the store asks it for its revision again and again: a watch that stalled shows no error. Any
//! other asks only when nobody has confirmed its copy for too long.

use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use fleet::source::MAX_STALENESS;
use store::{Error, Liveness};

use super::{Turn, Upstream, gathering, note_failure, publish, store as direct, upstream};
use crate::Context;
use crate::adapter::Catalog;
use crate::context::lock;

/// Longest sleep between two looks at whether a check is due.
const LOOK: Duration = Duration::from_millis(500);
/// Time between two looks at whether the watch has told what a check showed.
const CATCHING_UP: Duration = Duration::from_millis(50);
/// Pause after a check that failed, of a daemon that watches and of any other.
const PAUSE: Duration = Duration::from_millis(300);
const PAUSE_BEHIND: Duration = Duration::from_millis(1_500);
/// Longest wait for changes that are known to be there.
const FETCH: Duration = Duration::from_millis(50);

/// Checks for ever.
pub async fn run(context: Arc<Context>, catalog: Catalog) {
    let period = Duration::from_millis(context.settings.platform.liveness_ms);
    let mut rng = fastrand::Rng::with_seed(context.incarnation ^ 2);
    let mut liveness = Liveness::new();
    let mut next = context.now();
    let mut before = false;
    loop {
        let now = context.now();
        tokio::time::sleep(sleep(&context, &liveness, before, next, now)).await;
        let (known, age) = {
            let mirror = lock(&context.mirror);
            (mirror.revision(), mirror.age(context.now()))
        };
        let now = context.now();
        let watches = upstream(&context, false, now) == Upstream::Store;
        if std::mem::replace(&mut before, watches) != watches {
            context.mirror_sync.choose.notify_one();
            liveness = Liveness::new();
        }
        if known == 0 {
            continue;
        }
        if watches {
            note_confirmed(&context, &liveness, known);
            if liveness.check_overdue(known, now) {
                stalled(&context, known);
            }
        }
        let due = now >= next && (watches || age.is_none_or(|age| age >= MAX_STALENESS));
        if !due {
            continue;
        }
        let done = if watches { ask(&context, &mut liveness).await } else { catch_up(&context, catalog).await };
        let pause = match (done, watches) {
            (Ok(()), true) => period,
            (Ok(()), false) => CATCHING_UP,
            (Err(_), true) => PAUSE,
            (Err(_), false) => PAUSE_BEHIND.mul_f64(0.5 + rng.f64()),
        };
        next = now + pause;
    }
}

/// How long there is nothing to do.
fn sleep(context: &Context, liveness: &Liveness, watches: bool, next: Time, now: Time) -> Duration {
    if watches {
        let catching_up = if liveness.next_deadline().is_some() { CATCHING_UP } else { LOOK };
        return next.since(now).min(catching_up);
    }
    let age = lock(&context.mirror).age(now).unwrap_or_default();
    MAX_STALENESS.saturating_sub(age).max(next.since(now)).min(LOOK)
}

/// The watch hears nothing: it is asked anew, over a new connection.
fn stalled(context: &Context, known: u64) {
    log::warn!("mirror: watch stalled, asked anew revision={known}");
    context.store.reconnect();
    context.mirror_sync.choose.notify_one();
}

/// Asks for the store's revision beside our watch.
async fn ask(context: &Context, liveness: &mut Liveness) -> Result<(), Error> {
    let sent = context.now();
    match direct::revision(context).await {
        Ok(revision) => {
            let now = context.now();
            let known = lock(&context.mirror).revision();
            if liveness.record_answer(revision, known, gathering(context), sent, now) {
                stalled(context, known);
            }
            note_confirmed(context, liveness, known);
            Ok(())
        }
        Err(error) => {
            note_failure(context, &Upstream::Store, &error);
            liveness.record_failure();
            // The next one must not go over a connection that may be silent for good.
            context.store.reconnect();
            Err(error)
        }
    }
}

/// Tells others once the copy is known to hold all that the last check showed.
fn note_confirmed(context: &Context, liveness: &Liveness, known: u64) {
    let Some(as_of) = liveness.confirmed(known) else { return };
    if lock(&context.mirror).confirm(as_of) {
        context.mirror_sync.tell();
    }
}

/// Asks the store itself for what our source may not have told.
async fn catch_up(context: &Arc<Context>, catalog: Catalog) -> Result<(), Error> {
    let sent = context.now();
    let caught = async {
        let revision = direct::revision(context).await?;
        let mut changed = false;
        if lock(&context.mirror).revision() < revision {
            let turn = match direct::changes_within(context, FETCH).await? {
                Turn::Forgotten => direct::list(context).await?,
                turn => turn,
            };
            changed = matches!(turn, Turn::Changed);
        }
        let mut mirror = lock(&context.mirror);
        if mirror.revision() >= revision {
            mirror.confirm(sent);
        }
        Ok(changed)
    };
    match caught.await {
        Ok(changed) => {
            if changed {
                publish::publish(context, catalog);
            }
            context.mirror_sync.tell();
            Ok(())
        }
        Err(error) => {
            note_failure(context, &Upstream::Store, &error);
            context.store.reconnect();
            Err(error)
        }
    }
}
