//! Reads an audit's input from the daemons' log lines, and judges it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::lag::{self, Span};
use super::regions::{self, Attempt, LookUp, Receiver};
use super::told::{Told, attempt, look_up, rejection};
use super::{History, Rejection, Verdict, Version};
use crate::logs::Line;

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

/// Numbers of requests sent to servers of which nothing is said.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Unjudged {
    /// Those for which no version that may be in force has a route.
    pub no_route: usize,
    /// Those that are in no log.
    pub unseen: u64,
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
    /// Those that went by the regions of a policy that was too old for it, or of unknown age.
    pub aged: Vec<Attempt>,
    /// Those, with regions or without, whose senders took an outdated policy for a recent one.
    pub misdated: Vec<Attempt>,
    /// When instances went by an older version than the newest for longer than it takes to learn of it; the longest first.
    pub spans: Vec<Span>,
    /// What is judged no further and comes from an instance in such a span.
    pub in_spans: Unjudged,
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
        let mut reading = Reading { history: History::new(apply), ..Reading::default() };
        lines.for_each(|line| reading.read(line));
        let Reading { mut report, history, told, complete, mut rejections, mut attempts, end_ms } = reading;
        report.incomplete.retain(|version| !complete.contains(version));
        report.versions = history.len();
        let in_force = told.iter().map(|(instance, told)| (*instance, told.in_force.as_slice()));
        report.spans = lag::spans(in_force, apply.as_millis() as u64, end_ms);
        told.iter().for_each(|(instance, told)| report.count_unseen(instance, told));
        rejections.sort_by_key(|rejection| rejection.at_ms);
        let judge = |rejection: Rejection| {
            let verdict = history.judge(&rejection);
            (rejection, verdict)
        };
        report.judged = rejections.into_iter().map(judge).collect();
        attempts.sort_by_key(|attempt| attempt.at_ms);
        for attempt in attempts {
            report.judge_age(&attempt, &history, apply);
            report.judge_region(attempt, &history, &told);
        }
        report
    }

    fn count_unseen(&mut self, instance: &str, told: &Told) {
        for gap in told.unseen() {
            self.unseen += gap.attempts;
            if self.spans.iter().any(|span| span.overlaps(instance, gap.from_ms, gap.to_ms)) {
                self.in_spans.unseen += gap.attempts;
            }
        }
    }

    /// Judges the age of the policy by which a request was sent, and counts the request in its span.
    fn judge_age(&mut self, attempt: &Attempt, history: &History, apply: Duration) {
        let has_regions = history.has_regions(attempt);
        self.spans.iter_mut().for_each(|span| span.count(attempt, has_regions));
        if has_regions && attempt.policy_age.exceeds(apply.as_millis() as u64) {
            self.aged.push(attempt.clone());
        }
        if history.is_misdated(attempt) {
            self.misdated.push(attempt.clone());
        }
    }

    fn judge_region(&mut self, attempt: Attempt, history: &History, told: &BTreeMap<&str, Told>) {
        let verdict = history.judge_attempt(&attempt);
        *self.sent.entry((attempt.receiver, verdict)).or_default() += 1;
        if (attempt.receiver, verdict) == (Receiver::Server, regions::Verdict::NoRoute) {
            let is_in_span = |span: &Span| span.overlaps(&attempt.instance, attempt.at_ms, attempt.at_ms);
            self.in_spans.no_route += usize::from(self.spans.iter().any(is_in_span));
        }
        if !verdict.is_fault() {
            return;
        }
        let own = told.get(attempt.instance.as_str()).map_or(&[][..], |told| &told.in_force);
        let in_time = |at_ms: &u64| *at_ms <= attempt.at_ms;
        let since = |version| own.iter().rev().find(|(at_ms, own)| in_time(at_ms) && *own == Some(version));
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

/// What has been read, before it is judged.
#[derive(Debug, Default)]
struct Reading<'a> {
    report: Report,
    history: History,
    told: BTreeMap<&'a str, Told>,
    /// Versions whose routes and regions are known.
    complete: BTreeSet<Version>,
    rejections: Vec<Rejection>,
    attempts: Vec<Attempt>,
    /// The time of the last line.
    end_ms: u64,
}

impl<'a> Reading<'a> {
    fn read(&mut self, line: &'a Line) {
        self.report.left_out += line.field("lines_left_out").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.end_ms = self.end_ms.max(line.at_ms);
        let told = self.told.entry(&line.instance).or_default();
        told.read(line);
        let is = |start: &str| line.sentence().starts_with(start);
        if is("policy: in force") {
            self.record_version(line);
        } else if is("callers: rejected") {
            self.rejections.extend(rejection(line));
        } else if is("dispatch: sent") {
            self.attempts.extend(attempt(line, Receiver::Server));
        } else if is("relay: passed on") {
            self.attempts.extend(attempt(line, Receiver::Instance).map(|attempt| told.at_its_start(attempt, line)));
        } else if is("callers: look-up names other regions") {
            self.report.look_ups.extend(look_up(line));
        }
    }

    /// Ends the lines of an instance about a version.
    fn record_version(&mut self, line: &'a Line) {
        let Some(version) = line.field("version").and_then(Version::parse) else { return };
        let told = self.told.entry(&line.instance).or_default();
        told.set_in_force(line, version);
        let Some(contents) = told.complete(line) else {
            self.report.incomplete.insert(version);
            return;
        };
        if !self.history.record(version, &contents, line.at_ms) {
            self.report.different.insert(version);
        }
        self.complete.insert(version);
    }
}
