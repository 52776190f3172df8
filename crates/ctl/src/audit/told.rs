//! Reads what the log lines of one instance tell.

use std::collections::BTreeMap;

use config::policy::Allowed;

use super::regions::{Attempt, LookUp, PolicyAge, Receiver, Regions};
use super::{Contents, Place, Rejection, Version};
use crate::logs::Line;

/// What an instance has told of its policy so far.
#[derive(Debug, Default)]
pub(super) struct Told {
    places: BTreeMap<Place, String>,
    regions: Regions,
    /// The routes that were added since a policy last came into force: all of them, if it is the first of a process.
    added: BTreeMap<Place, String>,
    /// The number of those that were removed.
    removed: usize,
    /// The regions that were changed, those of classes and those of accounts.
    moved: Regions,
    /// When each version came into force, in order; `None` as a process ended.
    pub in_force: Vec<(u64, Option<Version>)>,
    process: Process,
    /// The attempts that earlier processes did not tell of.
    unseen: Vec<Gap>,
    /// The time of the last line that is not about the next policy.
    last_ms: u64,
}

/// What a process has told of itself; some tell their first policy before their start.
#[derive(Debug, Default)]
struct Process {
    is_started: bool,
    has_policy: bool,
    /// When it told of itself first.
    began_ms: u64,
    /// Number and time of each attempt that it told of: it counts them.
    attempts: Vec<(u64, u64)>,
}

/// Attempts that are in no log, between two that are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Gap {
    /// Number of attempts that no line tells.
    pub attempts: u64,
    /// When the earlier one was sent, in milliseconds.
    pub from_ms: u64,
    /// When the later one was.
    pub to_ms: u64,
}

impl Told {
    /// Reads a line, but for what it says of a version that is in force.
    pub fn read(&mut self, line: &Line) {
        let is = |start: &str| line.sentence().starts_with(start);
        if is("policy: route added") {
            self.add(line);
        } else if is("policy: route removed") {
            self.remove(line);
        } else if is("policy: class regions") || is("policy: account regions") {
            self.set_regions(line);
        } else if is("dispatch: sent") {
            let number = line.field("attempt").and_then(|text| text.parse().ok());
            self.process.attempts.extend(number.map(|number| (number, line.at_ms)));
        } else if is("life: started") {
            self.enter_process(self.process.is_started, line.at_ms);
            self.process.is_started = true;
        } else if is("life: stopped") {
            self.in_force.push((line.at_ms, None));
        }
        if !is("policy: ") {
            self.last_ms = line.at_ms;
        }
    }

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
    pub fn complete(&mut self, line: &Line) -> Option<Contents> {
        let (added, removed) = (std::mem::take(&mut self.added), std::mem::take(&mut self.removed));
        let moved = std::mem::take(&mut self.moved);
        let number = |name: &str| line.field(name).and_then(|text| text.parse::<usize>().ok());
        let is_first = is_first(line);
        let (number_added, number_moved) = (added.len(), moved.classes.len() + moved.accounts.len());
        if is_first && Some(number_added) == number("routes") {
            // The first policy of a process: what an earlier process told is past.
            self.places = added;
        }
        if is_first {
            self.regions = Regions::default();
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

    /// Records that a version is in force.
    pub fn set_in_force(&mut self, line: &Line, version: Version) {
        if is_first(line) {
            self.enter_process(self.process.has_policy, line.at_ms);
            self.process.has_policy = true;
        }
        self.in_force.push((line.at_ms, Some(version)));
        self.last_ms = line.at_ms;
    }

    /// Begins another process at `now_ms` if the one so far `has_told` already what the instance tells once in each.
    fn enter_process(&mut self, has_told: bool, now_ms: u64) {
        if has_told {
            self.in_force.push((self.last_ms, None));
            self.unseen = self.unseen();
            self.process = Process { began_ms: now_ms, ..Process::default() };
        }
    }

    /// Returns the attempts of all processes that no line tells of, as far as the process told of a later one.
    pub fn unseen(&self) -> Vec<Gap> {
        let mut told = self.process.attempts.clone();
        told.sort_unstable();
        told.dedup_by_key(|(number, _)| *number);
        let before = std::iter::once((0, self.process.began_ms)).chain(told.iter().copied());
        let gaps = before.zip(&told).map(|((earlier, from_ms), (later, to_ms))| Gap {
            attempts: later.saturating_sub(earlier + 1),
            from_ms,
            to_ms: *to_ms,
        });
        self.unseen.iter().copied().chain(gaps.filter(|gap| gap.attempts > 0)).collect()
    }

    /// Returns a request that was passed on as of its start, which the line at its end tells with the policy of that time.
    pub fn at_its_start(&self, attempt: Attempt, line: &Line) -> Attempt {
        let took_ms: u64 = line.field("ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let at_ms = attempt.at_ms.saturating_sub(took_ms);
        let version =
            self.in_force.iter().rev().find(|(since_ms, _)| *since_ms <= at_ms).and_then(|(_, version)| *version);
        match version {
            Some(version) if version != attempt.version => Attempt { at_ms, version, allowed: None, ..attempt },
            _ => Attempt { at_ms, ..attempt },
        }
    }
}

/// Whether a line tells of the first policy of a process.
fn is_first(line: &Line) -> bool {
    line.field("replaces").and_then(Version::parse) == Some(Version::default())
}

/// Returns the place of a route that a line tells of.
fn place(line: &Line) -> Option<Place> {
    Some(Place { host: line.field("host")?.to_owned(), prefix: line.field("prefix")?.to_owned() })
}

/// Returns the rejection that a line tells of; `None` if it lacks a field.
pub(super) fn rejection(line: &Line) -> Option<Rejection> {
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
pub(super) fn attempt(line: &Line, receiver: Receiver) -> Option<Attempt> {
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
        policy_age: policy_age(line),
        delay_ms: line.delay_ms,
    })
}

/// Returns how old the sender's policy was: since it was last known to be the store's, or since instances of every region last agreed
/// that none has a newer one while the store is silent.
fn policy_age(line: &Line) -> PolicyAge {
    if line.field("policy_ms").is_none() {
        return PolicyAge::NotTold;
    }
    let ages = ["policy_ms", "agreed_ms"].into_iter().filter_map(|name| line.field(name)?.parse().ok());
    ages.min().map_or(PolicyAge::Unknown, PolicyAge::Known)
}

/// Returns the look-up that a line tells of; `None` if it lacks a field.
pub(super) fn look_up(line: &Line) -> Option<LookUp> {
    let number = |name: &str| line.field(name).and_then(|text| text.parse().ok());
    Some(LookUp {
        at_ms: line.at_ms,
        instance: line.instance.clone(),
        region: line.field("region")?.to_owned(),
        standing: [number("good")?, number("doubtful")?, number("out")?],
        is_stopping: line.field("stopping")? == "true",
    })
}
