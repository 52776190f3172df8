//! Announcements in the answers of backend servers: that a server is leaving, or paused for a while.

use std::sync::Arc;
use std::time::Duration;

use dispatch::backend::BackendId;
use h1::head;
use http::StatusCode;
use http::header::{HeaderMap, RETRY_AFTER};

use crate::{Context, peers};

/// How long a server counts as leaving after its announcement. Its id includes its start time, so a successor has
/// another id.
const LEAVING_MAX_AGE: Duration = Duration::from_hours(1);
/// The same for a server whose start time is unknown: a successor may have the same id.
const LEAVING_MAX_AGE_WITHOUT_START: Duration = Duration::from_mins(1);

/// Applies the announcements in an answer's headers: the leaving header in any answer, which is also passed on to the
/// peers, and `Retry-After` in an answer with status 503, which pauses the server.
pub fn apply(context: &Arc<Context>, backend: BackendId, status: StatusCode, headers: &HeaderMap) {
    if context.dialect.leaving.as_ref().is_some_and(|name| headers.contains_key(name)) {
        context.pool.clear(backend);
        peers::spread_leaving(context, &[backend]);
    }
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    if let Some(pause) = head::text(headers, &RETRY_AFTER).and_then(parse_seconds) {
        let now = context.now();
        context.driver.with_engine_mut(context, |engine| engine.record_pause(backend, pause, now));
    }
}

/// Records that a server is leaving. Returns whether this changed anything.
pub fn record_leaving(context: &Arc<Context>, backend: BackendId) -> bool {
    let steering = context.steering();
    let without_start = steering.backends.get(&backend).is_some_and(|instance| instance.started_at == 0);
    let now = context.now();
    let until = now + if without_start { LEAVING_MAX_AGE_WITHOUT_START } else { LEAVING_MAX_AGE };
    context.driver.with_engine_mut(context, |engine| engine.record_leaving(backend, until, now))
}

/// Parses a number of seconds, with or without a fraction.
fn parse_seconds(text: &str) -> Option<Duration> {
    text.trim().parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}
