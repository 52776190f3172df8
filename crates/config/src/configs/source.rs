//! Where a daemon's settings come from: a file, and values that the command line gives in place of the file's.

use std::fs;
use std::path::{Path, PathBuf};

use super::Settings;
use crate::error::{Error, Result};

/// The option of the command line that gives a value, as errors name it.
const OPTION: &str = "--set";

/// A settings file and the values given in place of its own.
#[derive(Debug, Clone)]
pub struct Source {
    path: PathBuf,
    /// Assignments of one key each, in TOML: `fleet.relay_port=7201`.
    overrides: Vec<String>,
}

impl Source {
    /// Returns the file at `path` as the source.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), overrides: Vec::new() }
    }

    /// Adds `assignments` such as `fleet.relay_port=7201`, each of which replaces or adds a value.
    #[must_use]
    pub fn with_overrides(mut self, assignments: Vec<String>) -> Self {
        self.overrides.extend(assignments);
        self
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads and checks the settings.
    pub fn read(&self) -> Result<Settings> {
        let name = self.path.display().to_string();
        let text = fs::read_to_string(&self.path).map_err(|source| Error::Read { path: self.path.clone(), source })?;
        if self.overrides.is_empty() {
            return Settings::parse(&name, &text);
        }
        let mut table: toml::Table = toml::from_str(&text).map_err(|source| Error::parse(&name, &source))?;
        for assignment in &self.overrides {
            merge(&mut table, parse(assignment)?);
        }
        let merged =
            toml::to_string(&table).map_err(|source| Error::value(OPTION, name.as_str(), source.to_string()))?;
        Settings::parse(&format!("{name} with {OPTION} {}", self.overrides.join(" ")), &merged)
    }
}

fn parse(assignment: &str) -> Result<toml::Table> {
    let advice = "is not an assignment in TOML; write it like fleet.relay_port=7201";
    toml::from_str(assignment).map_err(|_source| Error::value(OPTION, assignment, advice))
}

/// Puts the values of `given` into `table`, section by section.
fn merge(table: &mut toml::Table, given: toml::Table) {
    for (key, value) in given {
        match (table.get_mut(&key), value) {
            (Some(toml::Value::Table(section)), toml::Value::Table(values)) => merge(section, values),
            (_, value) => drop(table.insert(key, value)),
        }
    }
}
