//! What an operator should know of a policy before it is applied: entries that never match or never run, limits that
//! contradict each other, and what differs from the policy in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use config::policy::{Account, Class, Policy};
use serde::Serialize;

/// How much a finding matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// What changes when the policy is applied.
    Change,
    /// The policy can be applied, but a part of it has no effect or not the one that it seems to have.
    Warning,
}

/// A finding about one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// The dotted path of the key.
    pub key: String,
    /// What was found, and what to do about it.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = if self.severity == Severity::Warning { "warning" } else { "change" };
        write!(f, "{severity}: key `{}`: {}", self.key, self.text)
    }
}

fn warning(key: impl Into<String>, text: impl Into<String>) -> Finding {
    Finding { severity: Severity::Warning, key: key.into(), text: text.into() }
}

fn change(key: impl Into<String>, text: impl Into<String>) -> Finding {
    Finding { severity: Severity::Change, key: key.into(), text: text.into() }
}

/// Returns the warnings about a valid policy.
pub fn warnings(policy: &Policy) -> Vec<Finding> {
    let mut found = Vec::new();
    found.extend(policy.classes.iter().flat_map(|(name, class)| class_warnings(policy, name, class)));
    found.extend(hidden_paths(policy));
    found.extend(unused_services(policy));
    found.extend(policy.accounts.iter().flatten().flat_map(|(name, account)| account_warnings(policy, name, account)));
    found
}

fn class_warnings(policy: &Policy, name: &str, class: &Class) -> Vec<Finding> {
    let mut found = Vec::new();
    let key = |field: &str| format!("classes.{name}.{field}");
    let drained = |region: &String| policy.region_drained(region);
    if !class.regions.is_empty() && class.regions.iter().all(drained) {
        found.push(warning(key("regions"), "names drained regions only, so nothing runs; end a drain or add a region"));
    }
    for (service, _) in class.split.iter().filter(|(_, weight)| **weight == 0) {
        found.push(warning(key("split"), format!("gives `{service}` no weight; it gets nothing")));
    }
    let covered = |path: &&String| {
        let prefix = path.strip_suffix('/').unwrap_or(path);
        class
            .paths
            .iter()
            .any(|other| other != *path && prefix.starts_with(&format!("{}/", other.trim_end_matches('/'))))
    };
    for path in class.paths.iter().filter(covered) {
        found.push(warning(key("paths"), format!("`{path}` is covered by another path of the class; remove it")));
    }
    if class.public && policy.accounts.is_none() {
        found.push(warning(key("public"), "has no effect, since the policy has no accounts"));
    }
    found
}

/// Finds paths that two classes claim because their hosts differ in case only, which requests do not tell apart.
fn hidden_paths(policy: &Policy) -> Vec<Finding> {
    let mut claimed: BTreeMap<(String, &String), &String> = BTreeMap::new();
    let mut found = Vec::new();
    for (name, class) in &policy.classes {
        for path in &class.paths {
            if let Some(other) = claimed.insert((class.host.to_ascii_lowercase(), path), name) {
                let text = format!(
                    "`{path}` belongs to class `{name}` too, whose host differs in case only; it never matches"
                );
                found.push(warning(format!("classes.{other}.paths"), text));
            }
        }
    }
    found
}

fn unused_services(policy: &Policy) -> Vec<Finding> {
    let used: BTreeSet<&String> = policy.classes.values().flat_map(Class::services).collect();
    let unused = policy.services.keys().filter(|name| !used.contains(name));
    unused.map(|name| warning(format!("services.{name}"), "is used by no class; its servers get nothing")).collect()
}

fn account_warnings(policy: &Policy, name: &str, account: &Account) -> Vec<Finding> {
    let mut found = Vec::new();
    let key = |field: &str| format!("accounts.{name}.{field}");
    if account.keys.is_empty() {
        found.push(warning(
            key("keys"),
            "is empty, so no caller belongs to the account; add a key or remove the account",
        ));
    }
    if account.closed {
        found.push(warning(key("closed"), "refuses all requests of the account"));
    }
    if account.has_quota() && account.burst < account.rate / 2.0 {
        let text =
            format!("is {}, less than half a second of `rate`; write at least {}", account.burst, account.rate / 2.0);
        found.push(warning(key("burst"), text));
    }
    let meets =
        |class: &Class| class.regions.is_empty() || class.regions.iter().any(|region| account.regions.contains(region));
    for (class, _) in policy.classes.iter().filter(|(_, class)| !account.regions.is_empty() && !meets(class)) {
        found.push(warning(
            key("regions"),
            format!("has no region in common with class `{class}`, which the account cannot use"),
        ));
    }
    found
}

