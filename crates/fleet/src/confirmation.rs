//! How long ago the policy in force is known to have been the store's.
//!
//! A daemon that goes by a replaced policy may run a request in a region that it must not run in. So it must know of its policy that
//! it was in force a bounded time ago. The store says so, directly or through another daemon. While the store is silent for all daemons,
//! it accepts no change either: then it is enough that a daemon hears others of every region, that none of them has a newer policy or
//! has lately heard from the store, and that no other one is silent. Daemons that are cut off together, from the store and from
//! the others, do not agree by themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;
use serde::{Deserialize, Serialize};

use crate::Document;
use crate::replica::Version;

/// Number of versions of which it is kept when they were the store's: of those that are about to come into force, and the one in force.
const MAX_VERSIONS: usize = 4;

/// Bounds that follow from the time within which a new policy must be in force everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    max_age: Duration,
}

impl Limits {
    /// Creates the limits of a deployment in which a new policy must be in force everywhere within `apply`. A quarter of it is left for
    /// the way of a request, which a link that drops packets makes longer.
    pub fn new(apply: Duration) -> Self {
        Self { max_age: apply * 3 / 4 }
    }

    /// Age of a policy up to which requests go by the regions that it names.
    pub const fn max_age(&self) -> Duration {
        self.max_age
    }

    /// The same since other daemons agreed on it. The rest is for a change that some daemon learns of in the meantime, and that spreads.
    pub fn max_agreement_age(&self) -> Duration {
        self.max_age / 2
    }

    /// Age from which a daemon asks others.
    pub fn ask_after(&self) -> Duration {
        self.max_age * 2 / 3
    }

    /// Age from which a daemon counts as one that hears nothing of the store.
    pub fn silent_after(&self) -> Duration {
        self.max_age * 3 / 4
    }

    /// Time between two rounds of questions.
    pub fn interval(&self) -> Duration {
        self.max_age / 6
    }

    /// Longest wait for the answers of a round.
    pub fn timeout(&self) -> Duration {
        self.max_age / 3
    }
}

/// What a daemon says of its policy to another one that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The version in force.
    pub version: Version,
    /// How long ago it was known to be the store's, in milliseconds; `None` if it never was.
    pub age_ms: Option<u64>,
    /// Whether a change has arrived that is not in force yet.
    pub pending: bool,
    /// Whether the store has lately answered a call, be it with a refusal: it may serve the operators and others.
    pub hears_store: bool,
}

impl Standing {
    fn age(&self) -> Option<Duration> {
        self.age_ms.map(Duration::from_millis)
    }
}

/// What other daemons have told of the age of the policy in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// When the store last had no newer policy, for each of the latest versions.
    confirmed: BTreeMap<Version, Time>,
    agreed: Option<(Version, Time)>,
}

impl Confirmation {
    /// Records that at `as_of` the store had no newer policy than `version`.
    pub fn confirm(&mut self, version: Version, as_of: Time) {
        let known = self.confirmed.entry(version).or_insert(as_of);
        *known = as_of.max(*known);
        while self.confirmed.len() > MAX_VERSIONS {
            self.confirmed.pop_first();
        }
    }

    /// Records that at `as_of` daemons of all regions knew of no policy newer than `version`, and heard nothing of the store.
    pub const fn agree(&mut self, version: Version, as_of: Time) {
        self.agreed = Some((version, as_of));
    }

    /// Forgets the last agreement.
    pub const fn withdraw(&mut self) {
        self.agreed = None;
    }

    /// Returns the latest time at which the store is known to have had no newer policy than `version`.
    pub fn confirmed_at(&self, version: Version) -> Option<Time> {
        self.confirmed.range(..=version).map(|(_, at)| *at).max()
    }

    /// Returns when daemons of all regions last agreed on `version`.
    pub fn agreed_at(&self, version: Version) -> Option<Time> {
        self.agreed.filter(|(agreed, _)| *agreed == version).map(|(_, at)| at)
    }
}

/// Members that are silent, and those that were lately and have not answered a question since.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Silence(BTreeMap<String, Spell>);

/// The last time for which a member was silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Spell {
    since: Time,
    /// Whether it is silent still.
    is_open: bool,
}

impl Silence {
    /// Records which `members` are silent at `now`, by name; the store was last heard at `confirmed_at`.
    pub fn update<'a>(
        &mut self,
        members: impl Iterator<Item = (&'a str, bool)>,
        confirmed_at: Option<Time>,
        now: Time,
    ) {
        let known = std::mem::take(&mut self.0);
        for (name, is_silent) in members {
            let spell = match (known.get(name), is_silent) {
                (Some(spell), true) if spell.is_open => *spell,
                (_, true) => Spell { since: now, is_open: true },
                (Some(spell), false) if spell.is_after(confirmed_at) => Spell { is_open: false, ..*spell },
                (_, false) => continue,
            };
            self.0.insert(name.to_owned(), spell);
        }
    }

