//! Judges what daemons did with requests by the policies that may have been in force: whether one of them has no route for a
//! request that was refused as wrong, and whether one of them allows the region that a request was sent to ([`regions`]).
//!
//! A refusal with status 404 is right if the caller's route is missing in a policy that may be in force: the newest one, and
//! the one before it while instances may still learn of the newest. What else an instance refuses with a status from 300 to
//! 499 says something of the request alone, and is judged by who has sent it.

pub mod lag;
pub mod regions;
pub mod report;
mod told;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use config::policy::{Class, Policy, host_name};

use self::regions::Regions;

/// Differences between the clocks of the machines whose logs are compared, and time between a policy's coming into force
/// and its log line.
const CLOCK_TOLERANCE_MS: u64 = 250;
/// Statuses that promise that the request did not run: its caller may send it again.
const RETRIED_STATUSES: [u16; 3] = [408, 421, 429];

/// The address at which an instance takes requests that others pass on. It tells them whether a request ran, and a refusal there never
/// reaches a caller.
const RELAYED: &str = "relayed";

/// Order of policies: the operators' number, the store's era and its revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Version(pub u64, pub u64, pub u64);

impl Version {
    /// Parses a version as log lines have it, such as `0000000a.0.354`; `None` if it is none.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let declared = u64::from_str_radix(parts.next()?, 16).ok()?;
        let (era, revision) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
        parts.next().is_none().then_some(Self(declared, era, revision))
    }

    /// Whether `other` is a later policy. A store that is restored changes the era of a policy that the operators have numbered, and
    /// nothing else of it.
    pub fn is_replaced_by(self, other: Self) -> bool {
        self.0 < other.0 || (self.0 == 0 && self < other)
    }
}

/// A place that a route covers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The host; empty for every host.
    pub host: String,
    /// The prefix of its paths.
    pub prefix: String,
}

/// A reply that tells a caller that its request is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// When it was sent, in milliseconds.
    pub at_ms: u64,
    /// The instance that sent it.
    pub instance: String,
    /// The request's id; a dash if it has none.
    pub request: String,
    /// What the address is for at which the request arrived, as in metrics.
    pub address: String,
    /// The HTTP status of the reply.
    pub status: u16,
    /// The kind of error; a dash for a server's answer.
    pub kind: String,
    /// Whether the reply bears a server's signature.
    pub signed: bool,
    /// The host that the request names.
    pub host: String,
    /// The path of the request.
    pub path: String,
}

/// What can be said of a rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// A policy that may be in force has no route for the request, or a server has signed the answer.
    Right,
    /// Its status promises that the request did not run, or another instance was told so, which sends it elsewhere.
    Retried,
    /// Keys of client accounts are in no log.
    Unknown,
    /// Only a policy that was replaced too long ago, or that is not in force yet, has no route for the request.
    Outdated,
    /// Every policy has a route for the request.
    Unfounded,
    /// The request is refused for its form; wrong if its caller keeps to HTTP and to the limits.
    Form,
    /// A request for work at an address for look-ups.
    WrongAddress,
    /// A server's answer without its signature.
    Unsigned,
}

impl Verdict {
    /// Whether the rejection is a fault if its caller keeps to HTTP and to the limits.
    pub const fn is_fault(self) -> bool {
        !matches!(self, Self::Right | Self::Retried | Self::Unknown)
    }

    /// Returns the name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Right => "right",
            Self::Retried => "retried",
            Self::Unknown => "unknown",
            Self::Outdated => "outdated",
            Self::Unfounded => "unfounded",
            Self::Form => "form",
            Self::WrongAddress => "wrong-address",
            Self::Unsigned => "unsigned",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What a version of the policy says, as far as an audit asks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Contents {
    /// The routes, each with the name of its class; empty names if they are not told.
    pub places: BTreeMap<Place, String>,
    /// Whether requests need the key of a client account.
    pub has_accounts: bool,
    /// Where requests may run; `None` if it is not told.
    pub regions: Option<Regions>,
}

impl Contents {
    /// Whether both may be contents of one version; builds up to d456f2e do not tell of regions and classes.
    fn agrees_with(&self, other: &Self) -> bool {
        let tells_regions = self.regions.is_some() && other.regions.is_some();
        self.places.keys().eq(other.places.keys())
            && self.has_accounts == other.has_accounts
            && (!tells_regions || self == other)
    }
}

/// A version of the policy.
#[derive(Debug, Clone)]
struct Known {
    /// When it was first in force anywhere, in milliseconds.
    since_ms: u64,
    /// Its routes, as classes.
    policy: Policy,
    /// What it says.
    contents: Contents,
}

/// All versions of the policy, and when each came into force first.
#[derive(Debug, Clone, Default)]
pub struct History {
    versions: BTreeMap<Version, Known>,
    /// Time in which every instance learns of a new version, in milliseconds.
    apply_ms: u64,
}

impl History {
    /// Creates an empty history; every instance learns of a new version within `apply`.
    pub fn new(apply: Duration) -> Self {
        Self { versions: BTreeMap::new(), apply_ms: apply.as_millis() as u64 }
    }

