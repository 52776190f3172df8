//! Announcements in the answers of backend servers: that a server is leaving, paused for a while, or limits the rate of
//! requests.

use std::sync::Arc;
use std::time::Duration;

use base::rate::Limit;
use dispatch::Engine;
use dispatch::backend::BackendId;
use h1::head;
use http::StatusCode;
use http::header::{HeaderMap, HeaderValue, RETRY_AFTER};

use super::attempt::Attempt;
use crate::{Context, peers};

/// The value of a header that cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreadable;

/// How long a server counts as leaving after its announcement. Its id includes its start time, so a successor has
/// another id.
const LEAVING_MAX_AGE: Duration = Duration::from_hours(1);
/// The same for a server whose start time is unknown: a successor may have the same id.
const LEAVING_MAX_AGE_WITHOUT_START: Duration = Duration::from_mins(1);

/// Applies the announcements in an answer's headers: the leaving header in any answer, which is also passed on to the
/// peers, the rate limit, and `Retry-After` in an answer with status 503, which pauses the server.
pub fn apply(context: &Arc<Context>, attempt: Attempt, status: StatusCode, headers: &HeaderMap) {
    let backend = attempt.backend;
    if context.dialect.leaving.as_ref().is_some_and(|name| headers.contains_key(name)) {
        context.pool.clear(backend);
        peers::spread_leaving(context, &[backend]);
    }
    apply_rate_limit(context, attempt, headers);
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

/// Records the rate limit that the answer to `attempt` states, or that it states none, and passes on what is new. A
/// limit that cannot be read changes nothing.
fn apply_rate_limit(context: &Arc<Context>, attempt: Attempt, headers: &HeaderMap) {
    let Some(name) = &context.dialect.rate_limit else { return };
    let now = context.now();
    match parse_rate_limit(headers.get_all(name).iter().map(HeaderValue::as_bytes)) {
        // Most answers: they need not disturb the engine.
        Ok(None) if !context.driver.with_engine(|engine| engine.is_rate_limited(attempt.backend)) => {}
        Ok(per_second) => {
            let number = attempt.number;
            let record = |engine: &mut Engine| engine.record_rate_limit(number, per_second, now);
            let news = context.driver.with_engine_mut(context, record);
            peers::spread_rate_limit(context, attempt.backend, Limit { per_second, observed_at: now }, news);
        }
        Err(Unreadable) => {
            let is_new =
                context.driver.with_engine_mut(context, |engine| engine.record_unreadable(attempt.backend, now));
            if is_new {
                let value = headers.get(name);
                log::warn!(server = server_name(context, attempt.backend), value:?; "dispatch: server rate limit not readable");
            }
        }
    }
}

fn server_name(context: &Context, backend: BackendId) -> String {
    let steering = context.steering();
    steering.backends.get(&backend).map_or_else(|| backend.to_string(), |instance| instance.name.clone())
}

/// Parses the values of a rate limit header, in requests per second. Returns the lowest readable one, `None` if the
/// header is absent, and an error if it is present and no value is a number of zero or more.
pub fn parse_rate_limit<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Option<f64>, Unreadable> {
    let mut values = values.peekable();
    if values.peek().is_none() {
        return Ok(None);
    }
    let number = |value: &[u8]| std::str::from_utf8(value).ok()?.trim().parse::<f64>().ok();
    let valid = values.filter_map(number).filter(|rate| rate.is_finite() && *rate >= 0.0);
    valid.min_by(f64::total_cmp).map(Some).ok_or(Unreadable)
}

/// Parses a number of seconds, with or without a fraction.
fn parse_seconds(text: &str) -> Option<Duration> {
    text.trim().parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}
