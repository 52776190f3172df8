//! Reads the operators' policy from the store, if this daemon is one of the few that do.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::Document;
use store::{Store as _, key};

use crate::Context;
use crate::context::lock;
use crate::plugin::{PeriodicThread, Plugin};
use crate::{peers, policies};

/// Turns after which a daemon that learned nothing from anyone reads by itself.
const LONELY_TURNS: u32 = 3;

inventory::submit! {
    Plugin(kernel::Plugin { name: "reader", stage: 30, start })
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    if context.catalog.is_some() {
        return Ok(Box::new(kernel::Idle));
    }
    let settings = &context.settings.platform;
    let pause = settings.poll_ms;
    let most = settings.readers as usize;
    let mut rng = fastrand::Rng::with_seed(context.incarnation);
    let mut turns = 0_u32;
    let context = Arc::clone(context);
    let running = PeriodicThread::start("reader", move || {
        turns = turns.saturating_add(1);
        let lonely = turns > LONELY_TURNS && lock(&context.policy_replica).revision() == 0;
        if lonely || lock(&context.roster).reads_store(most) {
            read(&context);
        }
        // Jitter keeps readers apart, so that one of them is always early.
        Duration::from_millis(rng.u64(pause / 2..=pause + pause / 2))
    })?;
    Ok(Box::new(running))
}

fn read(context: &Arc<Context>) {
    let result = context.store.read(key::POLICY);
    let label = if result.is_ok() { "ok" } else { "failed" };
    context.metrics.store_calls.with_label_values(&["policy", label]).inc();
    match result {
        Ok(Some(entry)) => {
            context.store_answered_at.store(context.now().as_micros(), Ordering::Relaxed);
            let text = String::from_utf8_lossy(&entry.value).into_owned();
            if policies::apply(context, Document::new(entry.revision, text), "store") {
                peers::tell_revision(context);
            }
        }
        Ok(None) => {
            context.store_answered_at.store(context.now().as_micros(), Ordering::Relaxed);
            log::debug!("reader: no policy in the store");
        }
        Err(error) => log::debug!("reader: read skipped reason={:?}", error.to_string()),
    }
}
