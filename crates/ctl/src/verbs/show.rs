//! `show`: the state of every daemon.

use std::collections::BTreeSet;

use ::fleet::replica::Version;
use serde::{Deserialize, Serialize};

use crate::cli::Command;
use crate::error::{Error, Result};
use crate::fleet;

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Ready {
    ready: bool,
    reasons: Vec<String>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Member {
    state: String,
}

/// The fields of a daemon's answer at `/decisions` that `show` uses.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Decisions {
    region: String,
    domain: String,
    #[serde(flatten)]
    version: Version,
    ready: Ready,
    store_silent_s: f64,
    grant_share: f64,
    open: usize,
    members: Vec<Member>,
    /// What is not used of the policy and of the entries of backend servers, with the reasons.
    #[serde(default)]
    passed_over: Vec<String>,
}

#[derive(Debug, Serialize)]
struct Daemon {
    instance: String,
    /// `None` if the daemon did not answer.
    answer: Option<Decisions>,
    /// Why the daemon did not answer; `None` if it did.
    silent: Option<String>,
}

#[derive(Debug, Serialize)]
struct Summary {
    /// Revision of the newest policy in force; a restored store may number it lower than older ones.
    newest: u64,
    /// Revision of the oldest policy in force.
    oldest: u64,
    behind: Vec<String>,
    silent: Vec<String>,
    passed_over: BTreeSet<String>,
    daemons: Vec<Daemon>,
}

/// Queries every daemon in the list and returns a summary.
pub fn run(command: &Command) -> Result<String> {
    let agent = fleet::agent();
    let entries = fleet::entries(&agent, &command.list)?;
    let answers = fleet::get_all::<Decisions>(&agent, &entries, "/decisions");
    let daemons = answers.into_iter().map(|(instance, answer)| match answer {
        Ok(decisions) => Daemon { instance, answer: Some(decisions), silent: None },
        Err(reason) => Daemon { instance, answer: None, silent: Some(reason) },
    });
    let summary = summarize(daemons.collect());
    if command.json {
        let text = serde_json::to_string_pretty(&summary).map_err(|error| Error::Failed(error.to_string()))?;
        return Ok(text + "\n");
    }
    Ok(table(&summary))
}

fn summarize(daemons: Vec<Daemon>) -> Summary {
    let versions = daemons.iter().filter_map(|daemon| daemon.answer.as_ref().map(|answer| answer.version));
    let newest = versions.clone().max().unwrap_or_default();
    let oldest = versions.min().unwrap_or_default();
    let names = |keep: &dyn Fn(&Daemon) -> bool| -> Vec<String> {
        daemons.iter().filter(|daemon| keep(daemon)).map(|daemon| daemon.instance.clone()).collect()
    };
    let behind = names(&|daemon| daemon.answer.as_ref().is_some_and(|answer| answer.version < newest));
    let silent = names(&|daemon| daemon.silent.is_some());
    let answers = daemons.iter().filter_map(|daemon| daemon.answer.as_ref());
    let passed_over = answers.flat_map(|answer| answer.passed_over.clone()).collect();
    let (newest, oldest) = (newest.stored.revision, oldest.stored.revision);
    Summary { newest, oldest, behind, silent, passed_over, daemons }
}

fn table(summary: &Summary) -> String {
    let mut text = format!(
        "{:<16} {:<18} {:<14} {:>9} {:<6} {:>7} {:>7} {:>6} {:>8}  {}\n",
        "instance", "region", "domain", "revision", "ready", "members", "grants", "open", "store", "note"
    );
    for daemon in &summary.daemons {
        text.push_str(&row(daemon));
    }
    let Summary { newest, oldest, behind, silent, passed_over, .. } = summary;
    text.push_str(&format!("revision: newest {newest}, oldest {oldest}, behind {}\n", behind.len()));
    if !behind.is_empty() {
        text.push_str(&format!("behind: {}\n", behind.join(", ")));
    }
    if !silent.is_empty() {
        text.push_str(&format!("no answer: {}\n", silent.join(", ")));
    }
    passed_over.iter().for_each(|reason| text.push_str(&format!("not used: {reason}\n")));
    text
}

fn row(daemon: &Daemon) -> String {
    let Some(answer) = &daemon.answer else {
        return format!("{:<16} no answer: {}\n", daemon.instance, daemon.silent.as_deref().unwrap_or_default());
    };
    let live = answer.members.iter().filter(|member| matches!(member.state.as_str(), "alive" | "suspect")).count();
    let ready = if answer.ready.ready { "yes" } else { "no" };
    format!(
        "{:<16} {:<18} {:<14} {:>9} {ready:<6} {live:>7} {:>6.1}% {:>6} {:>7.1}s  {}\n",
        daemon.instance,
        answer.region,
        answer.domain,
        answer.version.stored.revision,
        answer.grant_share * 100.0,
        answer.open,
        answer.store_silent_s,
        answer.ready.reasons.join("; ")
    )
}
