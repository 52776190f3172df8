//! Reads an audit's input from the daemons' log lines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config::policy::Allowed;

use super::regions::{self, Attempt, LookUp, Receiver, Regions};
use super::{Contents, History, Place, Rejection, Verdict, Version};
use crate::logs::Line;

/// What an instance has told of its policy so far.
#[derive(Debug, Default)]
struct Told {
    places: BTreeMap<Place, String>,
    regions: Regions,
    /// The routes that were added since a policy last came into force: all of them, if it is the first of a process.
    added: BTreeMap<Place, String>,
    /// The number of those that were removed.
    removed: usize,
    /// The regions that were changed, those of classes and those of accounts.
    moved: Regions,
    /// When each version came into force, in order.
    in_force: Vec<(u64, Version)>,
    /// The highest number of an attempt of the process, which counts them, and the number of those that it has told.
    attempts: [u64; 2],
    /// The number of attempts of earlier processes that were not told.
    unseen: u64,
}

/// A request that was sent where it may not run.
#[derive(Debug, Clone)]
pub struct Misplaced {
    /// The request.
    pub attempt: Attempt,
    /// What can be said of its region.
    pub verdict: regions::Verdict,
    /// For how long the sender had a version in force that forbids the region, in milliseconds.
    pub late_ms: u64,
    /// For how long such a version was in force anywhere.
    pub late_anywhere_ms: u64,
}

/// What the logs of a deployment tell, with verdicts.
#[derive(Debug, Default)]
pub struct Report {
    /// The rejections in order of time.
    pub judged: Vec<(Rejection, Verdict)>,
    /// Number of requests sent to servers and to other instances, by verdict on the region.
    pub sent: BTreeMap<(Receiver, regions::Verdict), usize>,
    /// Number of those sent to servers that are in no log.
    pub unseen: u64,
    /// Those that are faults.
    pub misplaced: Vec<Misplaced>,
    /// Look-ups whose answers name no instance of the caller's region.
    pub look_ups: Vec<LookUp>,
    /// Versions of the policy.
    pub versions: usize,
    /// Versions whose routes or regions are not known, since lines were left out of every log that names them.
    pub incomplete: BTreeSet<Version>,
    /// Versions that two instances read with different routes or regions.
    pub different: BTreeSet<Version>,
    /// Lines that could not be written; rejections may be among them.
    pub left_out: u64,
}

