//! The promises, checked on what callers and backend servers saw.

use std::collections::BTreeMap;

use load::answer::Ending;

use crate::caller::Trace;

/// How often each key was run, over all backend servers, as far as they lived to tell.
pub type Runs = BTreeMap<String, u64>;

/// What was promised and not kept; empty if all was.
pub fn broken(trace: &Trace, runs: &Runs) -> Vec<String> {
    let mut broken = Vec::new();
    for (key, count) in runs.iter().filter(|(key, count)| **count > 1 && trace.contains_key(&format!("order {key}"))) {
        broken.push(format!("order {key} ran {count} times"));
    }
    for (name, endings) in trace {
        if endings.contains(&Ending::Foreign) {
            broken.push(format!("{name}: an answer that is another's or cut short: {endings:?}"));
        }
        let Some(key) = name.strip_prefix("order ") else { continue };
        let refused = endings.iter().all(|ending| matches!(ending, Ending::NotRun | Ending::Refused));
        if refused && runs.contains_key(key) {
            broken.push(format!("{name}: ran, and its caller was told each time that it had not: {endings:?}"));
        }
    }
    broken
}

/// The revision in force at one daemon, seen again and again.
#[derive(Debug, Clone, Default)]
pub struct Revisions {
    newest: BTreeMap<String, (u64, u64)>,
}

impl Revisions {
    /// Takes in that run `life` of `daemon` has `revision` in force; gives what is wrong with that.
    pub fn note(&mut self, daemon: &str, life: u64, revision: u64) -> Option<String> {
        let before = self.newest.insert(daemon.to_owned(), (life, revision));
        let (known, newest) = before.unwrap_or_default();
        (known == life && revision < newest).then(|| format!("{daemon} went back from revision {newest} to {revision}"))
    }
}