    /// Records that a version with these contents was in force, or was accepted by the store, at `at_ms`.
    /// Returns whether it is the same as recorded before: instances that read one version differently decide differently.
    pub fn record(&mut self, version: Version, contents: &Contents, at_ms: u64) -> bool {
        let known = self.versions.entry(version).or_insert_with(|| Known {
            since_ms: at_ms,
            policy: policy_of(contents.places.keys()),
            contents: contents.clone(),
        });
        known.since_ms = known.since_ms.min(at_ms);
        let agrees = known.contents.agrees_with(contents);
        if agrees && known.contents.regions.is_none() {
            known.contents = contents.clone();
        }
        agrees
    }

    /// Returns when a version was replaced: when a later one was first in force anywhere, in milliseconds.
    fn replaced_ms(&self, version: Version) -> Option<u64> {
        let later = self.versions.iter().filter(|(other, _)| version.is_replaced_by(**other));
        later.map(|(_, known)| known.since_ms).min()
    }

    /// Returns the number of versions.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether no version is known.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Judges a rejection.
    pub fn judge(&self, rejection: &Rejection) -> Verdict {
        let is_refusal_to_a_peer = rejection.address == RELAYED && rejection.kind != "-";
        if is_refusal_to_a_peer || RETRIED_STATUSES.contains(&rejection.status) {
            return Verdict::Retried;
        }
        match rejection.kind.as_str() {
            "-" if rejection.signed => Verdict::Right,
            "-" => Verdict::Unsigned,
            "unknown-route" => self.judge_route(rejection),
            "unknown-path" | "unknown-method" => Verdict::WrongAddress,
            "unknown-key" if self.versions.values().any(|known| known.contents.has_accounts) => Verdict::Unknown,
            "unknown-key" => Verdict::Unfounded,
            _ => Verdict::Form,
        }
    }

    fn judge_route(&self, rejection: &Rejection) -> Verdict {
        let lacks_route = |known: &Known| known.policy.class_of(host_name(&rejection.host), &rejection.path).is_none();
        let mut lacking = self.versions.iter().filter(|(_, known)| lacks_route(known)).peekable();
        if lacking.peek().is_none() {
            return Verdict::Unfounded;
        }
        let is_possible = lacking.any(|(version, known)| self.may_be_in_force(*version, known, rejection.at_ms));
        if is_possible { Verdict::Right } else { Verdict::Outdated }
    }

    /// Whether an instance may have `version` in force at `at_ms`: it was in force somewhere, and no later one has been for so
    /// long that every instance has learnt of it.
    fn may_be_in_force(&self, version: Version, known: &Known, at_ms: u64) -> bool {
        let mut later = self.versions.range(version..).filter(|(other, _)| **other != version);
        let is_replaced = later.any(|(_, later)| later.since_ms + self.apply_ms + CLOCK_TOLERANCE_MS < at_ms);
        known.since_ms <= at_ms + CLOCK_TOLERANCE_MS && !is_replaced
    }
}

/// Returns a policy that matches requests as one with these routes does.
fn policy_of<'a>(places: impl Iterator<Item = &'a Place>) -> Policy {
    let class =
        |place: &Place| Class { host: place.host.clone(), paths: vec![place.prefix.clone()], ..Class::default() };
    let classes = places.map(|place| (format!("{} {}", place.host, place.prefix), class(place))).collect();
    Policy { classes, ..Policy::default() }
}
