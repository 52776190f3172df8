//! `explain`: the way of one request, from the logs of several daemons.

use std::fmt::Write as _;
use std::path::PathBuf;

use crate::error::{Error, Result};
use crate::logs::{self, Line, Step};

/// Reads `files` and gives the request's way, a line each, with times from its first line on.
pub fn run(request: &str, files: &[PathBuf]) -> Result<String> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|source| Error::Failed(format!("{}: {source}; name a file of log lines", file.display())))?;
        lines.extend(text.lines().filter_map(Line::parse));
    }
    let steps = logs::way(&lines, request);
    let Some(first) = steps.iter().find(|step| step.own).map(|step| step.line.at_ms) else {
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

/// Lines that are not the request's own stand in brackets.
fn write_step(text: &mut String, step: &Step, first_ms: u64) {
    let Step { line, own } = step;
    let after = i128::from(line.at_ms) - i128::from(first_ms);
    let (open, close) = if *own { ("", "") } else { ("(", ")") };
    let written = writeln!(text, "{after:>+7} ms {} {open}{}{close}", line.instance, line.text);
    debug_assert!(written.is_ok(), "writing to a string does not fail");
}
