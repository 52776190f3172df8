//! `audit`: judges the refusals in the daemons' logs that tell callers that their requests are wrong.

use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead as _, BufReader, Read, stdin};
use std::path::Path;

use crate::audit::report::Report;
use crate::audit::{Rejection, Verdict};
use crate::cli::Audit;
use crate::error::{Error, Result};
use crate::logs::{Clock, Line};

/// Components whose lines an audit needs.
const COMPONENTS: [&str; 2] = ["policy", "callers"];
/// Maximum number of faults that are printed.
const MAX_PRINTED: usize = 50;

/// Reads the files and returns the number of rejections with each verdict, and the faults; an error if there is a fault, or if
/// the routes of a policy are not known or not the same everywhere.
pub fn run(audit: &Audit) -> Result<String> {
    let mut lines = Vec::new();
    let mut clock = Clock::default();
    for file in &audit.files {
        read(file, &mut clock, &mut lines).map_err(|source| {
            Error::Failed(format!("{}: {source}; name a readable file of log lines", file.display()))
        })?;
    }
    let report = Report::new(lines.iter(), audit.apply);
    if report.versions == 0 {
        return Err(Error::Failed(format!(
            "no line of {} tells the routes of a policy; give the logs of all daemons from their start, with the component `policy` at level info",
            lines.len()
        )));
    }
    let is_fault = |(_, verdict): &&(Rejection, Verdict)| !(audit.any_callers && *verdict == Verdict::Form);
    let faults: Vec<&(Rejection, Verdict)> = report.faults().filter(is_fault).collect();
    let text = render(&report, &faults);
    let is_clean = faults.is_empty() && report.incomplete.is_empty() && report.different.is_empty();
    if is_clean { Ok(text) } else { Err(Error::Warnings(text)) }
}

/// Appends the lines of a file that an audit needs; those that are not UTF-8 are read as far as they are.
fn read(path: &Path, clock: &mut Clock, lines: &mut Vec<Line>) -> std::io::Result<()> {
    let source: Box<dyn Read> = if path == Path::new("-") { Box::new(stdin()) } else { Box::new(File::open(path)?) };
    for line in BufReader::new(source).split(b'\n') {
        let line = clock.parse(&String::from_utf8_lossy(&line?));
        lines.extend(
            line.filter(|line| COMPONENTS.contains(&line.component()) || line.field("lines_left_out").is_some()),
        );
    }
    Ok(())
}

fn render(report: &Report, faults: &[&(Rejection, Verdict)]) -> String {
    let counts: Vec<String> = report.counts().iter().map(|(verdict, count)| format!("{verdict}={count}")).collect();
    let mut text = format!(
        "{} versions of the policy, {} rejections: {}; {} log lines left out\n",
        report.versions,
        report.judged.len(),
        counts.join(" "),
        report.left_out
    );
    let mut add = |line: String| {
        let written = writeln!(text, "{line}");
        debug_assert!(written.is_ok(), "writing to a string does not fail");
    };
    for version in &report.incomplete {
        add(format!("version {version:?}: its routes are in no log"));
    }
    for version in &report.different {
        add(format!("version {version:?}: two instances read it with different routes"));
    }
    for (rejection, verdict) in faults.iter().take(MAX_PRINTED) {
        let Rejection { at_ms, instance, request, address, status, kind, host, path, .. } = rejection;
        add(format!(
            "{verdict}: {at_ms} {instance} request={request} address={address} status={status} kind={kind} host={host} path={path}"
        ));
    }
    if faults.len() > MAX_PRINTED {
        add(format!("and {} more", faults.len() - MAX_PRINTED));
    }
    text
}
