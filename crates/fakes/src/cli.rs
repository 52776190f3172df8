//! Command lines of the stand-ins.

use std::collections::BTreeMap;

use lexopt::prelude::{Long, Short, ValueExt as _};

/// Why a command line was not taken.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An option is unknown or lacks its value.
    #[error("{0}")]
    Option(#[from] lexopt::Error),
    /// An option's value is of the wrong form.
    #[error("--{0}: `{1}` is not a number")]
    Number(String, String),
    /// The user asked for help.
    #[error("{0}")]
    Help(String),
}

/// The result of reading a command line.
pub type Result<T> = std::result::Result<T, Error>;

/// Options of the form `--name value`.
#[derive(Debug, Default)]
pub struct Options {
    values: BTreeMap<String, String>,
}

impl Options {
    /// Reads the process's command line; `names` lists the options, `usage` is shown by `--help`.
    pub fn read(names: &[&str], usage: &str) -> Result<Self> {
        let mut parser = lexopt::Parser::from_env();
        let mut values = BTreeMap::new();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("help") | Short('h') => return Err(Error::Help(usage.to_owned())),
                Long(name) if names.contains(&name) => {
                    let name = name.to_owned();
                    values.insert(name, parser.value()?.string()?);
                }
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(Self { values })
    }

    /// The text of option `name`, or `default`.
    pub fn text<'a>(&'a self, name: &str, default: &'a str) -> &'a str {
        self.values.get(name).map_or(default, String::as_str)
    }

    /// The number of option `name`, or `default`.
    pub fn number(&self, name: &str, default: u64) -> Result<u64> {
        let Some(text) = self.values.get(name) else {
            return Ok(default);
        };
        text.parse().map_err(|_source| Error::Number(name.to_owned(), text.clone()))
    }
}

/// Prints why a stand-in did not start and gives its exit code.
pub fn fail(name: &str, error: &dyn std::error::Error) -> std::process::ExitCode {
    eprintln!("{name}: {error}");
    std::process::ExitCode::from(2)
}

/// Waits until the process is told to stop.
pub fn wait() {
    let signals = [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT];
    match signal_hook::iterator::Signals::new(signals) {
        Ok(mut signals) => drop(signals.forever().next()),
        Err(_) => loop {
            std::thread::park();
        },
    }
}
