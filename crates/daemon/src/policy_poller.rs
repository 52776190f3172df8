//! Polls the operators' policy in the store, if this daemon is one of the few that do; the others get it from peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::Document;
use fleet::replica::Origin;
use store::{Store as _, key};

use crate::Context;
use crate::context::lock;
use crate::plugin::{PeriodicThread, Plugin};
use crate::{peers, policies};

/// Polls after which a daemon that has got no policy from peers reads the store itself.
const MAX_POLLS_WITHOUT_POLICY: u32 = 3;

inventory::submit! {
    Plugin(kernel::Plugin { name: "reader", stage: 30, start })
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    if context.catalog.is_some() {
        return Ok(Box::new(kernel::Idle));
    }
    let settings = &context.settings.platform;
    let interval = settings.poll_ms;
    let readers = settings.readers as usize;
    let mut rng = fastrand::Rng::with_seed(context.incarnation);
    let mut polls = 0_u32;
    let context = Arc::clone(context);
    let thread = PeriodicThread::start("reader", move || {
        polls = polls.saturating_add(1);
        let no_policy = polls > MAX_POLLS_WITHOUT_POLICY && lock(&context.policy_replica).document().is_none();
        if no_policy || lock(&context.roster).reads_store(readers) {
            read(&context);
        }
        // Jitter spreads the readers over the interval, so that one of them sees a change early.
        Duration::from_millis(rng.u64(interval / 2..=interval + interval / 2))
    })?;
    Ok(Box::new(thread))
}

fn read(context: &Arc<Context>) {
    let result = context.store.read(key::POLICY);
    let label = if result.is_ok() { "ok" } else { "failed" };
    context.metrics.store_calls.with_label_values(&["policy", label]).inc();
    match result {
        Ok(Some(entry)) => {
            context.store_answered_at.store(context.now().as_micros(), Ordering::Relaxed);
            let text = String::from_utf8_lossy(&entry.value).into_owned();
            if policies::apply(context, Document::new(entry.revision, text), Origin::Store, "store") {
                peers::push_revision(context);
            }
        }
        Ok(None) => {
            context.store_answered_at.store(context.now().as_micros(), Ordering::Relaxed);
            log::debug!("reader: no policy in the store");
        }
        Err(error) => log::debug!("reader: read failed reason={:?}", error.to_string()),
    }
}
