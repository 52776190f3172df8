//! `report`: the service-level burn over all daemons.

use std::path::Path;

use burn::{Report, page};

use crate::cli::Command;
use crate::error::{Error, Result};
use crate::fleet;

/// Merges the reports of all daemons; also writes them as a page if `html` names a file.
pub fn run(command: &Command, html: Option<&Path>) -> Result<String> {
    let agent = fleet::agent();
    let entries = fleet::entries(&agent, &command.list)?;
    let answers = fleet::get_all::<Report>(&agent, &entries, "/burn");
    let silent: Vec<&str> =
        answers.iter().filter(|(_, answer)| answer.is_err()).map(|(name, _)| name.as_str()).collect();
    let reports: Vec<&Report> = answers.iter().filter_map(|(_, answer)| answer.as_ref().ok()).collect();
    let merged = Report::merge(reports);
    if let Some(path) = html {
        let written = std::fs::write(path, page::render(&merged));
        written.map_err(|error| Error::Failed(format!("{}: {error}", path.display())))?;
    }
    if command.json {
        let text = serde_json::to_string_pretty(&merged).map_err(|error| Error::Failed(error.to_string()))?;
        return Ok(text + "\n");
    }
    let mut text = merged.to_text();
    if !silent.is_empty() {
        text.push_str(&format!("not counted, no answer: {}\n", silent.join(", ")));
    }
    Ok(text)
}
