//! Command lines, exit codes and termination signals of the stand-in programs.

use std::collections::BTreeMap;

use lexopt::prelude::{Long, Short, ValueExt as _};

/// Why a command line was rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An option is unknown, or its value is missing or not valid UTF-8.
    #[error("{0}")]
    Option(#[from] lexopt::Error),
    /// The value of a numeric option is not a number: option, value.
    #[error("--{0}: `{1}` is not a number")]
    Number(String, String),
    /// Help was requested; holds the usage text.
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
    /// Parses the process's command line. `names` lists the accepted options; `--help` returns `usage` as an error.
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

    /// Returns the text of option `name`, or `default`.
    pub fn text<'a>(&'a self, name: &str, default: &'a str) -> &'a str {
        self.values.get(name).map_or(default, String::as_str)
    }

    /// Returns the number given by option `name`, or `default`.
    pub fn number(&self, name: &str, default: u64) -> Result<u64> {
        let Some(text) = self.values.get(name) else {
            return Ok(default);
        };
        text.parse().map_err(|_source| Error::Number(name.to_owned(), text.clone()))
    }
}

/// Prints why the program `name` did not start and returns its exit code.
pub fn fail(name: &str, error: &dyn std::error::Error) -> std::process::ExitCode {
    eprintln!("{name}: {error}");
    std::process::ExitCode::from(2)
}

/// Blocks until the process receives SIGTERM or SIGINT.
pub fn wait_for_termination() {
    let signals = [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT];
    match signal_hook::iterator::Signals::new(signals) {
        Ok(mut signals) => drop(signals.forever().next()),
        Err(_) => loop {
            std::thread::park();
        },
    }
}
