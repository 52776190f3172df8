//! Formats outcomes side by side as text, CSV and SVG.

use std::fmt::Write as _;

use crate::outcome::Outcome;

/// The outcome of one case under one policy.
#[derive(Debug)]
pub struct Row {
    /// Name of the deployment.
    pub site: String,
    /// Name of the case.
    pub case: String,
    /// Name of the dispatch policy.
    pub policy: String,
    /// Results of the replay.
    pub outcome: Outcome,
    /// Name of the short idempotent class.
    pub short: String,
    /// Name of the waiting class.
    pub bulk: String,
}

const HEADER: [&str; 16] = [
    "site", "case", "policy", "good", "p50", "p99", "p99.9", "wait99", "behind", "refused", "unknown", "bulk", "extra",
    "link", "foreign", "twice",
];

/// Returns the cells of a row in the order of the header, with times in milliseconds and ratios in per cent; empty if
/// the deployment has no short class.
fn cells(row: &Row) -> Vec<String> {
    let outcome = &row.outcome;
    let Some(short) = outcome.classes.get(&row.short) else {
        return Vec::new();
    };
    let per_cent = |ratio: f64| format!("{:.2}", ratio * 100.0);
    let sum = |count: fn(&crate::outcome::Class) -> u64| outcome.classes.values().map(count).sum::<u64>();
    let bulk = outcome.classes.get(&row.bulk).map_or(0.0, |bulk| bulk.complete as f64 / bulk.sent.max(1) as f64);
    vec![
        row.site.clone(),
        row.case.clone(),
        row.policy.clone(),
        per_cent(short.good_ratio()),
        format!("{:.1}", short.latency_ms(0.5)),
        format!("{:.1}", short.latency_ms(0.99)),
        format!("{:.1}", short.latency_ms(0.999)),
        format!("{:.1}", short.wait.value_at_quantile(0.99) as f64 / 1_000.0),
        format!("{:.1}", short.behind_bulk_us as f64 / 1_000.0),
        sum(|class| class.not_run).to_string(),
        sum(|class| class.unknown).to_string(),
        per_cent(bulk),
        per_cent(outcome.extra_attempt_ratio()),
        per_cent(outcome.max_link_usage),
        per_cent(outcome.max_foreign_usage),
        outcome.duplicate_runs.to_string(),
    ]
}

/// Formats the rows as an aligned table.
pub fn text(rows: &[Row]) -> String {
    let mut text = line(&HEADER.map(str::to_owned));
    for row in rows {
        text.push_str(&line(&cells(row)));
    }
    text
}

/// Formats the rows as comma-separated values, with three more columns than the table.
pub fn csv(rows: &[Row]) -> String {
    let mut text = format!("{},headroom,drain_ms,crashed\n", HEADER.join(","));
    for row in rows {
        let outcome = &row.outcome;
        let extra_columns = format!("{:.3},{:.0},{}", outcome.min_headroom, outcome.drain_ms, outcome.crashes);
        text.push_str(&format!("{},{extra_columns}\n", cells(row).join(",")));
    }
    text
}

fn line(cells: &[String]) -> String {
    let mut line = String::new();
    for (index, cell) in cells.iter().enumerate() {
        let written = match index {
            0..=2 => write!(line, "{cell:<12}"),
            _ => write!(line, "{cell:>9}"),
        };
        debug_assert!(written.is_ok(), "writing to text does not fail");
    }
    line.push('\n');
    line
}

/// Draws the p99 of the short class as a bar for each case and policy of one deployment; the lengths are logarithmic.
pub fn svg(rows: &[Row], site: &str) -> String {
    const BAR: f64 = 14.0;
    const LEFT: f64 = 220.0;
    const WIDTH: f64 = 500.0;
    const SCALE_MS: f64 = 1_000.0;
    let rows: Vec<&Row> = rows.iter().filter(|row| row.site == site).collect();
    let mut bars = String::new();
    for (index, row) in rows.iter().enumerate() {
        let p99 = row.outcome.classes.get(&row.short).map_or(0.0, |class| class.latency_ms(0.99));
        let length = WIDTH * ((1.0 + p99).ln() / (1.0 + SCALE_MS).ln()).min(1.0);
        let top = BAR * index as f64;
        let colour = if row.policy == "ours" { "#1b6e3c" } else { "#999" };
        let written = write!(
            bars,
            "<text x=\"0\" y=\"{:.0}\">{} {}</text><rect x=\"{LEFT}\" y=\"{:.0}\" width=\"{length:.0}\" height=\"{}\" \
fill=\"{colour}\"/><text x=\"{:.0}\" y=\"{:.0}\">{p99:.0} ms</text>",
            top + 11.0,
            row.case,
            row.policy,
            top + 1.0,
            BAR - 2.0,
            LEFT + length + 4.0,
            top + 11.0
        );
        debug_assert!(written.is_ok(), "writing to text does not fail");
    }
    format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"800\" height=\"{:.0}\" font-family=\"sans-serif\" \
font-size=\"10\">{bars}</svg>\n",
        BAR * rows.len() as f64
    )
}
