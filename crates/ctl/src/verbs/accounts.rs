//! `show accounts`: the client accounts over all daemons.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::cli::Command;
use crate::error::{Error, Result};
use crate::fleet;

/// An account, at one daemon or in the sum over all of them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Name of the account.
    pub account: String,
    /// Requests per second that it may send over all daemons; zero for no limit.
    pub rate: f64,
    /// Requests that may follow each other at once.
    pub burst: f64,
    /// Share of the quota that is with an allocator; about 1 in sum unless daemons are away.
    pub lent_here: f64,
    /// Tokens in stock.
    pub tokens: u32,
    /// Requests per second.
    pub per_second: f64,
    /// Requests answered by a server.
    pub ok: u64,
    /// Requests refused over the quota.
    pub over_quota: u64,
    /// Requests refused for other reasons.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// Queries every daemon in the list and returns the sums.
pub fn run(command: &Command) -> Result<String> {
    let agent = fleet::agent();
    let entries = fleet::entries(&agent, &command.list)?;
    let answers = fleet::get_all::<Vec<Line>>(&agent, &entries, "/accounts");
    let silent: Vec<&str> =
        answers.iter().filter(|(_, answer)| answer.is_err()).map(|(name, _)| name.as_str()).collect();
    let lines = sum(answers.iter().filter_map(|(_, answer)| answer.as_ref().ok()).flatten());
    if command.json {
        let text = serde_json::to_string_pretty(&lines).map_err(|error| Error::Failed(error.to_string()))?;
        return Ok(text + "\n");
    }
    let mut text = table(&lines);
    if !silent.is_empty() {
        text.push_str(&format!("not counted, no answer: {}\n", silent.join(", ")));
    }
    Ok(text)
}

/// Sums up the lines of all daemons, by account. Daemons may know different limits while a change spreads; the lowest is shown.
pub fn sum<'a>(lines: impl Iterator<Item = &'a Line>) -> Vec<Line> {
    let mut sums: BTreeMap<&str, Line> = BTreeMap::new();
    for line in lines {
        let sum = sums.entry(&line.account).or_insert_with(|| Line {
            account: line.account.clone(),
            rate: line.rate,
            burst: line.burst,
            ..Line::default()
        });
        sum.rate = sum.rate.min(line.rate);
        sum.burst = sum.burst.min(line.burst);
        sum.lent_here += line.lent_here;
        sum.tokens += line.tokens;
        sum.per_second += line.per_second;
        sum.ok += line.ok;
        sum.over_quota += line.over_quota;
        sum.refused += line.refused;
        sum.failed += line.failed;
    }
    sums.into_values().collect()
}

/// Returns the lines as a table.
pub fn table(lines: &[Line]) -> String {
    let mut text = format!(
        "{:<20} {:>9} {:>9} {:>7} {:>9} {:>10} {:>10} {:>9} {:>8} {:>7}\n",
        "account", "rate", "burst", "lent", "now/s", "served", "over quota", "refused", "failed", "share"
    );
    for line in lines {
        let asked = line.ok + line.over_quota + line.refused + line.failed;
        let share = if asked == 0 { "-".to_owned() } else { format!("{:.3}", line.ok as f64 / asked as f64) };
        let rate = if line.rate > 0.0 { line.rate.to_string() } else { "-".to_owned() };
        text.push_str(&format!(
            "{:<20} {rate:>9} {:>9} {:>7.2} {:>9.1} {:>10} {:>10} {:>9} {:>8} {share:>7}\n",
            line.account,
            line.burst,
            line.lent_here,
            line.per_second,
            line.ok,
            line.over_quota,
            line.refused,
            line.failed
        ));
    }
    text
}
