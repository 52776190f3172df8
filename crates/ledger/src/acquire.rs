//! Making a claim in the store: lost answers are resolved by reading back, never by assuming.

use base::time::Time;

use crate::claim::Claim;

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Write the claim if the key's revision is this; zero if it must be absent.
    Write(u64),
    /// Read the claim.
    Read,
    /// Ask the daemon that made this claim, which stands at this revision.
    Ask(Claim, u64),
}

/// What another daemon can say of a key it claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Status<A> {
    /// It ran, and this was the answer.
    Ran(A),
    /// It runs now.
    Running,
    /// It was never run here and never will be under this claim.
    NeverRun,
    /// It may have run.
    Unknown,
}

/// What a call gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply<A> {
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
    /// The claimant's word on its claim, which stood at this revision.
    Status(Status<A>, u64),
}

/// What the claim has come to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<A> {
    /// It is ours, made now, at this revision.
    Acquired(u64),
    /// Another daemon ran it, and this was the answer.
    Ran(A),
    /// Another daemon runs it now.
    Running,
    /// It may have run.
    Unknown,
    /// The key stands for another request.
    KeyReused,
    /// Nothing reliable was learned.
    Unavailable,
}

/// The next call, or the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<A> {
    /// Make this call.
    Call(Call),
    /// The claim has come to this.
    Finish(Outcome<A>),
}

/// Makes one claim.
#[derive(Debug, Clone)]
pub struct Acquisition {
    incarnation: u64,
    fingerprint: u64,
    /// The ledger remembers that nothing was sent for the key.
    unsent: bool,
    give_up: Time,
}

impl Acquisition {
    /// Makes a claim for `incarnation` until `give_up`; `unsent` says that the ledger remembers the key as unsent.
    pub const fn new(incarnation: u64, fingerprint: u64, unsent: bool, give_up: Time) -> Self {
        Self { incarnation, fingerprint, unsent, give_up }
    }

    /// The first call.
    pub const fn start<A>(&self) -> Action<A> {
        Action::Call(Call::Write(0))
    }

    /// The next call, or the end, after `reply`.
    ///
    /// A claim counts as ours only after a write of ours took effect in answer to this very send: another
    /// daemon may have been told that an older claim of ours was never run, and be taking it over.
    pub fn handle<A>(&self, reply: Reply<A>, now: Time) -> Action<A> {
        let late = now >= self.give_up;
        match reply {
            Reply::Written(revision) => Action::Finish(Outcome::Acquired(revision)),
            Reply::Status(Status::Ran(answer), _) => Action::Finish(Outcome::Ran(answer)),
            Reply::Status(Status::Running, _) => Action::Finish(Outcome::Running),
            Reply::Status(Status::Unknown, _) => Action::Finish(Outcome::Unknown),
            Reply::Unsent => Action::Finish(Outcome::Unavailable),
            _ if late => Action::Finish(Outcome::Unavailable),
            Reply::Status(Status::NeverRun, revision) => Action::Call(Call::Write(revision)),
            Reply::Conflict | Reply::Lost => Action::Call(Call::Read),
            Reply::Found(None) => Action::Call(Call::Write(0)),
            Reply::Found(Some((claim, revision))) => self.found(claim, revision),
        }
    }

    fn found<A>(&self, claim: Claim, revision: u64) -> Action<A> {
        if claim.fingerprint != self.fingerprint {
            return Action::Finish(Outcome::KeyReused);
        }
        if claim.incarnation != self.incarnation {
            return Action::Call(Call::Ask(claim, revision));
        }
        if self.unsent {
            return Action::Call(Call::Write(revision));
        }
        Action::Finish(Outcome::Unknown)
    }
}