/// Returns what changes when `next` takes the place of `before`, and what that costs.
pub fn changes(before: &Policy, next: &Policy) -> Vec<Finding> {
    let mut found = Vec::new();
    let names: BTreeSet<&String> = before.classes.keys().chain(next.classes.keys()).collect();
    for name in names {
        let key = format!("classes.{name}");
        match (before.classes.get(name), next.classes.get(name)) {
            (Some(old), Some(new)) => found.extend(class_changes(&key, old, new)),
            (Some(_), None) => {
                found.push(change(key, "is removed; its requests get 404 unless another class covers them"));
            }
            (None, Some(_)) => found.push(change(key, "is new; its objects are cold at first")),
            (None, None) => {}
        }
    }
    found.extend(account_changes(before, next));
    for drain in next.drains.iter().filter(|drain| !before.drains.contains(drain)) {
        found.push(change("drains", format!("`{}` is drained from now on", drain.name)));
    }
    for drain in before.drains.iter().filter(|drain| !next.drains.contains(drain)) {
        found.push(change("drains", format!("the drain of `{}` ends", drain.name)));
    }
    if before.regions != next.regions {
        found.push(change("regions", "differ; callers and objects move"));
    }
    found
}

fn class_changes(key: &str, old: &Class, new: &Class) -> Vec<Finding> {
    let mut found = Vec::new();
    if old.service != new.service || old.split != new.split {
        let text = "is run by other services; all its objects are cold there at first";
        found.push(change(format!("{key}.service"), text));
    }
    if old.regions != new.regions {
        found.push(change(
            format!("{key}.regions"),
            "differ; objects move to other servers and are cold there at first",
        ));
    }
    if (&old.host, &old.paths) != (&new.host, &new.paths) {
        found.push(change(format!("{key}.paths"), "differ; requests to paths that are gone get 404"));
    }
    if old.idempotent != new.idempotent {
        let text = if new.idempotent {
            "requests may run more than once from now on"
        } else {
            "requests run once at most from now on"
        };
        found.push(change(format!("{key}.idempotent"), text));
    }
    let times = |class: &Class| (class.target_ms, class.deadline_ms, class.rank, class.max_attempts, class.public);
    if times(old) != times(new) {
        found.push(change(key.to_owned(), "has other targets, limits or a priority; in force at once"));
    }
    found
}

fn account_changes(before: &Policy, next: &Policy) -> Vec<Finding> {
    let mut found = Vec::new();
    match (&before.accounts, &next.accounts) {
        (None, Some(_)) => found.push(change("accounts", "are new; requests without a key get 401 from now on")),
        (Some(_), None) => found.push(change("accounts", "are gone; requests need no key from now on")),
        _ => {}
    }
    let names: BTreeSet<&String> = before.accounts.iter().chain(&next.accounts).flat_map(BTreeMap::keys).collect();
    for name in names {
        let key = format!("accounts.{name}");
        match (before.account(name), next.account(name)) {
            (Some(old), Some(new)) => {
                let ended = old.keys.iter().filter(|digest| !new.keys.contains(digest)).count();
                let added = new.keys.iter().filter(|digest| !old.keys.contains(digest)).count();
                if ended + added > 0 {
                    let text = format!("{added} keys are new, {ended} end, also on open connections");
                    found.push(change(format!("{key}.keys"), text));
                }
                if (old.rate, old.burst) != (new.rate, new.burst) {
                    let text = format!(
                        "the quota is {}/s and {} at once, it was {}/s and {}",
                        new.rate, new.burst, old.rate, old.burst
                    );
                    found.push(change(format!("{key}.rate"), text));
                }
                if (old.rank, &old.regions, old.closed) != (new.rank, &new.regions, new.closed) {
                    found.push(change(key, "has another priority or other regions; in force at once"));
                }
            }
            (Some(old), None) => {
                found.push(change(
                    key,
                    format!("is removed; its {} keys end, also on open connections", old.keys.len()),
                ));
            }
            (None, Some(new)) => found.push(change(key, format!("is new, with {} keys", new.keys.len()))),
            (None, None) => {}
        }
    }
    found
}
