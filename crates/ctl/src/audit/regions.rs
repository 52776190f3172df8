//! Judges where requests were sent: whether a policy that may have been in force allows the region, and whether the one that
//! the sender had in force itself does.
//!
//! A route and a client account may each name regions, and both bind. Which of them bind a request is found from its host and
//! its path, not from what the instance made of them: one that goes by a shorter prefix than the policy's is noticed.

use std::collections::BTreeMap;
use std::fmt;

use config::policy::{Allowed, host_name};

use super::{CLOCK_TOLERANCE_MS, History, Known, Place, Version};

/// Where requests may run by one version of the policy. What it does not name may run everywhere.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    /// The regions of classes, by name.
    pub classes: BTreeMap<String, Allowed>,
    /// The regions of client accounts, by name.
    pub accounts: BTreeMap<String, Allowed>,
}

/// Whom a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Receiver {
    /// A backend server.
    Server,
    /// Another instance.
    Instance,
}

/// How long ago the policy in force was last known to be the store's, as the instance says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyAge {
    /// The line does not tell, as those of builds up to 6ec4e595.
    NotTold,
    /// The instance does not know.
    Unknown,
    /// The time in milliseconds.
    Known(u64),
}

impl PolicyAge {
    /// Whether the instance may not go by the regions of its policy, if it may for `bound_ms`.
    pub const fn exceeds(self, bound_ms: u64) -> bool {
        match self {
            Self::NotTold => false,
            Self::Unknown => true,
            Self::Known(age_ms) => age_ms > bound_ms,
        }
    }

    /// Whether the instance says that it may.
    const fn is_within(self, bound_ms: u64) -> bool {
        matches!(self, Self::Known(_)) && !self.exceeds(bound_ms)
    }
}

impl fmt::Display for PolicyAge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotTold => f.write_str("?"),
            Self::Unknown => f.write_str("-1"),
            Self::Known(age_ms) => age_ms.fmt(f),
        }
    }
}

/// A request that was sent to a backend server or passed on to another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// When it was sent, in milliseconds.
    pub at_ms: u64,
    /// The instance that sent it.
    pub instance: String,
    /// The request's id.
    pub request: String,
    /// Whom it was sent to.
    pub receiver: Receiver,
    /// The receiver's region.
    pub region: String,
    /// The request's class, as the instance found it.
    pub class: String,
    /// Its client account; a dash for none.
    pub account: String,
    /// The host and the path of the request; `None` if they are not told.
    pub place: Option<(String, String)>,
    /// The version that the sender had in force then.
    pub version: Version,
    /// What that version allows, as the sender says; `None` if it says nothing.
    pub allowed: Option<Allowed>,
    /// How old that version was.
    pub policy_age: PolicyAge,
    /// How much later than usual the line of it was collected, in milliseconds: up to that much of a lateness is not the sender's.
    pub delay_ms: u64,
}

/// What can be said of the region that a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// A version that may be in force allows it, and so does the sender's own.
    Allowed,
    /// No version that may be in force has a route for the request.
    NoRoute,
    /// It is not told what the versions that may be in force allow.
    Unknown,
    /// The version that the sender has in force does not allow it, though another one does that may be in force elsewhere.
    OutdatedRegions,
    /// No version that may be in force allows it.
    Foreign,
}

impl Verdict {
    /// Whether the attempt is a fault.
    pub const fn is_fault(self) -> bool {
        matches!(self, Self::OutdatedRegions | Self::Foreign)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Allowed => "allowed",
            Self::NoRoute => "no-route",
            Self::Unknown => "unknown",
            Self::OutdatedRegions => "outdated-regions",
            Self::Foreign => "foreign",
        })
    }
}

/// What a version says of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Rule {
    /// It is not told.
    Unknown,
    NoRoute,
    Within(Allowed),
}

impl Rule {
    fn of(known: &Known, attempt: &Attempt) -> Self {
        let Some(regions) = &known.contents.regions else { return Self::Unknown };
        let class = match &attempt.place {
            None => Some(&attempt.class),
            Some((host, path)) => match known.policy.class_of(host_name(host), path) {
                None => return Self::NoRoute,
                Some((_, class)) => {
                    let place = Place { host: class.host.clone(), prefix: class.paths.concat() };
                    known.contents.places.get(&place)
                }
            },
        };
        let of = |regions: &BTreeMap<String, Allowed>, name: &str| regions.get(name).cloned().unwrap_or(Allowed::All);
        let Some(class) = class else { return Self::Unknown };
        Self::Within(of(&regions.classes, class).and(of(&regions.accounts, &attempt.account)))
    }

