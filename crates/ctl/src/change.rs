//! Changes of the policy in the store. A change is acknowledged only with the revision that contains it.

use config::policy::Policy;
use store::{Change, Commit, Entry, Store, key};

use crate::error::{Error, Result};

/// Maximum number of attempts to apply an edit when other operators change the policy at the same time.
const MAX_EDIT_ATTEMPTS: u32 = 8;
/// Maximum number of attempts to read back a change whose answer was lost, before its outcome counts as unknown.
const MAX_READ_BACKS: u32 = 4;

/// The result of a change that is in effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change became this revision.
    Applied(u64),
    /// The policy at this revision contains the change, and may have been changed again since.
    Included(u64),
    /// The policy at this revision is already as the change would make it; nothing was written.
    Unchanged(u64),
}

impl Outcome {
    /// Returns the newest revision known to contain the change.
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Applied(revision) | Self::Included(revision) | Self::Unchanged(revision) => *revision,
        }
    }
}

/// Reads the policy and its revision from the store; an empty policy with revision zero if there is none.
pub fn read<S: Store>(store: &S) -> Result<(Policy, u64)> {
    match store.read(key::POLICY) {
        Ok(None) => Ok((Policy::default(), 0)),
        Ok(Some(entry)) => Ok((parse(&entry)?, entry.revision)),
        Err(error) => Err(Error::Failed(error.to_string())),
    }
}

/// Applies `edit` to the policy in the store as the change `id`. If another operator changes the policy meanwhile,
/// reads it and applies `edit` again.
pub fn edit<S, F>(store: &S, id: &str, edit: F) -> Result<Outcome>
where
    S: Store,
    F: Fn(&mut Policy) -> Result<()>,
{
    let mut expected = 0;
    for _ in 0..MAX_EDIT_ATTEMPTS {
        let (mut policy, revision) = read(store)?;
        if policy.changes.iter().any(|change| change == id) {
            return Ok(Outcome::Included(revision));
        }
        let before = policy.clone();
        edit(&mut policy)?;
        if policy == before {
            return Ok(Outcome::Unchanged(revision));
        }
        match write(store, id, policy, revision)? {
            Some(outcome) => return Ok(outcome),
            None => expected = revision,
        }
    }
    Err(Error::Conflict { expected, found: read(store)?.1 })
}

/// Replaces the policy as the change `id`, if it is at revision `expected`.
pub fn replace<S: Store>(store: &S, id: &str, mut policy: Policy, expected: u64) -> Result<Outcome> {
    let (current, found) = read(store)?;
    if found != expected {
        return Err(Error::Conflict { expected, found });
    }
    policy.changes = current.changes;
    match write(store, id, policy, expected)? {
        Some(outcome) => Ok(outcome),
        None => Err(Error::Conflict { expected, found: read(store)?.1 }),
    }
}

/// Writes `policy` if the store is at revision `expected`; `None` if another operator changed the policy first.
fn write<S: Store>(store: &S, id: &str, mut policy: Policy, expected: u64) -> Result<Option<Outcome>> {
    policy.record_change(id);
    policy.check("policy")?;
    let change = Change::set(key::POLICY, expected, policy.to_text()?.into_bytes());
    match store.commit(std::slice::from_ref(&change)) {
        Ok(Commit::Done(revision)) => Ok(Some(Outcome::Applied(revision))),
        Ok(Commit::Conflict) => Ok(None),
        Err(error @ (store::Error::Ambiguous(_) | store::Error::Outdated { .. })) => {
            read_back(store, id, &change, error.to_string())
        }
        Err(error) => Err(Error::Failed(error.to_string())),
    }
}

/// Determines the outcome of a write whose answer was lost.
///
/// While the policy is still at the old revision, the write may arrive later, so it is repeated. Only one of the two
/// can take effect, since both expect the same revision; both carry the same id.
fn read_back<S: Store>(store: &S, id: &str, change: &Change, mut reason: String) -> Result<Option<Outcome>> {
    for _ in 0..MAX_READ_BACKS {
        match store.read(key::POLICY) {
            Ok(entry) => {
                let revision = entry.as_ref().map_or(0, |entry| entry.revision);
                let changes = entry.as_ref().map(parse).transpose()?.unwrap_or_default().changes;
                if changes.last().is_some_and(|last| last == id) {
                    return Ok(Some(Outcome::Applied(revision)));
                }
                if changes.iter().any(|change| change == id) {
                    return Ok(Some(Outcome::Included(revision)));
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
            Ok(Commit::Done(revision)) => return Ok(Some(Outcome::Applied(revision))),
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
