//! `audit`: judges the refusals in the daemons' logs that tell callers that their requests are wrong, the regions that requests
//! were sent to, and look-ups that name other regions.

use std::collections::BTreeMap;
use std::fmt::{Display, Write as _};
use std::fs::File;
use std::io::{BufRead as _, BufReader, Read, stdin};
use std::path::Path;

use crate::audit::lag::Span;
use crate::audit::regions::{Attempt, LookUp, PolicyAge, Receiver};
use crate::audit::report::{Misplaced, Report, Unjudged};
use crate::audit::{Rejection, Verdict};
use crate::cli::Audit;
use crate::error::{Error, Result};
use crate::logs::{Clock, Line};

/// The starts of the lines that an audit needs.
const SENTENCES: [&str; 5] = ["life: ", "policy: ", "callers: ", "dispatch: sent", "relay: passed on"];
/// Maximum number of faults of each kind that are printed.
const MAX_PRINTED: usize = 50;

/// Reads the files and returns the numbers of rejections, requests and look-ups with each verdict, and the faults; an error if
/// there is a fault, or if the routes or the regions of a policy are not known or not the same everywhere.
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
    let is_clean = faults.is_empty()
        && report.misplaced.is_empty()
        && report.aged.is_empty()
        && report.misdated.is_empty()
        && !report.look_ups.iter().any(LookUp::is_fault)
        && report.incomplete.is_empty()
        && report.different.is_empty();
    if is_clean { Ok(text) } else { Err(Error::Warnings(text)) }
}

/// Appends the lines of a file that an audit needs; those that are not UTF-8 are read as far as they are.
fn read(path: &Path, clock: &mut Clock, lines: &mut Vec<Line>) -> std::io::Result<()> {
    let source: Box<dyn Read> = if path == Path::new("-") { Box::new(stdin()) } else { Box::new(File::open(path)?) };
    for line in BufReader::new(source).split(b'\n') {
        let line = clock.parse(&String::from_utf8_lossy(&line?));
        let is_needed = |line: &Line| {
            SENTENCES.iter().any(|start| line.sentence().starts_with(start)) || line.field("lines_left_out").is_some()
        };
        lines.extend(line.filter(is_needed));
    }
    Ok(())
}

fn render(report: &Report, faults: &[&(Rejection, Verdict)]) -> String {
    let mut text = format!(
        "{} versions of the policy, {} rejections: {}; {}; {}; {}; {}; {}; {} log lines left out\n",
        report.versions,
        report.judged.len(),
        joined(report.counts()),
        sent(report, Receiver::Server, &format!("attempts and {} that are in no log", report.unseen)),
        sent(report, Receiver::Instance, "passed on"),
        look_ups(report),
        aged_counts(report),
        span_counts(report),
        report.left_out
    );
    let incomplete =
        report.incomplete.iter().map(|version| format!("version {version:?}: its routes or regions are in no log"));
    let different =
        report.different.iter().map(|version| format!("version {version:?}: two instances read it differently"));
    add(&mut text, &incomplete.chain(different).collect::<Vec<_>>());
    add(&mut text, &faults.iter().map(|fault| rejected(fault)).collect::<Vec<_>>());
    add(&mut text, &report.misplaced.iter().map(misplaced).collect::<Vec<_>>());
    let ages = [("aged", &report.aged), ("misdated", &report.misdated)];
    for (name, attempts) in ages {
        let lines = attempts.iter().map(|attempt| format!("{name}: {}", described(attempt)));
        add(&mut text, &lines.collect::<Vec<_>>());
    }
    add(&mut text, &report.look_ups.iter().filter(|look_up| look_up.is_fault()).map(look_up).collect::<Vec<_>>());
    add(&mut text, &report.spans.iter().map(span).collect::<Vec<_>>());
    text
}

/// Appends lines, the first [`MAX_PRINTED`] of them.
fn add(text: &mut String, lines: &[String]) {
    let more = (lines.len() > MAX_PRINTED).then(|| format!("and {} more", lines.len() - MAX_PRINTED));
    for line in lines.iter().take(MAX_PRINTED).chain(&more) {
        let written = writeln!(text, "{line}");
        debug_assert!(written.is_ok(), "writing to a string does not fail");
    }
}

