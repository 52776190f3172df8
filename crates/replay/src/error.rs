//! Errors of traces and sites.

/// Why a replay did not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// A line of a trace is wrong.
    #[error("{name}: line {line}: {reason}")]
    Line {
        /// The trace.
        name: String,
        /// Line number, from one.
        line: usize,
        /// What to change.
        reason: String,
    },
    /// A file could not be read or written.
    #[error("{0}: {1}")]
    File(String, String),
}

/// The result of reading or replaying.
pub type Result<T> = std::result::Result<T, Error>;