    /// Records that the member `name` has answered a question.
    pub fn record_answer(&mut self, name: &str) {
        self.0.remove(name);
    }

    /// Whether the member `name` is silent.
    pub fn contains(&self, name: &str) -> bool {
        self.0.get(name).is_some_and(|spell| spell.is_open)
    }

    /// Returns the members that may know more than this daemon, which last heard the store at `confirmed_at`: those that are silent and may
    /// hear the store still, and those that were silent since then and have not answered a question yet.
    pub fn suspects(&self, confirmed_at: Option<Time>) -> impl Iterator<Item = &str> {
        let suspects = self.0.iter().filter(move |(_, spell)| spell.is_open || spell.is_after(confirmed_at));
        suspects.map(|(name, _)| name.as_str())
    }
}

impl Spell {
    fn is_after(&self, confirmed_at: Option<Time>) -> bool {
        confirmed_at.is_none_or(|confirmed_at| self.since > confirmed_at)
    }
}

/// A daemon's answer to the question for its standing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What it says of its policy.
    #[serde(flatten)]
    pub standing: Standing,
    /// Its policy, if it was asked for one that is newer than another version, and it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<Document>,
}

/// What follows from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The other daemon has a newer policy, which was the store's at that time, or a change that is not in force there yet.
    Newer(Option<Time>),
    /// The store had no newer policy than the one in force at that time.
    Confirmed(Time),
    /// The other daemon knows of no newer policy, and the store refuses its calls.
    Refused,
    /// The other daemon knows of no newer policy, and hears nothing of the store.
    Silent,
}

/// A round of questions to daemons of all regions.
#[derive(Debug, Clone)]
pub struct Round {
    sent: Time,
    in_force: Version,
    /// Regions of which nobody has answered yet.
    unheard: BTreeSet<String>,
    /// Number of questions that are not answered yet.
    open: usize,
    /// Whether an answer, a missing one or the daemon itself speaks against the silence of the store.
    contradicted: bool,
}

impl Round {
    /// Begins a round of `questions` at `sent` while `in_force` is in force. Daemons of each of `regions` must answer.
    pub const fn new(in_force: Version, regions: BTreeSet<String>, questions: usize, sent: Time) -> Self {
        Self { sent, in_force, unheard: regions, open: questions, contradicted: false }
    }

    /// Records that this daemon itself knows of something that speaks against the silence of the store.
    pub const fn contradict(&mut self) {
        self.contradicted = true;
    }

    /// Records the answer of a daemon in `region`.
    pub fn record(&mut self, region: &str, standing: &Standing, limits: Limits) -> Finding {
        self.open = self.open.saturating_sub(1);
        self.unheard.remove(region);
        let finding = self.judge(standing, limits);
        self.contradicted |= finding != Finding::Silent;
        finding
    }

    /// Records that a daemon has not answered. It may hear the store, also if its connections are refused: a cut can do that.
    pub const fn record_failure(&mut self) {
        self.open = self.open.saturating_sub(1);
        self.contradicted = true;
    }

    /// Returns since when all that were asked, of all regions, agree that they know of no newer policy; `None` if they do not.
    pub fn agreed_at(&self) -> Option<Time> {
        (self.open == 0 && self.unheard.is_empty() && !self.contradicted).then_some(self.sent)
    }

    /// Returns the version that was in force when the round began.
    pub const fn version(&self) -> Version {
        self.in_force
    }

    /// The answer is older than its receipt by an unknown time, so what it says counts from when it was asked for.
    fn judge(&self, standing: &Standing, limits: Limits) -> Finding {
        let (own, other) = (self.in_force, standing.version);
        // A restored store lists the same policy again, in another era.
        let is_same = other.declared > 0 && other.declared == own.declared && other.stored.era != own.stored.era;
        let confirmed_at = standing.age().map(|age| self.sent - age);
        if standing.pending {
            return Finding::Newer(None);
        }
        if other > own && !is_same {
            return Finding::Newer(confirmed_at);
        }
        match confirmed_at.filter(|_| standing.age() < Some(limits.silent_after())) {
            Some(as_of) if other <= own => Finding::Confirmed(as_of),
            Some(_) => Finding::Newer(None),
            None if standing.hears_store => Finding::Refused,
            None => Finding::Silent,
        }
    }
}
