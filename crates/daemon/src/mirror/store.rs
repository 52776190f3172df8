//! Questions to the store itself.

use std::sync::atomic::Ordering;
use std::time::Duration;

use store::{Call, Entry, Error, Reply, Result};

use super::{FIRST_PAUSE, Turn};
use crate::Context;
use crate::context::lock;

/// Start of keys of which there are none: a list of them tells the store's revision and little else.
const NOTHING: &str = "hemlock/none/";

/// Takes in all keys.
pub async fn list(context: &Context) -> Result<Turn> {
    let sent = context.now();
    let mut all: Vec<Entry> = Vec::new();
    let mut first = None;
    loop {
        let after = all.last().map(|entry| entry.key.clone()).unwrap_or_default();
        let reply = call(context, Call::List { prefix: String::new(), after, stale: false }).await?;
        let Reply::Page { entries, more, revision } = reply else { return Err(unexpected(&reply)) };
        // Later pages may be newer; the watch from the first page's revision tells what they missed.
        let first = *first.get_or_insert(revision);
        let done = !more || entries.is_empty();
        all.extend(entries);
        if done {
            let now = context.now();
            let mut mirror = lock(&context.mirror);
            mirror.replace(all, first, now);
            mirror.confirm(sent);
            return Ok(Turn::Changed);
        }
    }
}

/// Waits for changes and takes them in; ends early when the source should be chosen anew.
pub async fn changes(context: &Context) -> Result<Turn> {
    let wait = Duration::from_millis(context.settings.platform.watch_ms);
    tokio::select! {
        turn = changes_within(context, wait) => turn,
        () = context.mirror_sync.choose.notified() => Ok(Turn::Same),
    }
}

/// Takes in the changes that come within `wait`.
pub async fn changes_within(context: &Context, wait: Duration) -> Result<Turn> {
    let after = lock(&context.mirror).revision();
    match call(context, Call::Watch { prefix: String::new(), after, wait }).await? {
        Reply::Events { events, revision } => {
            let now = context.now();
            let changed = lock(&context.mirror).apply(events, revision, now);
            Ok(if changed { Turn::Changed } else { Turn::Same })
        }
        Reply::Compacted => Ok(Turn::Forgotten),
        other => Err(unexpected(&other)),
    }
}

/// The store's revision: all that it had accepted when this was called stands at or below it.
pub async fn revision(context: &Context) -> Result<u64> {
    match call(context, Call::List { prefix: NOTHING.to_owned(), after: String::new(), stale: false }).await? {
        Reply::Page { revision, .. } => Ok(revision),
        other => Err(unexpected(&other)),
    }
}

/// Waits until the copy holds all that the store had accepted when this was called.
pub async fn confirm(context: &Context) {
    loop {
        if let Ok(revision) = revision(context).await {
            while lock(&context.mirror).revision() < revision {
                tokio::time::sleep(FIRST_PAUSE / 10).await;
            }
            return;
        }
        context.store.reconnect();
        tokio::time::sleep(FIRST_PAUSE).await;
    }
}

async fn call(context: &Context, call: Call) -> Result<Reply> {
    let sent = context.now();
    let result = context.store.call(&call).await;
    let label = if result.is_ok() { "ok" } else { "failed" };
    context.metrics.store_calls.with_label_values(&[call.name(), label]).inc();
    if result.is_err() {
        // A watch may have waited for long before it was cut.
        let since = if matches!(call, Call::Watch { .. }) { context.now() } else { sent };
        lock(&context.mirror).record_failure(since);
    } else {
        let now = context.now();
        context.store_answered_at.store(now.as_micros(), Ordering::Relaxed);
        let lost = lock(&context.mirror).record_answer(sent, now);
        if lost {
            log::info!("mirror: store answers again silent_ms={}", now.since(sent).as_millis());
        }
    }
    result
}

fn unexpected(reply: &Reply) -> Error {
    Error::Ambiguous(format!("the answer fits another call: {reply:?}"))
}
