//! Errors of the command line, traces and deployments.

/// Why a replay failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// A line of a trace is invalid.
    #[error("{name}: line {line}: {reason}")]
    Line {
        /// Name of the trace.
        name: String,
        /// Line number, counted from one.
        line: usize,
        /// What is wrong with the line.
        reason: String,
    },
    /// A file could not be read or written.
    #[error("{0}: {1}")]
    File(String, String),
}

/// The result of reading input, replaying or writing files.
pub type Result<T> = std::result::Result<T, Error>;
