//! After a stall of the process, suspends dispatch until the state of backend servers has been confirmed by the store, or
//! the store does not answer in time.

use std::sync::Arc;
use std::time::Duration;

use base::time::Time;

use crate::context::lock;
use crate::plugin::Plugin;
use crate::{Context, mirror, view};

/// Time between two checks for a stall.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which dispatch stays suspended: if the store does not answer, it goes on with the last known state.
const MAX_SUSPENSION: Duration = Duration::from_millis(400);
/// Time between two checks whether the list was read again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

inventory::submit! {
    Plugin(kernel::Plugin { name: "stall", stage: 15, start })
}

/// The task that checks for stalls.
struct Watchdog(tokio::task::JoinHandle<()>);

impl kernel::Component for Watchdog {
    fn close(&mut self) {
        self.0.abort();
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let shared = Arc::clone(context);
    let task = context.runtime.spawn(async move {
        loop {
            check(&shared);
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    });
    Ok(Box::new(Watchdog(task)))
}

/// Checks whether the process has stalled; if so, suspends dispatch and starts the confirmation. Called before anything is
/// decided or sent.
pub fn check(context: &Arc<Context>) {
    let now = context.now();
    let Some(stalled) = lock(&context.stall_detector).observe(now) else { return };
    log::warn!("stall: process stalled, dispatch suspended until the store has answered ms={}", stalled.as_millis());
    context.metrics.stalls.inc();
    context.unconfirmed_stalls.send_modify(|stalls| *stalls += 1);
    context.driver.with_engine_mut(context, |engine| engine.suspend(stalled, now + MAX_SUSPENSION));
    let shared = Arc::clone(context);
    context.runtime.spawn(async move {
        let confirmed = tokio::time::timeout(MAX_SUSPENSION, confirm(&shared, now)).await.is_ok();
        view::refresh(&shared);
        let now = shared.now();
        shared.driver.with_engine_mut(&shared, |engine| engine.resume(now));
        shared.unconfirmed_stalls.send_modify(|stalls| *stalls -= 1);
        log::info!("stall: dispatch resumed confirmed={confirmed}");
    });
}

/// Checks whether the process has stalled, and waits while dispatch is suspended. Called before anything is sent that the dispatch
/// engine does not send.
pub async fn settled(context: &Arc<Context>) {
    check(context);
    let confirmed = context.unconfirmed_stalls.subscribe().wait_for(|stalls| *stalls == 0).await.is_ok();
    debug_assert!(confirmed, "the context has the sender");
}

/// Waits until the state of backend servers is newer than `stall_end`.
async fn confirm(context: &Context, stall_end: Time) {
    if context.catalog.is_some() {
        return mirror::confirm(context).await;
    }
    while lock(&context.instance_list).read_at.is_none_or(|read_at| read_at <= stall_end) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
