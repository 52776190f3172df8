//! The report: burn rates over several windows, alerts, and the merge of many daemons' counts.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use base::time::Time;
use serde::{Deserialize, Serialize};

use crate::series::{Count, Series};

/// Windows of the report, in seconds: 5 minutes, 30 minutes, 1 hour, 6 hours, 3 days.
pub const WINDOWS_S: [u64; 5] = [300, 1_800, 3_600, 21_600, 259_200];

/// An alert fires when both windows burn faster than the threshold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rule {
    /// Name of the alert.
    pub name: &'static str,
    /// Long window, in seconds.
    pub long_s: u64,
    /// Short window, in seconds.
    pub short_s: u64,
    /// Burn rate: 1 uses up the budget exactly over its period.
    pub rate: f64,
}

/// Multi-window, multi-burn-rate alerts for a budget of thirty days.
pub const RULES: [Rule; 3] = [
    Rule { name: "page-fast", long_s: 3_600, short_s: 300, rate: 14.4 },
    Rule { name: "page-slow", long_s: 21_600, short_s: 1_800, rate: 6.0 },
    Rule { name: "ticket", long_s: 259_200, short_s: 21_600, rate: 1.0 },
];

/// Counts of one class in one region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The class.
    pub class: String,
    /// The region of the entry instances that answered.
    pub region: String,
    /// Share of answers that must be good.
    pub target_share: f64,
    /// Counts for each of [`WINDOWS_S`].
    pub windows: Vec<Count>,
    /// Counts of the last hour by minute, newest first.
    pub minutes: Vec<Count>,
}

impl Line {
    /// The line of one daemon's series.
    pub fn new(class: &str, region: &str, target_share: f64, series: &mut Series, now: Time) -> Self {
        let windows = WINDOWS_S.iter().map(|seconds| series.window(*seconds, now)).collect();
        let minutes = series.minutes(now);
        Self { class: class.to_owned(), region: region.to_owned(), target_share, windows, minutes }
    }

    /// Burn rate over a window; 1 uses up the budget exactly over its period.
    pub fn burn_rate(&self, seconds: u64) -> f64 {
        let index = WINDOWS_S.iter().position(|window| *window == seconds);
        let count = index.and_then(|index| self.windows.get(index)).copied().unwrap_or_default();
        count.bad_ratio() / (1.0 - self.target_share).max(f64::EPSILON)
    }

    /// Names of the alerts that fire.
    pub fn alerts(&self) -> Vec<&'static str> {
        let fires = |rule: &&Rule| self.burn_rate(rule.long_s) > rule.rate && self.burn_rate(rule.short_s) > rule.rate;
        RULES.iter().filter(fires).map(|rule| rule.name).collect()
    }

    fn add(&mut self, other: &Self) {
        for (sum, count) in self.windows.iter_mut().zip(&other.windows) {
            sum.add(*count);
        }
        for (sum, count) in self.minutes.iter_mut().zip(&other.minutes) {
            sum.add(*count);
        }
    }
}

/// Lines of all classes and regions.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Report {
    /// The lines, by class and region.
    pub lines: Vec<Line>,
}

impl Report {
    /// Merges the reports of many daemons.
    pub fn merge<'a>(reports: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut merged: BTreeMap<(String, String), Line> = BTreeMap::new();
        for line in reports.into_iter().flat_map(|report| &report.lines) {
            let key = (line.class.clone(), line.region.clone());
            match merged.get_mut(&key) {
                Some(sum) => sum.add(line),
                None => drop(merged.insert(key, line.clone())),
            }
        }
        Self { lines: merged.into_values().collect() }
    }

    /// The report as a table.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{:<12} {:<22} {:>8} {:>10} {:>7} {:>7} {:>7} {:>7} {:>7}  {}\n",
            "class", "region", "target", "answers", "5m", "30m", "1h", "6h", "3d", "alerts"
        );
        for line in &self.lines {
            let total = line.windows.last().map_or(0, |count| count.total);
            let rates: Vec<String> =
                WINDOWS_S.iter().map(|seconds| format!("{:>7.2}", line.burn_rate(*seconds))).collect();
            let alerts = line.alerts().join(",");
            let alerts = if alerts.is_empty() { "-" } else { &alerts };
            let target = line.target_share * 100.0;
            let row = writeln!(
                text,
                "{:<12} {:<22} {target:>7.2}% {total:>10} {}  {alerts}",
                line.class,
                line.region,
                rates.join(" ")
            );
            debug_assert!(row.is_ok(), "writing to text does not fail");
        }
        text
    }
}