impl Report {
    /// Judges what `lines` tell, which are in order for each instance; every instance learns of a new version of the
    /// policy within `apply`.
    pub fn new<'a>(lines: impl Iterator<Item = &'a Line>, apply: Duration) -> Self {
        let mut report = Self::default();
        let mut history = History::new(apply);
        let mut told: BTreeMap<&str, Told> = BTreeMap::new();
        let (mut rejections, mut attempts) = (Vec::new(), Vec::new());
        let mut complete = BTreeSet::new();
        for line in lines {
            report.left_out += line.field("lines_left_out").and_then(|text| text.parse().ok()).unwrap_or(0);
            let told = told.entry(&line.instance).or_default();
            let sentence = line.sentence();
            let is = |start: &str| sentence.starts_with(start);
            if is("policy: route added") {
                told.add(line);
            } else if is("policy: route removed") {
                told.remove(line);
            } else if is("policy: class regions") || is("policy: account regions") {
                told.set_regions(line);
            } else if is("policy: in force") {
                let Some(version) = line.field("version").and_then(Version::parse) else { continue };
                told.in_force.push((line.at_ms, version));
                match told.complete(line) {
                    Some(contents) => {
                        if !history.record(version, &contents, line.at_ms) {
                            report.different.insert(version);
                        }
                        complete.insert(version);
                    }
                    None => _ = report.incomplete.insert(version),
                }
            } else if is("callers: rejected") {
                rejections.extend(rejection(line));
            } else if is("dispatch: sent") {
                told.count_attempt(line);
                attempts.extend(attempt(line, Receiver::Server));
            } else if is("relay: passed on") {
                attempts.extend(attempt(line, Receiver::Instance).map(|attempt| told.at_its_start(attempt, line)));
            } else if is("callers: look-up names other regions") {
                report.look_ups.extend(look_up(line));
            }
        }
        report.incomplete.retain(|version| !complete.contains(version));
        report.versions = history.len();
        report.unseen = told.values().map(Told::unseen).sum();
        rejections.sort_by_key(|rejection| rejection.at_ms);
        let judge = |rejection: Rejection| {
            let verdict = history.judge(&rejection);
            (rejection, verdict)
        };
        report.judged = rejections.into_iter().map(judge).collect();
        attempts.sort_by_key(|attempt| attempt.at_ms);
        for attempt in attempts {
            report.judge_attempt(attempt, &history, &told);
        }
        report
    }

    fn judge_attempt(&mut self, attempt: Attempt, history: &History, told: &BTreeMap<&str, Told>) {
        let verdict = history.judge_attempt(&attempt);
        *self.sent.entry((attempt.receiver, verdict)).or_default() += 1;
        if !verdict.is_fault() {
            return;
        }
        let own = told.get(attempt.instance.as_str()).map_or(&[][..], |told| &told.in_force);
        let in_time = |at_ms: &u64| *at_ms <= attempt.at_ms;
        let since = |version| own.iter().rev().find(|(at_ms, own)| in_time(at_ms) && *own == version);
        let late_ms = history.late_ms(&attempt, |version| since(version).map(|(at_ms, _)| *at_ms));
        let late_anywhere_ms = history.late_ms(&attempt, |version| history.since_ms(version));
        self.misplaced.push(Misplaced { attempt, verdict, late_ms, late_anywhere_ms });
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
            let class = line.field("class").unwrap_or_default();
            self.places.insert(place.clone(), class.to_owned());
            self.added.insert(place, class.to_owned());
        }
    }

    fn remove(&mut self, line: &Line) {
        if let Some(place) = place(line) {
            self.places.remove(&place);
            self.removed += 1;
        }
    }

    fn set_regions(&mut self, line: &Line) {
        let Some(allowed) = line.field("allowed").map(Allowed::parse) else { return };
        if let Some(class) = line.field("class") {
            self.moved.classes.insert(class.to_owned(), allowed);
        } else if let Some(account) = line.field("account") {
            self.moved.accounts.insert(account.to_owned(), allowed);
        }
    }

    /// Ends the lines about a policy with the one that it is in force; returns its contents if all of them are known.
    fn complete(&mut self, line: &Line) -> Option<Contents> {
        let (added, removed) = (std::mem::take(&mut self.added), std::mem::take(&mut self.removed));
        let moved = std::mem::take(&mut self.moved);
        let number = |name: &str| line.field(name).and_then(|text| text.parse::<usize>().ok());
        let is_first = line.field("replaces").and_then(Version::parse) == Some(Version::default());
        let (number_added, number_moved) = (added.len(), moved.classes.len() + moved.accounts.len());
        if is_first && Some(number_added) == number("routes") {
            // The first policy of a process: what an earlier process told is past.
            self.places = added;
        }
        if is_first {
            self.regions = Regions::default();
            self.unseen = self.unseen();
            self.attempts = [0, 0];
        }
        self.regions.classes.extend(moved.classes);
        self.regions.accounts.extend(moved.accounts);
        self.regions.classes.retain(|_, allowed| *allowed != Allowed::All);
        self.regions.accounts.retain(|_, allowed| *allowed != Allowed::All);
        let is_told = number("added") == Some(number_added)
            && number("removed") == Some(removed)
            && number("routes") == Some(self.places.len())
            && line.field("moved").is_none_or(|_| number("moved") == Some(number_moved));
        is_told.then(|| Contents {
            places: self.places.clone(),
            has_accounts: line.field("accounts").is_some_and(|accounts| accounts != "-"),
            regions: line.field("moved").map(|_| self.regions.clone()),
        })
    }

    fn count_attempt(&mut self, line: &Line) {
        let number = line.field("attempt").and_then(|text| text.parse().ok()).unwrap_or(0);
        let [highest, told] = self.attempts;
        self.attempts = [highest.max(number), told + 1];
    }

    fn unseen(&self) -> u64 {
        self.unseen + self.attempts[0].saturating_sub(self.attempts[1])
    }

    /// Returns a request that was passed on as of its start, which the line at its end tells with the policy of that time.
    fn at_its_start(&self, attempt: Attempt, line: &Line) -> Attempt {
        let took_ms: u64 = line.field("ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let at_ms = attempt.at_ms.saturating_sub(took_ms);
        let version = self.in_force.iter().rev().find(|(since_ms, _)| *since_ms <= at_ms).map(|(_, version)| *version);
        match version {
            Some(version) if version != attempt.version => Attempt { at_ms, version, allowed: None, ..attempt },
            _ => Attempt { at_ms, ..attempt },
        }
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

/// Returns the request that a line tells of; `None` if it lacks a field, as those of builds up to d456f2e do.
fn attempt(line: &Line, receiver: Receiver) -> Option<Attempt> {
    let text = |name: &str| line.field(name).map(str::to_owned);
    Some(Attempt {
        at_ms: line.at_ms,
        instance: line.instance.clone(),
        request: text("request")?,
        receiver,
        region: text("region")?,
        class: text("class")?,
        account: text("account")?,
        place: text("host").zip(text("path")),
        version: line.field("version").and_then(Version::parse)?,
        allowed: line.field("allowed").filter(|allowed| *allowed != "removed").map(Allowed::parse),
    })
}

/// Returns the look-up that a line tells of; `None` if it lacks a field.
fn look_up(line: &Line) -> Option<LookUp> {
    let number = |name: &str| line.field(name).and_then(|text| text.parse().ok());
    Some(LookUp {
        at_ms: line.at_ms,
        instance: line.instance.clone(),
        region: line.field("region")?.to_owned(),
        standing: [number("good")?, number("doubtful")?, number("out")?],
        is_stopping: line.field("stopping")? == "true",
    })
}
