//! Calls to the store itself.

use std::sync::atomic::Ordering;
use std::time::Duration;

use store::{Answer, Call, Error, Pages, Reply, Result, Version};

use super::{MIN_RETRY_DELAY, Outcome};
use crate::Context;
use crate::context::lock;

/// Prefix of which there are no keys: a list of them returns the store's revision and little else.
const EMPTY_PREFIX: &str = "hemlock/none/";

/// Time after which a list that said nothing of some keys is made again: the store may have refused a page for a moment only.
const RELIST_INTERVAL: Duration = Duration::from_secs(2);

/// Whether the mirror has nothing yet of the store's era, so that a watch cannot follow on it, or the last list lacked keys.
pub fn must_list(context: &Context) -> bool {
    let now = context.now();
    let mirror = lock(&context.mirror);
    let version = mirror.version();
    version.revision == 0 || version.era < context.store.era() || mirror.lacks_keys(RELIST_INTERVAL, now)
}

/// Lists all keys and replaces the mirror's contents with them.
pub async fn list(context: &Context) -> Result<Outcome> {
    let sent = context.now();
    let mut pages = Pages::new();
    let mut first = None;
    while let Some(after) = pages.next().map(str::to_owned) {
        let listed = call(context, Call::List { prefix: String::new(), after, stale: false }).await;
        let Answer { era, reply } = match listed {
            Err(Error::Unreadable(_)) if pages.pass_over().is_ok() => continue,
            listed => listed?,
        };
        let Reply::Page { entries, more, revision } = reply else { return Err(unexpected(&reply)) };
        // Later pages may be newer. The watch starts at the first page's revision and returns what the earlier ones
        // missed.
        let first: Version = *first.get_or_insert(Version::new(era, revision));
        if era != first.era {
            return Err(Error::Outdated { era: first.era, newest: era });
        }
        pages.add(entries, more).map_err(|fault| Error::Ambiguous(fault.to_string()))?;
    }
    let first = first.unwrap_or_default();
    let (entries, gaps) = pages.into_parts();
    let now = context.now();
    let mut mirror = lock(&context.mirror);
    for gap in gaps.iter().filter(|gap| !mirror.gaps().contains(gap)) {
        log::warn!("mirror: keys not listed, the store returns no page of them after={:?} to={:?}", gap.after, gap.to);
    }
    let (known, keys) = (mirror.version(), entries.len());
    let changed = mirror.replace_except(entries, gaps, first, now);
    mirror.confirm(sent);
    log::info!("mirror: all keys listed version={first} known={known} keys={keys} changed={changed}");
    context.metrics.store_lists.inc();
    Ok(Outcome::Changed)
}

/// Waits for changes and applies them; returns early when the source should be selected again.
pub async fn changes(context: &Context) -> Result<Outcome> {
    let wait = Duration::from_millis(context.settings.platform.watch_ms);
    let wait = if lock(&context.mirror).gaps().is_empty() { wait } else { wait.min(RELIST_INTERVAL) };
    tokio::select! {
        outcome = changes_within(context, wait) => outcome,
        () = context.mirror_sync.reselect.notified() => Ok(Outcome::Unchanged),
    }
}

/// Applies the changes that come within `wait`.
pub async fn changes_within(context: &Context, wait: Duration) -> Result<Outcome> {
    let after = lock(&context.mirror).version();
    let call = call(context, Call::Watch { prefix: String::new(), after: after.revision, wait });
    let Answer { era, reply } = match call.await {
        // What a watch cannot tell, a list can.
        Err(Error::Unreadable(reason)) => {
            log::warn!("mirror: watch not readable for the store, all keys are listed instead reason={reason:?}");
            return Ok(Outcome::Compacted);
        }
        answer => answer?,
    };
    match reply {
        // The revision after which the store was asked is not one of this era.
        Reply::Events { .. } if era != after.era => Ok(Outcome::Compacted),
        Reply::Events { events, revision } => {
            let now = context.now();
            let changed = lock(&context.mirror).apply(events, Version::new(era, revision), now);
            Ok(if changed { Outcome::Changed } else { Outcome::Unchanged })
        }
        Reply::Compacted => Ok(Outcome::Compacted),
        other => Err(unexpected(&other)),
    }
}

/// Returns the store's version; every change accepted before this call has that version or a lower one.
pub async fn version(context: &Context) -> Result<Version> {
    let call = call(context, Call::List { prefix: EMPTY_PREFIX.to_owned(), after: String::new(), stale: false });
    let Answer { era, reply } = call.await?;
    match reply {
        Reply::Page { revision, .. } => Ok(Version::new(era, revision)),
        other => Err(unexpected(&other)),
    }
}

/// Waits until the mirror has every change that the store had accepted before this call.
pub async fn confirm(context: &Context) {
    loop {
        if let Ok(version) = version(context).await {
            while lock(&context.mirror).version() < version {
                tokio::time::sleep(MIN_RETRY_DELAY / 10).await;
            }
            return;
        }
        context.store.reconnect();
        tokio::time::sleep(MIN_RETRY_DELAY).await;
    }
}

/// Makes a call; an answer from an era before that of the mirror is an error.
async fn call(context: &Context, call: Call) -> Result<Answer> {
    let sent = context.now();
    let result = context.store.call(&call).await;
    let newest = lock(&context.mirror).version().era;
    let result = result.and_then(|answer| match answer.era {
        era if era < newest => Err(Error::Outdated { era, newest }),
        _ => Ok(answer),
    });
    let label = if result.is_ok() { "ok" } else { "failed" };
    record_era(context);
    context.metrics.store_calls.with_label_values(&[call.name(), label]).inc();
    if result.is_err() {
        // A watch may have waited for a long time before it failed, so its failure counts from now on, not from its
        // start.
        let since = if matches!(call, Call::Watch { .. }) { context.now() } else { sent };
        lock(&context.mirror).record_failure(since);
    } else {
        let now = context.now();
        context.store_answered_at.store(now.as_micros(), Ordering::Relaxed);
        let was_away = lock(&context.mirror).record_answer(sent, now);
        if was_away {
            log::info!("mirror: store answers again silent_ms={}", now.since(sent).as_millis());
        }
    }
    result
}

/// Logs the store's era when an answer named a later one than before.
fn record_era(context: &Context) {
    let (era, before) = (context.store.era() as i64, context.metrics.store_era.get());
    if era > before {
        context.metrics.store_era.set(era);
        log::info!("mirror: store era changed era={era} before={before}");
    }
}

fn unexpected(reply: &Reply) -> Error {
    Error::Ambiguous(format!("the store's answer belongs to another call: {reply:?}"))
}
