//! Errors that keep a soak from running.

/// A failure outside the programs under test.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(#[from] lexopt::Error),
    /// The deployment did not start.
    #[error(transparent)]
    Deployment(#[from] demo::error::Error),
    /// A file or socket of the soak itself failed.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// The result of running a soak.
pub type Result<T> = std::result::Result<T, Error>;
