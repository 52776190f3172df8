//! `explain`: traces one request through the logs of several daemons.

use std::fmt::Write as _;
use std::path::PathBuf;

use crate::error::{Error, Result};
use crate::logs::{self, Line, Step};

/// Reads `files` and returns the trace of `request`, one log line per line, with times relative to its first line.
pub fn run(request: &str, files: &[PathBuf]) -> Result<String> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|source| {
            Error::Failed(format!("{}: {source}; name a readable file of log lines", file.display()))
        })?;
        lines.extend(text.lines().filter_map(Line::parse));
    }
    let steps = logs::trace(&lines, request);
    let Some(first) = steps.iter().find(|step| step.of_request).map(|step| step.line.at_ms) else {
        return Err(Error::Failed(format!(
            "no line of {} names request {request}; give the logs of all daemons and look for `lines_left_out`",
            lines.len()
        )));
    };
    Ok(steps.iter().fold(String::new(), |mut text, step| {
        write_step(&mut text, step, first);
        text
    }))
}

/// Writes a step; lines that do not name the request are put in parentheses.
fn write_step(text: &mut String, step: &Step, first_ms: u64) {
    let Step { line, of_request } = step;
    let offset_ms = i128::from(line.at_ms) - i128::from(first_ms);
    let (open, close) = if *of_request { ("", "") } else { ("(", ")") };
    let written = writeln!(text, "{offset_ms:>+7} ms {} {open}{}{close}", line.instance, line.text);
    debug_assert!(written.is_ok(), "writing to a string does not fail");
}
