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
pub enum Word<A> {
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
    Said(Word<A>, u64),
}

/// What the claim has come to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Held<A> {
    /// It is ours, made now, at this revision.
    Ours(u64),
    /// Another daemon ran it, and this was the answer.
    Ran(A),
    /// Another daemon runs it now.
    Busy,
    /// It may have run.
    Taken,
    /// The key stands for another request.
    Reused,
    /// Nothing reliable was learned.
    Silent,
}

/// The next call, or the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress<A> {
    /// Make this call.
    Call(Call),
    /// The claim has come to this.
    End(Held<A>),
}

/// Makes one claim.
#[derive(Debug, Clone)]
pub struct Maker {
    incarnation: u64,
    fingerprint: u64,
    /// The ledger remembers that nothing was sent for the key.
    unsent: bool,
    give_up: Time,
}

impl Maker {
    /// Makes a claim for `incarnation` until `give_up`; `unsent` says that the ledger remembers the key as unsent.
    pub const fn new(incarnation: u64, fingerprint: u64, unsent: bool, give_up: Time) -> Self {
        Self { incarnation, fingerprint, unsent, give_up }
    }

    /// The first call.
    pub const fn first<A>(&self) -> Progress<A> {
        Progress::Call(Call::Write(0))
    }

    /// The next call, or the end, after `reply`.
    ///
    /// A claim counts as ours only after a write of ours took effect in answer to this very send: another
    /// daemon may have been told that an older claim of ours was never run, and be taking it over.
    pub fn next<A>(&self, reply: Reply<A>, now: Time) -> Progress<A> {
        let late = now >= self.give_up;
        match reply {
            Reply::Written(revision) => Progress::End(Held::Ours(revision)),
            Reply::Said(Word::Ran(answer), _) => Progress::End(Held::Ran(answer)),
            Reply::Said(Word::Running, _) => Progress::End(Held::Busy),
            Reply::Said(Word::Unknown, _) => Progress::End(Held::Taken),
            Reply::Unsent => Progress::End(Held::Silent),
            _ if late => Progress::End(Held::Silent),
            Reply::Said(Word::NeverRun, revision) => Progress::Call(Call::Write(revision)),
            Reply::Conflict | Reply::Lost => Progress::Call(Call::Read),
            Reply::Found(None) => Progress::Call(Call::Write(0)),
            Reply::Found(Some((claim, revision))) => self.found(claim, revision),
        }
    }

    fn found<A>(&self, claim: Claim, revision: u64) -> Progress<A> {
        if claim.fingerprint != self.fingerprint {
            return Progress::End(Held::Reused);
        }
        if claim.incarnation != self.incarnation {
            return Progress::Call(Call::Ask(claim, revision));
        }
        if self.unsent {
            return Progress::Call(Call::Write(revision));
        }
        Progress::End(Held::Taken)
    }
}
