//! What this daemon did with the requests of each client account, for operators.

use std::collections::BTreeMap;
use std::sync::Mutex;

use base::error::Kind;
use serde::Serialize;

use crate::Context;
use crate::context::lock;
use crate::driver::Outcome;

/// Maximum number of accounts that are counted by name, so that the metrics stay bounded; the rest count as one.
const MAX_NAMED: usize = 256;
/// Name under which all further accounts are counted.
const OTHERS: &str = "others";

/// Results of requests, as a metric's label.
const RESULTS: [&str; 4] = ["ok", "over-quota", "refused", "failed"];

/// Counts of the requests of one account.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Counts {
    ok: u64,
    over_quota: u64,
    refused: u64,
    failed: u64,
}

/// Counts by account.
#[derive(Debug, Default)]
pub struct Tally(Mutex<BTreeMap<String, Counts>>);

/// An account as this daemon sees it.
#[derive(Debug, Serialize)]
pub struct Line {
    account: String,
    /// Requests per second that the account may send over all daemons; zero for no limit.
    rate: f64,
    burst: f64,
    /// Share of the quota that is lent to this daemon, which hands out its tokens.
    lent_here: f64,
    /// Tokens that this daemon holds for requests to come.
    tokens: u32,
    /// Requests per second at this daemon.
    per_second: f64,
    #[serde(flatten)]
    counts: Counts,
}

impl Tally {
    /// Counts a request of `account` and its outcome; returns the account's and the result's labels in metrics.
    pub fn record<'a>(&self, account: &'a str, outcome: &Outcome) -> [&'a str; 2] {
        let result = match outcome {
            Ok(_) => 0,
            Err(refusal) if refusal.kind == Kind::OverQuota => 1,
            Err(refusal) if refusal.kind.answer().outcome == base::error::Outcome::NotRun => 2,
            Err(_) => 3,
        };
        let mut tally = lock(&self.0);
        let name = if tally.contains_key(account) || tally.len() < MAX_NAMED { account } else { OTHERS };
        let counts = tally.entry(name.to_owned()).or_default();
        *[&mut counts.ok, &mut counts.over_quota, &mut counts.refused, &mut counts.failed][result] += 1;
        [name, RESULTS[result]]
    }
}

/// Returns all accounts of the policy in force, as this daemon sees them.
pub fn lines(context: &Context) -> Vec<Line> {
    let now = context.now();
    let active = context.policy();
    let tally = lock(&context.accounts.0).clone();
    let line = |(name, account): (&String, &config::policy::Account)| {
        let (lent_here, tokens, per_second) = context.quotas.account(name, now);
        let counts = tally.get(name).copied().unwrap_or_default();
        let (rate, burst) = (account.rate, account.burst);
        Line { account: name.clone(), rate, burst, lent_here, tokens, per_second, counts }
    };
    active.policy.accounts.iter().flatten().map(line).collect()
}
