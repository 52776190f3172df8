//! Acquisition of a claim in the store. After a lost answer the claim is read back; success is never assumed.

use base::time::Time;

use crate::claim::Claim;

/// The next call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Write the claim if the key has this revision; zero if the key must be absent.
    Write(u64),
    /// Read the claim.
    Read,
    /// Ask the daemon that made this claim, stored at this revision.
    Ask(Claim, u64),
}

/// The status of a key at the daemon that claimed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Status<A> {
    /// The request ran, with this answer.
    Ran(A),
    /// The request is running.
    Running,
    /// The request never ran there and never will under this claim.
    NeverRun,
    /// The request may have run.
    Unknown,
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply<A> {
    /// The write took effect at this revision.
    Written(u64),
    /// The write found another revision.
    Conflict,
    /// The claim that was read, with its revision; `None` if absent.
    Found(Option<(Claim, u64)>),
    /// The call had no effect, for example because it was not sent.
    Unsent,
    /// The answer was lost; a write may have taken effect.
    Lost,
    /// The status at the claimant, whose claim was stored at this revision.
    Status(Status<A>, u64),
}

/// The result of an acquisition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<A> {
    /// The claim is ours; it was written just now, at this revision.
    Acquired(u64),
    /// Another daemon ran the request, with this answer.
    Ran(A),
    /// Another daemon is running the request.
    Running,
    /// The request may have run.
    Unknown,
    /// The key was claimed for another request.
    KeyReused,
    /// The state of the claim could not be determined.
    Unavailable,
}

/// What the caller of an acquisition does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<A> {
    /// Make this call and pass its reply to [`Acquisition::handle`].
    Call(Call),
    /// The acquisition ended with this result.
    Finish(Outcome<A>),
}

/// The state machine that acquires one claim.
#[derive(Debug, Clone)]
pub struct Acquisition {
    incarnation: u64,
    fingerprint: u64,
    /// Whether the ledger records that nothing was sent to a backend server for the key.
    unsent: bool,
    deadline: Time,
}

impl Acquisition {
    /// Creates an acquisition for `incarnation` that ends at `deadline`.
    ///
    /// `unsent` states that, by the ledger, nothing was sent to a backend server for the key.
    pub const fn new(incarnation: u64, fingerprint: u64, unsent: bool, deadline: Time) -> Self {
        Self { incarnation, fingerprint, unsent, deadline }
    }

    /// Returns the first call.
    pub const fn start<A>(&self) -> Action<A> {
        Action::Call(Call::Write(0))
    }

    /// Returns the next call, or the result, after `reply`.
    ///
    /// A claim counts as ours only after a write made for this send took effect: another daemon may have got
    /// [`Status::NeverRun`] for an older claim of ours, and may be taking that claim over.
    pub fn handle<A>(&self, reply: Reply<A>, now: Time) -> Action<A> {
        let expired = now >= self.deadline;
        match reply {
            Reply::Written(revision) => Action::Finish(Outcome::Acquired(revision)),
            Reply::Status(Status::Ran(answer), _) => Action::Finish(Outcome::Ran(answer)),
            Reply::Status(Status::Running, _) => Action::Finish(Outcome::Running),
            Reply::Status(Status::Unknown, _) => Action::Finish(Outcome::Unknown),
            Reply::Unsent => Action::Finish(Outcome::Unavailable),
            _ if expired => Action::Finish(Outcome::Unavailable),
            Reply::Status(Status::NeverRun, revision) => Action::Call(Call::Write(revision)),
            Reply::Conflict | Reply::Lost => Action::Call(Call::Read),
            Reply::Found(None) => Action::Call(Call::Write(0)),
            Reply::Found(Some((claim, revision))) => self.handle_found(claim, revision),
        }
    }

    /// Returns the next action after the claim was read.
    fn handle_found<A>(&self, claim: Claim, revision: u64) -> Action<A> {
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
