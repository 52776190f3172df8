//! Keeps a copy of the platform's store and puts what it says into force.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::Copy;
use store::{Call, Entry, Error, Liveness, Reply, Result};
use tokio::sync::Notify;

use crate::adapter::{Catalog, Revised};
use crate::context::lock;
use crate::plugin::Plugin;
use crate::{Context, peers, policies, view};

/// First pause after a call that failed; it doubles with each one in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after calls that failed.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Time in which further changes are left to come before the next watch, so that one call tells several: for each
/// daemon, so that all of them together make 50 calls a second at most while the store changes all the time.
const GATHER_EACH: Duration = Duration::from_millis(20);
/// The same at least, and at most: a change must be in force within seconds.
const GATHER: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_millis(500);
/// Part by which the time between two liveness checks varies, so that daemons started together do not ask together.
const JITTER: f64 = 0.2;
/// Start of keys of which there are none: a list of them tells the store's revision and little else.
const NOTHING: &str = "hemlock/none/";
/// Time between two looks at what time alone changes: memberships, keys that did not come back.
const TURN: Duration = Duration::from_millis(250);

inventory::submit! {
    Plugin(kernel::Plugin { name: "mirror", stage: 30, start })
}

struct Tasks(Vec<tokio::task::JoinHandle<()>>);

