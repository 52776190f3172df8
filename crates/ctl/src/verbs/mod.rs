//! The verbs. Each returns the text for standard output.

pub mod accounts;
mod audit;
mod check;
mod drain;
mod explain;
mod report;
mod show;
mod target;

use std::time::Duration;

use config::policy::Policy;
use store::Client;

use crate::change::{self, Outcome};
use crate::cli::{Against, Command, Verb};
use crate::error::{Error, Result};

/// Maximum time for one call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `command` and returns its output.
pub fn run(command: &Command) -> Result<String> {
    let store = Client::new(&command.store, STORE_TIMEOUT).map_err(|error| Error::Failed(error.to_string()))?;
    let id = format!("{:016x}", fastrand::u64(..));
    match &command.verb {
        Verb::Help => Ok(crate::cli::USAGE.to_owned()),
        Verb::Version => Ok(format!("hemlockctl {}\n", env!("CARGO_PKG_VERSION"))),
        Verb::Show => show::run(command),
        Verb::ShowAccounts => accounts::run(command),
        Verb::Policy => Ok(change::read(&store)?.0.to_text()?),
        Verb::Report(html) => report::run(command, html.as_deref()),
        Verb::Check(path, against) => {
            let other = match against {
                Against::Nothing => None,
                Against::File(path) => Some(Policy::read(path)?),
                Against::InForce => Some(change::read(&store)?.0),
            };
            check::run(path, other.as_ref(), command.json)
        }
        Verb::Apply(path, expect) => {
            let policy = Policy::read(path)?;
            let expected = match expect {
                Some(expect) => *expect,
                None => change::read(&store)?.1,
            };
            acknowledgement(command, &id, &change::replace(&store, &id, policy, expected)?)
        }
        Verb::SetTarget(class, key, value) => {
            let outcome = change::edit(&store, &id, |policy| target::set(policy, class, key, value))?;
            acknowledgement(command, &id, &outcome)
        }
        Verb::Drain(scope, name) => {
            let outcome = change::edit(&store, &id, |policy| drain::start(policy, *scope, name))?;
            acknowledgement(command, &id, &outcome)
        }
        Verb::Undrain(scope, name) => {
            let outcome = change::edit(&store, &id, |policy| drain::end(policy, *scope, name))?;
            acknowledgement(command, &id, &outcome)
        }
        Verb::Explain(request, files) => explain::run(request, files),
        Verb::Audit(audit) => audit::run(audit),
        Verb::Settle(id) => settle(command, &store, id),
    }
}

/// Returns the output for a change that is in effect: the revision that contains it and, as JSON, also its id.
fn acknowledgement(command: &Command, id: &str, outcome: &Outcome) -> Result<String> {
    if command.json {
        return Ok(format!("{{\"change\":\"{id}\",\"revision\":{}}}\n", outcome.revision()));
    }
    Ok(match outcome {
        Outcome::Applied(revision) => format!("done: revision {revision}\n"),
        Outcome::Included(revision) => format!("done: part of revision {revision}, which others changed since\n"),
        Outcome::Unchanged(revision) => format!("no change: revision {revision} says so already\n"),
    })
}

/// Returns the output for the change `id` if it took effect, an error if it did not.
fn settle(command: &Command, store: &Client, id: &str) -> Result<String> {
    let (policy, revision) = change::read(store)?;
    if policy.changes.iter().any(|change| change == id) {
        return acknowledgement(command, id, &Outcome::Included(revision));
    }
    Err(Error::Failed(format!(
        "the change {id} is not among the latest of revision {revision}: it took no effect, or the store lost it when it was restored"
    )))
}
