//! The report as one HTML page with plots, without anything from elsewhere.

use std::fmt::Write as _;

use crate::report::{Line, Report, WINDOWS_S};

/// Width of a plot, in pixels.
const WIDTH: f64 = 480.0;
/// Height of a plot, in pixels.
const HEIGHT: f64 = 80.0;

const STYLE: &str = "body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}\
td,th{padding:.3em .8em;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child{text-align:left}\
.alert{color:#b00020;font-weight:bold}svg{background:#f7f7f7}";

/// The page of `report`.
pub fn render(report: &Report) -> String {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>hemlockcross: service-level burn</title>\
<style>{STYLE}</style><h1>Service-level burn</h1><p>A burn rate of 1 uses up the error budget exactly over \
30 days.</p><table><tr><th>class</th><th>region</th><th>target</th><th>answers</th><th>5m</th><th>30m</th>\
<th>1h</th><th>6h</th><th>3d</th><th>alerts</th></tr>"
    );
    for line in &report.lines {
        page.push_str(&row(line));
    }
    page.push_str("</table>");
    for line in &report.lines {
        page.push_str(&plot(line));
    }
    page.push_str("</html>\n");
    page
}

fn row(line: &Line) -> String {
    let total = line.windows.last().map_or(0, |count| count.total);
    let rates: String = WINDOWS_S.iter().map(|seconds| format!("<td>{:.2}</td>", line.burn_rate(*seconds))).collect();
    let alerts = line.alerts().join(" ");
    let target = line.target_share * 100.0;
    let (class, region) = (escape(&line.class), escape(&line.region));
    format!(
        "<tr><td>{class}</td><td>{region}</td><td>{target:.2}%</td><td>{total}</td>{rates}\
<td class=\"alert\">{alerts}</td></tr>"
    )
}

/// Bad answers by minute over the last hour, as bars; the line marks the budget.
fn plot(line: &Line) -> String {
    let minutes = line.minutes.len().max(1) as f64;
    let budget = 1.0 - line.target_share;
    let worst = line.minutes.iter().map(|count| count.bad_ratio()).fold(budget * 2.0, f64::max);
    let bar = WIDTH / minutes;
    let mut bars = String::new();
    for (age, count) in line.minutes.iter().enumerate() {
        let height = HEIGHT * count.bad_ratio() / worst;
        let left = WIDTH - bar * (age as f64 + 1.0);
        let top = HEIGHT - height;
        let written = write!(
            bars,
            "<rect x=\"{left:.1}\" y=\"{top:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"#b00020\"/>",
            bar * 0.8
        );
        debug_assert!(written.is_ok(), "writing to text does not fail");
    }
    let mark = HEIGHT - HEIGHT * budget / worst;
    let (class, region) = (escape(&line.class), escape(&line.region));
    format!(
        "<h2>{class}, {region}</h2><svg width=\"{WIDTH}\" height=\"{HEIGHT}\" role=\"img\" \
aria-label=\"part of bad answers by minute\">{bars}<line x1=\"0\" x2=\"{WIDTH}\" y1=\"{mark:.1}\" y2=\"{mark:.1}\" \
stroke=\"#333\" stroke-dasharray=\"4\"/></svg><p>Part of bad answers by minute, last hour; highest mark \
{:.3}%.</p>",
        worst * 100.0
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