/// Formats numbers with their names.
fn joined<T: Display>(counts: impl IntoIterator<Item = (T, usize)>) -> String {
    counts.into_iter().map(|(name, count)| format!("{name}={count}")).collect::<Vec<_>>().join(" ")
}

/// Formats the numbers of requests that were sent to servers or to instances, with the latest that was misplaced.
fn sent(report: &Report, receiver: Receiver, name: &str) -> String {
    let counts: Vec<_> = report.sent.iter().filter(|((other, _), _)| *other == receiver).collect();
    let total: usize = counts.iter().map(|(_, count)| **count).sum();
    let of_receiver = report.misplaced.iter().filter(|misplaced| misplaced.attempt.receiver == receiver);
    let latest = of_receiver.map(|misplaced| misplaced.late_ms).max();
    let latest = latest.map(|late_ms| format!(" latest_ms={late_ms}")).unwrap_or_default();
    format!("{total} {name}: {}{latest}", joined(counts.into_iter().map(|((_, verdict), count)| (verdict, *count))))
}

/// Formats the numbers of look-ups that name other regions.
fn look_ups(report: &Report) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for look_up in &report.look_ups {
        *counts.entry(look_up.reason()).or_default() += 1;
    }
    format!("{} look-ups that name other regions: {}", report.look_ups.len(), joined(counts))
}

fn rejected((rejection, verdict): &(Rejection, Verdict)) -> String {
    let Rejection { at_ms, instance, request, address, status, kind, host, path, .. } = rejection;
    format!(
        "{verdict}: {at_ms} {instance} request={request} address={address} status={status} kind={kind} host={host} path={path}"
    )
}

fn misplaced(misplaced: &Misplaced) -> String {
    let Misplaced { attempt, verdict, late_ms, late_anywhere_ms } = misplaced;
    format!("{verdict}: {} late_ms={late_ms} late_anywhere_ms={late_anywhere_ms}", described(attempt))
}

/// Formats a request that was sent.
fn described(attempt: &Attempt) -> String {
    let Attempt { at_ms, instance, request, region, class, account, version, policy_age, delay_ms, .. } = attempt;
    let receiver = if attempt.receiver == Receiver::Server { "sent" } else { "passed-on" };
    let allowed = attempt.allowed.as_ref().map_or_else(|| "?".to_owned(), ToString::to_string);
    format!(
        "{at_ms} {instance} {receiver} request={request} region={region} class={class} account={account} version={version:?} allowed={allowed} policy_ms={policy_age} delay_ms={delay_ms}"
    )
}

/// Formats the number of requests that went by the regions of a policy that is too old.
fn aged_counts(report: &Report) -> String {
    let unknown = report.aged.iter().filter(|attempt| attempt.policy_age == PolicyAge::Unknown).count();
    format!(
        "{} with regions by a policy too old, {unknown} of them of unknown age, {} by one wrongly taken for recent",
        report.aged.len(),
        report.misdated.len()
    )
}

/// Formats the number of spans in which instances went by older versions, and of what they sent in them.
fn span_counts(report: &Report) -> String {
    let attempts: usize = report.spans.iter().map(|span| span.attempts).sum();
    let with_regions: usize = report.spans.iter().map(|span| span.with_regions).sum();
    let longest = report.spans.first().map(|span| format!(" longest_ms={}", span.length_ms())).unwrap_or_default();
    let Unjudged { no_route, unseen } = report.in_spans;
    format!(
        "{} spans by an older version: attempts={attempts} with-regions={with_regions} no-route={no_route} in-no-log={unseen}{longest}",
        report.spans.len()
    )
}

fn span(span: &Span) -> String {
    let Span { instance, from_ms, to_ms, attempts, with_regions } = span;
    let length_ms = span.length_ms();
    format!("span: {from_ms} to {to_ms} {instance} ms={length_ms} attempts={attempts} with-regions={with_regions}")
}

fn look_up(look_up: &LookUp) -> String {
    let LookUp { at_ms, instance, region, standing: [good, doubtful, out], .. } = look_up;
    format!("look-up: {at_ms} {instance} region={region} good={good} doubtful={doubtful} out={out}")
}
