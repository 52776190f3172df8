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
    /// The store refused the call: it had no effect.
    #[error("store refused the call: {0}")]
    Refused(String),
}

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;
