//! Errors of calls to the store, by whether the call may have taken effect.

/// Why a call to the store returned no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing was sent: the call had no effect.
    #[error("store not reachable: {0}")]
    Unreachable(String),
    /// The call was sent and its answer was lost: it may have taken effect.
    #[error("store answer lost: {0}")]
    Ambiguous(String),
    /// The answer is from before the store was restored from an older copy: what it says may be lost.
    #[error("store answer outdated: era {era} after era {newest}")]
    Outdated {
        /// The era that the answer belongs to.
        era: u64,
        /// The latest era known.
        newest: u64,
    },
    /// The store could not read the call: it had no effect, and the same call fails again.
    #[error("store could not read the call: {0}")]
    Unreadable(String),
    /// The store refused the call: it had no effect.
    #[error("store refused the call: {0}")]
    Refused(String),
}

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;
