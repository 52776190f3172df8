//! Finds when an instance went by an older version of the policy than the newest one that was in force anywhere.

use super::Version;
use super::regions::{Attempt, Receiver};

/// When each version came into force at an instance, in order; `None` as its process ended.
pub type Changes = [(u64, Option<Version>)];

/// A time in which an instance went by an older version than the newest one that was in force anywhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Span {
    /// Name of the instance that went by the older version.
    pub instance: String,
    /// When it began, in milliseconds.
    pub from_ms: u64,
    /// When the instance had the newest version, or its process ended.
    pub to_ms: u64,
    /// Number of requests that the instance sent to servers meanwhile.
    pub attempts: usize,
    /// Number of those that its version let run in some regions only.
    pub with_regions: usize,
}

impl Span {
    /// Returns how long it was, in milliseconds.
    pub const fn length_ms(&self) -> u64 {
        self.to_ms - self.from_ms
    }

    /// Counts an attempt of a request, with or without regions, if it was sent to a server in this span.
    pub(super) fn count(&mut self, attempt: &Attempt, has_regions: bool) {
        if attempt.receiver == Receiver::Server && self.overlaps(&attempt.instance, attempt.at_ms, attempt.at_ms) {
            self.attempts += 1;
            self.with_regions += usize::from(has_regions);
        }
    }

    /// Whether the instance was in this span at some time from `from_ms` to `to_ms`.
    pub(super) fn overlaps(&self, instance: &str, from_ms: u64, to_ms: u64) -> bool {
        self.instance == instance && self.from_ms <= to_ms && from_ms <= self.to_ms
    }
}

/// Returns the spans of all instances that were longer than `bound_ms`, the longest first; the logs end at `end_ms`.
pub fn spans<'a>(
    instances: impl Iterator<Item = (&'a str, &'a Changes)> + Clone,
    bound_ms: u64,
    end_ms: u64,
) -> Vec<Span> {
    let newest = newest(instances.clone().flat_map(|(_, changes)| changes));
    let all = instances.flat_map(|(instance, changes)| {
        spans_of(changes, &newest, end_ms).into_iter().map(move |(from_ms, to_ms)| Span {
            instance: instance.to_owned(),
            from_ms,
            to_ms,
            attempts: 0,
            with_regions: 0,
        })
    });
    let mut spans: Vec<Span> = all.filter(|span| span.length_ms() > bound_ms).collect();
    spans.sort_by_key(|span| std::cmp::Reverse(span.length_ms()));
    spans
}

/// Returns the versions that were newer than all in force before, each with the time at which it came into force first.
fn newest<'a>(changes: impl Iterator<Item = &'a (u64, Option<Version>)>) -> Vec<(u64, Version)> {
    let mut in_force: Vec<(u64, Version)> =
        changes.filter_map(|(at_ms, version)| Some((*at_ms, (*version)?))).collect();
    in_force.sort_unstable();
    let mut newest: Vec<(u64, Version)> = Vec::new();
    for (at_ms, version) in in_force {
        if newest.last().is_none_or(|(_, last)| last.is_replaced_by(version)) {
            newest.push((at_ms, version));
        }
    }
    newest
}

/// Returns the spans of an instance, each from its start to its end.
fn spans_of(changes: &Changes, newest: &[(u64, Version)], end_ms: u64) -> Vec<(u64, u64)> {
    let ends = changes.iter().skip(1).map(|(at_ms, _)| *at_ms).chain([end_ms]);
    let mut spans: Vec<(u64, u64)> = Vec::new();
    for ((at_ms, version), to_ms) in changes.iter().zip(ends) {
        let Some(version) = version else { continue };
        let Some((since_ms, _)) = newest.iter().find(|(_, newer)| version.is_replaced_by(*newer)) else { continue };
        let from_ms = *since_ms.max(at_ms);
        if from_ms >= to_ms {
            continue;
        }
        match spans.last_mut() {
            Some(last) if last.1 == from_ms => last.1 = to_ms,
            _ => spans.push((from_ms, to_ms)),
        }
    }
    spans
}
