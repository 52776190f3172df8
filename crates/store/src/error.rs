//! What can be known of a call that failed.

/// Why a call to the store gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing was sent: the call took no effect.
    #[error("store not reachable: {0}")]
    Unreachable(String),
    /// The call was sent and its answer was lost: it may have taken effect.
    #[error("store answer lost: {0}")]
    Ambiguous(String),
    /// The store refused the call: it took no effect.
    #[error("store refused the call: {0}")]
    Refused(String),
}

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;
