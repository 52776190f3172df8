//! Making a claim in the store: lost answers are resolved by reading back, never by assuming.

use base::time::Time;

use crate::claim::Claim;
use crate::table::Held;

/// What to do next at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Write the claim if the key's revision is this; zero if it must be absent.
    Write(u64),
    /// Read the claim.
    Read,
}

/// What a call to the store gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The write took effect at this revision.
    Written(u64),
    /// The write found another revision.
    Conflict,
    /// The claim read, with its revision; `None` if absent.
    Found(Option<(Claim, u64)>),
    /// Nothing was sent.
    Unsent,
    /// The answer was lost; a write may have taken effect.
    Lost,
}

/// What making the claim has come to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Make this call.
    Call(Call),
    /// The claim is ours, at this revision.
    Ours(u64),
    /// The key is claimed by another, at this revision.
    Other(Claim, u64),
    /// Nothing reliable was learned.
    Silent,
}

impl Progress {
    /// The ledger's word for a finished claim.
    pub fn held(&self) -> Held {
        match self {
            Self::Ours(_) => Held::Ours,
            Self::Other(claim, _) => Held::Other(claim.clone()),
            Self::Call(_) | Self::Silent => Held::Silent,
        }
    }
}

/// Makes one claim.
#[derive(Debug, Clone)]
pub struct Maker {
    incarnation: u64,
    /// Claims of our incarnation may be replaced: the ledger remembers that nothing was sent for the key.
    unsent: bool,
    give_up: Time,
}

impl Maker {
    /// Makes a claim for `incarnation` until `give_up`; `unsent` says that the ledger remembers the key as unsent.
    pub const fn new(incarnation: u64, unsent: bool, give_up: Time) -> Self {
        Self {
            incarnation,
            unsent,
            give_up,
        }
    }

    /// The first call.
    pub const fn first(&self) -> Progress {
        Progress::Call(Call::Write(0))
    }

    /// The next call, or the end, after `reply`.
    pub fn next(&self, reply: Reply, now: Time) -> Progress {
        if now >= self.give_up && !matches!(reply, Reply::Written(_)) {
            return Progress::Silent;
        }
        match reply {
            Reply::Written(revision) => Progress::Ours(revision),
            Reply::Conflict | Reply::Lost => Progress::Call(Call::Read),
            Reply::Found(None) => Progress::Call(Call::Write(0)),
            Reply::Found(Some((claim, revision))) if claim.incarnation == self.incarnation && self.unsent => {
                Progress::Call(Call::Write(revision))
            }
            Reply::Found(Some((claim, revision))) => Progress::Other(claim, revision),
            Reply::Unsent => Progress::Silent,
        }
    }
}
