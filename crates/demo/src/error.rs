//! Errors of starting a deployment on one machine.

use std::path::PathBuf;

/// Why a deployment did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(#[from] lexopt::Error),
    /// A file of the deployment cannot be read or is invalid.
    #[error("{path}: {reason}")]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// A program could not be started.
    #[error("{program}: {reason}; build all programs first: cargo build --release --workspace")]
    Program {
        /// The program.
        program: String,
        /// The operating system's error.
        reason: String,
    },
    /// The deployment or one of its processes could not be started or signalled.
    #[error("{0}")]
    Start(String),
}

/// The result of starting a deployment.
pub type Result<T> = std::result::Result<T, Error>;
