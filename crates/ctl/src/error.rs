//! Errors of `hemlockctl` and their exit codes.

/// An error of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}\n\n{usage}", usage = crate::cli::USAGE)]
    Usage(String),
    /// A file or a value is wrong; nothing was changed.
    #[error("{0}; nothing was changed")]
    Policy(#[from] config::Error),
    /// Something could not be reached or read; nothing was changed.
    #[error("{0}; nothing was changed")]
    Failed(String),
    /// A policy is valid, but parts of it have no effect; the text is the whole report.
    #[error("{0}")]
    Warnings(String),
    /// Another operator changed the policy first.
    #[error(
        "the policy is at revision {found}, not {expected}: another operator changed it; run `hemlockctl show`, then try again; nothing was changed"
    )]
    Conflict {
        /// Revision that the change was made from.
        expected: u64,
        /// Revision that the policy is at.
        found: u64,
    },
    /// The change may or may not have taken effect.
    #[error(
        "outcome unknown: the store's answer was lost and it cannot be read back ({reason}); run `hemlockctl settle {id}` when the store answers again"
    )]
    Unknown {
        /// Unique id of the change.
        id: String,
        /// Why reading back failed.
        reason: String,
    },
}

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit code of the process.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) | Self::Warnings(_) => 1,
            Self::Usage(_) | Self::Policy(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Unknown { .. } => 4,
        }
    }
}
