//! Checks the guarantees against what callers and backend servers saw.

use std::collections::BTreeMap;

use fakes::tally::Peak;
use load::answer::Ending;

use crate::caller::Trace;

/// How often each key was run, summed over all backend servers. Runs of servers that could not be asked before they
/// ended are missing.
pub type Runs = BTreeMap<String, u64>;

/// Returns a description of each violated guarantee: an order runs at most once, no caller receives another's answer,
/// and an order that is refused each time it is sent does not run.
pub fn violations(trace: &Trace, runs: &Runs) -> Vec<String> {
    let mut violations = Vec::new();
    for (key, count) in runs.iter().filter(|(key, count)| **count > 1 && trace.contains_key(&format!("order {key}"))) {
        violations.push(format!("order {key} ran {count} times"));
    }
    for (name, endings) in trace {
        if endings.contains(&Ending::Foreign) {
            violations.push(format!("{name}: received another request's answer or a truncated one: {endings:?}"));
        }
        let Some(key) = name.strip_prefix("order ") else { continue };
        let refused = endings.iter().all(|ending| matches!(ending, Ending::NotRun | Ending::Refused));
        if refused && runs.contains_key(key) {
            violations.push(format!("{name}: ran, although it was reported as not run each time: {endings:?}"));
        }
    }
    violations
}

/// Returns a description of each backend server that got more requests than the rate limit that it stated allows.
pub fn exceeded_limits(peaks: &BTreeMap<String, Peak>) -> Vec<String> {
    let exceeded = peaks.iter().filter(|(_, peak)| peak.exceeded());
    exceeded
        .map(|(name, Peak { arrived, allowed })| {
            format!("{name}: {arrived} requests in 4 s, its rate limit allows {allowed}")
        })
        .collect()
}

/// The revision last seen in force at each daemon.
#[derive(Debug, Clone, Default)]
pub struct Revisions {
    /// Number of restarts and revision, by daemon.
    last: BTreeMap<String, (u64, u64)>,
}

impl Revisions {
    /// Records that `daemon`, after `restarts` restarts, has `revision` in force. Returns a violation if the same
    /// process had a newer one before.
    pub fn record(&mut self, daemon: &str, restarts: u64, revision: u64) -> Option<String> {
        let before = self.last.insert(daemon.to_owned(), (restarts, revision));
        let (known_restarts, known) = before.unwrap_or_default();
        (known_restarts == restarts && revision < known)
            .then(|| format!("{daemon} went back from revision {known} to {revision}"))
    }
}
