//! Changing the policy in the store: acknowledged only with its revision.

use config::policy::Policy;
use store::{Change, Commit, Entry, Store, key};

use crate::error::{Error, Result};

/// Times a change is made anew on top of another operator's.
const REBASES: u32 = 8;
/// Times a lost answer is read back before the outcome is called unknown.
const READ_BACKS: u32 = 4;

/// What a change came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Done {
    /// The policy became this revision.
    Revision(u64),
    /// The change took effect, and others changed the policy since; it is now at this revision.
    Before(u64),
    /// The policy said so already, at this revision.
    Already(u64),
}

impl Done {
    /// The newest revision known to contain the change.
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Revision(revision) | Self::Before(revision) | Self::Already(revision) => *revision,
        }
    }
}

/// The policy in the store with its revision; revision zero and an empty policy if there is none.
pub fn read<S: Store>(store: &S) -> Result<(Policy, u64)> {
    match store.read(key::POLICY) {
        Ok(None) => Ok((Policy::default(), 0)),
        Ok(Some(entry)) => Ok((parse(&entry)?, entry.revision)),
        Err(error) => Err(Error::Failed(error.to_string())),
    }
}

/// Edits the policy in the store as the change `id`; edits again if another operator was faster.
pub fn edit<S, F>(store: &S, id: &str, edit: F) -> Result<Done>
where
    S: Store,
    F: Fn(&mut Policy) -> Result<()>,
{
    let mut found = 0;
    for _ in 0..REBASES {
        let (mut policy, revision) = read(store)?;
        if policy.changes.iter().any(|change| change == id) {
            return Ok(Done::Before(revision));
        }
        let before = policy.clone();
        edit(&mut policy)?;
        if policy == before {
            return Ok(Done::Already(revision));
        }
        match write(store, id, policy, revision)? {
            Some(done) => return Ok(done),
            None => found = revision,
        }
    }
    Err(Error::Conflict { expected: found, found: read(store)?.1 })
}

/// Replaces the policy if it is at `expected`, as the change `id`.
pub fn replace<S: Store>(store: &S, id: &str, mut policy: Policy, expected: u64) -> Result<Done> {
    let (before, found) = read(store)?;
    if found != expected {
        return Err(Error::Conflict { expected, found });
    }
    policy.changes = before.changes;
    match write(store, id, policy, expected)? {
        Some(done) => Ok(done),
        None => Err(Error::Conflict { expected, found: read(store)?.1 }),
    }
}

/// Writes `policy` over `expected`; `None` if another operator was faster.
fn write<S: Store>(store: &S, id: &str, mut policy: Policy, expected: u64) -> Result<Option<Done>> {
    policy.record_change(id);
    policy.check("policy")?;
    let change = Change::set(key::POLICY, expected, policy.to_text()?.into_bytes());
    match store.commit(std::slice::from_ref(&change)) {
        Ok(Commit::Done(revision)) => Ok(Some(Done::Revision(revision))),
        Ok(Commit::Conflict) => Ok(None),
        Err(store::Error::Ambiguous(reason)) => read_back(store, id, &change, reason),
        Err(error) => Err(Error::Failed(error.to_string())),
    }
}

/// Finds out what became of a write whose answer was lost.
///
/// While the policy is still at the old revision the write may yet arrive, so it is made again: the two can
/// only take effect once, and both carry the same id.
fn read_back<S: Store>(store: &S, id: &str, change: &Change, mut reason: String) -> Result<Option<Done>> {
    for _ in 0..READ_BACKS {
        match store.read(key::POLICY) {
            Ok(entry) => {
                let revision = entry.as_ref().map_or(0, |entry| entry.revision);
                let changes = entry.as_ref().map(parse).transpose()?.unwrap_or_default().changes;
                if changes.last().is_some_and(|last| last == id) {
                    return Ok(Some(Done::Revision(revision)));
                }
                if changes.iter().any(|change| change == id) {
                    return Ok(Some(Done::Before(revision)));
                }
                if revision != change.expect {
                    return Ok(None);
                }
            }
            Err(error) => {
                reason = error.to_string();
                continue;
            }
        }
        match store.commit(std::slice::from_ref(change)) {
            Ok(Commit::Done(revision)) => return Ok(Some(Done::Revision(revision))),
            Ok(Commit::Conflict) => {}
            Err(error) => reason = error.to_string(),
        }
    }
    Err(Error::Unknown { id: id.to_owned(), reason })
}

fn parse(entry: &Entry) -> Result<Policy> {
    let text = String::from_utf8_lossy(&entry.value);
    Ok(Policy::parse(&format!("policy revision {}", entry.revision), &text)?)
}
