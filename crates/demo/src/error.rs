//! Errors of a deployment on one machine.

use std::path::PathBuf;

/// Why a deployment did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(#[from] lexopt::Error),
    /// A file of the deployment could not be read.
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
        /// The system's reason.
        reason: String,
    },
    /// The deployment did not come up.
    #[error("{0}")]
    Start(String),
}

/// The result of starting a deployment.
pub type Result<T> = std::result::Result<T, Error>;
