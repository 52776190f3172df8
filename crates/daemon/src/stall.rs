//! After the process stood still nothing is sent until the store has confirmed what is believed, or does not answer.

use std::sync::Arc;
use std::time::Duration;

use base::time::Time;

use crate::context::lock;
use crate::plugin::Plugin;
use crate::{Context, mirror, view};

/// Time between two signs of life.
const BEAT: Duration = Duration::from_millis(200);
/// Longest time for which requests wait for the store's word: with the store away, work goes on with what is believed.
const DOUBT: Duration = Duration::from_millis(400);
/// Time between two looks at whether the list was read again.
const LOOK: Duration = Duration::from_millis(10);

inventory::submit! {
    Plugin(kernel::Plugin { name: "stall", stage: 15, start })
}

struct Beating(tokio::task::JoinHandle<()>);

impl kernel::Component for Beating {
    fn close(&mut self) {
        self.0.abort();
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let shared = Arc::clone(context);
    let task = context.runtime.spawn(async move {
        loop {
            check(&shared);
            tokio::time::sleep(BEAT).await;
        }
    });
    Ok(Box::new(Beating(task)))
}

/// A sign of life; called before anything is decided or sent.
pub fn check(context: &Arc<Context>) {
    let now = context.now();
    let Some(stood) = lock(&context.stall_detector).observe(now) else { return };
    log::warn!("stall: the process stood still, nothing is sent until the store has answered ms={}", stood.as_millis());
    context.metrics.stalls.inc();
    context.driver.with_engine_mut(context, |engine| engine.suspend(stood, now + DOUBT));
    let shared = Arc::clone(context);
    context.runtime.spawn(async move {
        let confirmed = tokio::time::timeout(DOUBT, confirm(&shared, now)).await.is_ok();
        view::refresh(&shared);
        let now = shared.now();
        shared.driver.with_engine_mut(&shared, |engine| engine.resume(now));
        log::info!("stall: goes on confirmed={confirmed}");
    });
}

/// Waits until what is believed of backend servers is newer than `woke`.
async fn confirm(context: &Context, woke: Time) {
    if context.catalog.is_some() {
        return mirror::confirm(context).await;
    }
    while lock(&context.instance_list).read_at.is_none_or(|read_at| read_at <= woke) {
        tokio::time::sleep(LOOK).await;
    }
}
