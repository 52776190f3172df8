//! Reads an audit's input from the daemons' log lines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{History, Place, Rejection, Verdict, Version};
use crate::logs::Line;

/// What an instance has told of its policy so far.
#[derive(Debug, Default)]
struct Told {
    places: BTreeSet<Place>,
    /// The routes that were added since a policy last came into force: all of them, if it is the first of a process.
    added: BTreeSet<Place>,
    /// The number of those that were removed.
    removed: usize,
}

/// The rejections in the logs of a deployment, each with its verdict.
#[derive(Debug, Default)]
pub struct Report {
    /// The rejections in order of time.
    pub judged: Vec<(Rejection, Verdict)>,
    /// Versions of the policy.
    pub versions: usize,
    /// Versions whose routes are not known, since lines were left out of every log that names them.
    pub incomplete: BTreeSet<Version>,
    /// Versions that two instances read with different routes.
    pub different: BTreeSet<Version>,
    /// Lines that could not be written; rejections may be among them.
    pub left_out: u64,
}

impl Report {
    /// Judges the rejections in `lines`, which are in order for each instance; every instance learns of a new version of the
    /// policy within `apply`.
    pub fn new<'a>(lines: impl Iterator<Item = &'a Line>, apply: Duration) -> Self {
        let mut report = Self::default();
        let mut history = History::new(apply);
        let mut told: BTreeMap<&str, Told> = BTreeMap::new();
        let mut rejections = Vec::new();
        let mut complete = BTreeSet::new();
        for line in lines {
            report.left_out += line.field("lines_left_out").and_then(|text| text.parse().ok()).unwrap_or(0);
            let told = told.entry(&line.instance).or_default();
            match line.sentence() {
                sentence if sentence.starts_with("policy: route added") => told.add(line),
                sentence if sentence.starts_with("policy: route removed") => told.remove(line),
                sentence if sentence.starts_with("policy: in force") => {
                    let Some(version) = line.field("version").and_then(Version::parse) else { continue };
                    if told.completes(line) {
                        let has_accounts = line.field("accounts").is_some_and(|accounts| accounts != "-");
                        if !history.record(version, &told.places, has_accounts, line.at_ms) {
                            report.different.insert(version);
                        }
                        complete.insert(version);
                    } else {
                        report.incomplete.insert(version);
                    }
                }
                sentence if sentence.starts_with("callers: rejected") => rejections.extend(rejection(line)),
                _ => {}
            }
        }
        report.incomplete.retain(|version| !complete.contains(version));
        report.versions = history.len();
        rejections.sort_by_key(|rejection| rejection.at_ms);
        let judge = |rejection: Rejection| {
            let verdict = history.judge(&rejection);
            (rejection, verdict)
        };
        report.judged = rejections.into_iter().map(judge).collect();
        report
    }

    /// Returns the rejections that are faults if the callers keep to HTTP and to the limits.
    pub fn faults(&self) -> impl Iterator<Item = &(Rejection, Verdict)> {
        self.judged.iter().filter(|(_, verdict)| verdict.is_fault())
    }

    /// Returns the number of rejections with each verdict.
    pub fn counts(&self) -> BTreeMap<Verdict, usize> {
        self.judged.iter().fold(BTreeMap::new(), |mut counts, (_, verdict)| {
            *counts.entry(*verdict).or_default() += 1;
            counts
        })
    }
}

impl Told {
    fn add(&mut self, line: &Line) {
        if let Some(place) = place(line) {
            self.places.insert(place.clone());
            self.added.insert(place);
        }
    }

    fn remove(&mut self, line: &Line) {
        if let Some(place) = place(line) {
            self.places.remove(&place);
            self.removed += 1;
        }
    }

    /// Ends the lines about a policy with the one that it is in force; returns whether all its routes are known.
    fn completes(&mut self, line: &Line) -> bool {
        let (added, removed) = (std::mem::take(&mut self.added), std::mem::take(&mut self.removed));
        let number = |name: &str| line.field(name).and_then(|text| text.parse::<usize>().ok());
        let Some(routes) = number("routes") else { return false };
        let is_told = number("added") == Some(added.len()) && number("removed") == Some(removed);
        let replaced = line.field("replaces").and_then(Version::parse);
        if replaced == Some(Version::default()) && added.len() == routes {
            // The first policy of a process: what an earlier process told is past.
            self.places = added;
        }
        is_told && self.places.len() == routes
    }
}

/// Returns the place of a route that a line tells of.
fn place(line: &Line) -> Option<Place> {
    Some(Place { host: line.field("host")?.to_owned(), prefix: line.field("prefix")?.to_owned() })
}

/// Returns the rejection that a line tells of; `None` if it lacks a field.
fn rejection(line: &Line) -> Option<Rejection> {
    let text = |name: &str| line.field(name).map(str::to_owned);
    Some(Rejection {
        at_ms: line.at_ms,
        instance: line.instance.clone(),
        request: text("request")?,
        address: text("address")?,
        status: line.field("status")?.parse().ok()?,
        kind: text("kind")?,
        signed: line.field("signed")? == "yes",
        host: text("host")?,
        path: text("path")?,
    })
}
