//! Errors of reading settings and policies.

use std::path::PathBuf;

/// An error of reading settings or a policy.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("{path}: {source}; check the path and its permissions")]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid TOML, or a key is unknown or of the wrong type; `text` names line and key.
    #[error("{name}: {text}")]
    Parse {
        /// The file's name, or what the text is.
        name: String,
        /// The parser's message with line, column and key.
        text: String,
    },
    /// A value is invalid.
    #[error("{name}: key `{key}`: {advice}")]
    Value {
        /// The file's name, or what the text is.
        name: String,
        /// The dotted path of the key.
        key: String,
        /// What to change.
        advice: String,
    },
}

/// The result of reading settings or a policy.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an error about the value of `key`, with `advice` on what to change.
    pub fn value(name: &str, key: impl Into<String>, advice: impl Into<String>) -> Self {
        Self::Value { name: name.to_owned(), key: key.into(), advice: advice.into() }
    }

    pub(crate) fn parse(name: &str, source: &toml::de::Error) -> Self {
        Self::Parse { name: name.to_owned(), text: source.to_string().trim_end().to_owned() }
    }
}
