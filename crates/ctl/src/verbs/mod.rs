//! What each verb does; the answer is text for standard output.

mod check;
mod drain;
mod explain;
mod report;
mod show;
mod target;

use std::time::Duration;

use config::policy::Policy;
use store::Client;

use crate::change::{self, Done};
use crate::cli::{Command, Verb};
use crate::error::{Error, Result};

/// Longest time for one call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `command`.
pub fn run(command: &Command) -> Result<String> {
    let store = Client::new(&command.store, STORE_TIMEOUT).map_err(|error| Error::Failed(error.to_string()))?;
    let id = format!("{:016x}", fastrand::u64(..));
    match &command.verb {
        Verb::Help => Ok(crate::cli::USAGE.to_owned()),
        Verb::Version => Ok(format!("hemlockctl {}\n", env!("CARGO_PKG_VERSION"))),
        Verb::Show => show::run(command),
        Verb::Policy => Ok(change::read(&store)?.0.to_text()?),
        Verb::Report(html) => report::run(command, html.as_deref()),
        Verb::Check(path) => check::run(path),
        Verb::Apply(path, expect) => {
            let policy = Policy::read(path)?;
            let expected = match expect {
                Some(expect) => *expect,
                None => change::read(&store)?.1,
            };
            said(command, &id, &change::replace(&store, &id, policy, expected)?)
        }
        Verb::SetTarget(class, key, value) => {
            let done = change::edit(&store, &id, |policy| target::set(policy, class, key, value))?;
            said(command, &id, &done)
        }
        Verb::Drain(scope, name) => {
            let done = change::edit(&store, &id, |policy| drain::announce(policy, *scope, name))?;
            said(command, &id, &done)
        }
        Verb::Undrain(scope, name) => {
            let done = change::edit(&store, &id, |policy| drain::end(policy, *scope, name))?;
            said(command, &id, &done)
        }
        Verb::Explain(request, files) => explain::run(request, files),
        Verb::Settle(id) => settle(command, &store, id),
    }
}

/// Says which revision a change became.
fn said(command: &Command, id: &str, done: &Done) -> Result<String> {
    if command.json {
        return Ok(format!("{{\"change\":\"{id}\",\"revision\":{}}}\n", done.revision()));
    }
    Ok(match done {
        Done::Revision(revision) => format!("done: revision {revision}\n"),
        Done::Before(revision) => format!("done: part of revision {revision}, which others changed since\n"),
        Done::Already(revision) => format!("no change: revision {revision} says so already\n"),
    })
}

/// Says whether the change `id` took effect.
fn settle(command: &Command, store: &Client, id: &str) -> Result<String> {
    let (policy, revision) = change::read(store)?;
    if policy.changes.iter().any(|change| change == id) {
        return said(command, id, &Done::Before(revision));
    }
    Err(Error::Failed(format!("the change {id} is not among the latest of revision {revision}: it took no effect")))
}