impl kernel::Part for Tasks {
    fn close(&mut self) {
        self.0.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

fn start(context: &Arc<Context>) -> kernel::Started {
    let Some(catalog) = context.catalog else {
        return Ok(Box::new(kernel::Idle));
    };
    let stalled = Arc::new(Notify::new());
    let watching = context.runtime.spawn(watch(Arc::clone(context), catalog, Arc::clone(&stalled)));
    let checking = context.runtime.spawn(check(Arc::clone(context), stalled));
    let turning = context.runtime.spawn(turn(Arc::clone(context), catalog));
    Ok(Box::new(Tasks(vec![watching, checking, turning])))
}

/// Lists once, then takes in changes as they come, for ever; asks anew when it is told that its watch stalled.
async fn watch(context: Arc<Context>, catalog: Catalog, stalled: Arc<Notify>) {
    let mut listed = false;
    let mut pause = FIRST_PAUSE;
    let mut rng = fastrand::Rng::with_seed(context.incarnation);
    loop {
        let turn = if listed { changes(&context, &stalled).await } else { list(&context).await };
        match turn {
            Ok(Turn::Changed) => {
                listed = true;
                pause = FIRST_PAUSE;
                publish(&context, catalog);
                tokio::time::sleep(gathering(&context)).await;
            }
            Ok(Turn::Same) => {
                listed = true;
                pause = FIRST_PAUSE;
            }
            Ok(Turn::Forgotten) => {
                log::info!("mirror: history forgotten by the store, listing anew");
                listed = false;
            }
            Err(error) => {
                note_failure(&context, &error);
                tokio::time::sleep(pause.mul_f64(0.5 + rng.f64())).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// How long changes are gathered where `daemons` watch the store, each for itself.
pub fn gather(daemons: usize) -> Duration {
    GATHER_EACH.saturating_mul(daemons as u32).clamp(*GATHER.start(), *GATHER.end())
}

fn gathering(context: &Context) -> Duration {
    gather(lock(&context.roster).alive().count() + 1)
}

/// Makes a cheap call again and again, and has the watch asked anew when it has stalled.
async fn check(context: Arc<Context>, stalled: Arc<Notify>) {
    let period = Duration::from_millis(context.settings.platform.liveness_ms);
    let mut rng = fastrand::Rng::with_seed(context.incarnation ^ 2);
    let mut liveness = Liveness::new();
    loop {
        let pause = period.mul_f64(1.0 - JITTER + 2.0 * JITTER * rng.f64());
        let until_overdue = liveness.wake().map(|at| at.since(context.now()));
        tokio::time::sleep(until_overdue.map_or(pause, |time| time.min(pause))).await;
        let known = lock(&context.mirror).revision();
        if known == 0 {
            continue;
        }
        if liveness.overdue(known, context.now()) || ask(&context, &mut liveness).await {
            log::warn!("mirror: watch stalled, asked anew revision={known}");
            context.store.reconnect();
            stalled.notify_one();
        }
    }
}

/// Makes one call; says whether the watch stalled.
async fn ask(context: &Context, liveness: &mut Liveness) -> bool {
    let sent = context.now();
    let list = Call::List { prefix: NOTHING.to_owned(), after: String::new(), stale: true };
    let reply = call(context, list).await;
    let known = lock(&context.mirror).revision();
    match reply {
        Ok(Reply::Page { revision, .. }) => liveness.answer(revision, known, gathering(context), sent, context.now()),
        Ok(other) => {
            note_failure(context, &unexpected(&other));
            false
        }
        Err(error) => {
            note_failure(context, &error);
            liveness.fail();
            // The next one must not go over a connection that may be silent for good.
            context.store.reconnect();
            false
        }
    }
}

/// Waits until the copy holds all that the store had accepted when this was called.
pub async fn confirm(context: &Context) {
    let list = || Call::List { prefix: NOTHING.to_owned(), after: String::new(), stale: false };
    loop {
        let reply = call(context, list()).await;
        if let Ok(Reply::Page { revision, .. }) = reply {
            while lock(&context.mirror).revision() < revision {
                tokio::time::sleep(FIRST_PAUSE / 10).await;
            }
            return;
        }
        context.store.reconnect();
        tokio::time::sleep(FIRST_PAUSE).await;
    }
}

/// What a call came to.
enum Turn {
    Changed,
    Same,
    Forgotten,
}

async fn list(context: &Context) -> Result<Turn> {
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
            lock(&context.mirror).replace(all, first, now);
            return Ok(Turn::Changed);
        }
    }
}

async fn changes(context: &Context, stalled: &Notify) -> Result<Turn> {
    let after = lock(&context.mirror).revision();
    let wait = Duration::from_millis(context.settings.platform.watch_ms);
    let watch = call(context, Call::Watch { prefix: String::new(), after, wait });
    let reply = tokio::select! {
        reply = watch => reply?,
        () = stalled.notified() => return Ok(Turn::Same),
    };
    match reply {
        Reply::Events { events, revision } => {
            let now = context.now();
            let changed = lock(&context.mirror).apply(events, revision, now);
            Ok(if changed { Turn::Changed } else { Turn::Same })
        }
        Reply::Forgotten => Ok(Turn::Forgotten),
        other => Err(unexpected(&other)),
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
        lock(&context.mirror).note_failure(since);
    } else {
        let now = context.now();
        context.store_seen.store(now.as_micros(), Ordering::Relaxed);
        let lost = lock(&context.mirror).note_answer(sent, now);
        if lost {
            log::info!("mirror: store answers again silent_ms={}", now.since(sent).as_millis());
        }
    }
    result
}

fn note_failure(context: &Context, error: &Error) {
    let now = context.now();
    let silent = lock(&context.mirror).answered().map_or(now.as_millis(), |last| now.since(last).as_millis() as u64);
    log::warn!("mirror: store call failed silent_ms={silent} reason={:?}", error.to_string());
}

fn unexpected(reply: &Reply) -> Error {
    Error::Ambiguous(format!("the answer fits another call: {reply:?}"))
}

/// Puts what the copy says into force.
fn publish(context: &Arc<Context>, catalog: Catalog) {
    let known = lock(&context.holder).revision();
    let read = (catalog.policy)(&lock(&context.mirror), &context.settings, known);
    match read {
        Ok(Some(revised)) => offer(context, revised),
        Ok(None) => {}
        Err(reason) => {
            if lock(&context.servers).policy_refused.replace(reason.clone()) != Some(reason.clone()) {
                context.metrics.policy_refused.inc();
                log::warn!("policy: refused source=store reason={reason:?}");
            }
        }
    }
    let mut known = lock(&context.servers);
    let (items, refused) = known.entries.read(&lock(&context.mirror), catalog, &context.settings);
    let news = refused.iter().filter(|reason| !known.refused.contains(*reason));
    news.for_each(|reason| log::warn!("mirror: entry passed over reason={reason:?}"));
    context.metrics.servers_passed_over.set(refused.len() as i64);
    known.refused = refused;
    drop(known);
    lock(&context.list).take(items, context.now());
    view::refresh(context);
}

/// Puts a policy that was read from the store into force, and tells of what was passed over in it.
fn offer(context: &Arc<Context>, revised: Revised) {
    let Revised { revision, policy, passed_over } = revised;
    match policy.to_text() {
        Ok(text) => {
            if policies::offer(context, Copy::new(revision, text), "store") {
                peers::tell_revision(context);
            }
        }
        Err(error) => log::warn!("policy: refused revision={revision} reason={:?}", error.to_string()),
    }
    context.metrics.policy_passed_over.set(passed_over.len() as i64);
    let mut known = lock(&context.servers);
    let news = passed_over.iter().filter(|reason| !known.policy_passed_over.contains(*reason));
    news.for_each(|reason| log::warn!("policy: passed over revision={revision} reason={reason:?}"));
    known.policy_refused = None;
    known.policy_passed_over = passed_over;
}

/// Notices what time alone changes.
async fn turn(context: Arc<Context>, catalog: Catalog) {
    loop {
        tokio::time::sleep(TURN).await;
        let now = context.now();
        let dropped = lock(&context.mirror).tick(now);
        if dropped {
            publish(&context, catalog);
        } else {
            view::refresh(&context);
        }
    }
}
