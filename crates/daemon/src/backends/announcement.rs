//! Backend servers that say with their answers that they leave, or want nothing for a while.

use std::sync::Arc;
use std::time::Duration;

use dispatch::backend::BackendId;
use h1::head;
use http::StatusCode;
use http::header::{HeaderMap, RETRY_AFTER};

use crate::{Context, peers};

/// How long a server counts as leaving after it said so: its number holds when it started, so that a successor has
/// another one.
const LEAVES: Duration = Duration::from_hours(1);
/// The same for a server whose number does not hold when it started: a successor may have the same one.
const LEAVES_UNBORN: Duration = Duration::from_mins(1);

/// Takes in what the headers of an answer with `status` say of the server itself.
pub fn apply(context: &Arc<Context>, backend: BackendId, status: StatusCode, headers: &HeaderMap) {
    if context.dialect.leaving.as_ref().is_some_and(|name| headers.contains_key(name)) {
        context.pool.clear(backend);
        peers::spread_leaving(context, &[backend]);
    }
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    if let Some(pause) = head::text(headers, &RETRY_AFTER).and_then(pause) {
        let now = context.now();
        context.driver.with(context, |engine| engine.note_pause(backend, pause, now));
    }
}

/// Notes that a server leaves; says whether that is news.
pub fn record_leaving(context: &Arc<Context>, backend: BackendId) -> bool {
    let steering = context.steering();
    let unborn = steering.backends.get(&backend).is_some_and(|instance| instance.born == 0);
    let now = context.now();
    let until = now + if unborn { LEAVES_UNBORN } else { LEAVES };
    context.driver.with(context, |engine| engine.note_leaving(backend, until, now))
}

/// Seconds, with fractions or without.
fn pause(text: &str) -> Option<Duration> {
    text.trim().parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}