    fn allows(&self, region: &str) -> bool {
        matches!(self, Self::Within(allowed) if allowed.contains(region))
    }

    fn forbids(&self, region: &str) -> bool {
        matches!(self, Self::Within(allowed) if !allowed.contains(region))
    }
}

impl History {
    /// Judges the region that a request was sent to.
    pub fn judge_attempt(&self, attempt: &Attempt) -> Verdict {
        let possible =
            self.versions.iter().filter(|(version, known)| self.may_be_in_force(**version, known, attempt.at_ms));
        let rules: Vec<Rule> = possible.map(|(_, known)| Rule::of(known, attempt)).collect();
        let is_forbidden_by_own = self.own_rule(attempt).forbids(&attempt.region);
        if rules.contains(&Rule::Unknown) {
            Verdict::Unknown
        } else if rules.iter().all(|rule| *rule == Rule::NoRoute) {
            Verdict::NoRoute
        } else if !rules.iter().any(|rule| rule.allows(&attempt.region)) {
            Verdict::Foreign
        } else if is_forbidden_by_own {
            Verdict::OutdatedRegions
        } else {
            Verdict::Allowed
        }
    }

    /// Whether the sender's own version lets the request run in some regions only.
    pub fn has_regions(&self, attempt: &Attempt) -> bool {
        matches!(self.own_rule(attempt), Rule::Within(allowed) if allowed != Allowed::All)
    }

    /// Whether the sender took its policy for recent enough while a later one had been in force for too long.
    pub fn is_misdated(&self, attempt: &Attempt) -> bool {
        let tolerance_ms = self.apply_ms + CLOCK_TOLERANCE_MS + attempt.delay_ms;
        let is_outdated = self.replaced_ms(attempt.version).is_some_and(|at_ms| at_ms + tolerance_ms < attempt.at_ms);
        is_outdated && attempt.policy_age.is_within(self.apply_ms)
    }

    /// Returns what the sender's own version says of a request: as the logs tell it, or else as the sender does.
    fn own_rule(&self, attempt: &Attempt) -> Rule {
        let told = || attempt.allowed.clone().map_or(Rule::Unknown, Rule::Within);
        let known = self.versions.get(&attempt.version).map(|known| Rule::of(known, attempt));
        known.filter(|rule| *rule != Rule::Unknown).unwrap_or_else(told)
    }

    /// Returns for how long the region had been forbidden when a request was sent to it, in milliseconds: since the first of the
    /// versions up to the last one that `since` knows at that time, all of which forbid it, came into force. `since` tells when a
    /// version did so.
    pub fn late_ms(&self, attempt: &Attempt, since: impl Fn(Version) -> Option<u64>) -> u64 {
        let began = |version: &Version| since(*version).filter(|since_ms| *since_ms <= attempt.at_ms);
        let known = self.versions.iter().rev().filter_map(|(version, known)| Some((began(version)?, known)));
        let forbidding = known.take_while(|(_, known)| Rule::of(known, attempt).forbids(&attempt.region));
        forbidding.last().map_or(0, |(since_ms, _)| attempt.at_ms - since_ms)
    }

    /// Returns when a version was first in force anywhere, in milliseconds.
    pub fn since_ms(&self, version: Version) -> Option<u64> {
        self.versions.get(&version).map(|known| known.since_ms)
    }
}

/// A look-up whose answer names no instance of the caller's region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookUp {
    /// When it was answered, in milliseconds.
    pub at_ms: u64,
    /// The instance that answered.
    pub instance: String,
    /// The caller's region.
    pub region: String,
    /// Numbers of instances of that region, as the one that answered believes: those that serve, may be dead, and are out.
    pub standing: [usize; 3],
    /// Whether the instance that answered is about to stop.
    pub is_stopping: bool,
}

impl LookUp {
    /// Whether it is a fault: there are instances of the caller's region that serve.
    pub const fn is_fault(&self) -> bool {
        self.standing[0] > 0
    }

    /// Returns why no instance of the caller's region is named.
    pub const fn reason(&self) -> &'static str {
        match self {
            _ if self.is_fault() => "own-good",
            Self { is_stopping: true, .. } => "stopping",
            Self { standing: [_, 0, 0], .. } => "none",
            Self { standing: [_, 0, _], .. } => "out",
            _ => "doubtful",
        }
    }
}
