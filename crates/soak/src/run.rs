//! One run: callers send requests while faults are injected, then all faults end and the guarantees are checked.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use base::instance::Role;
use config::policy::Policy;
use demo::deployment::Deployment;
use fakes::tally::Peak;
use load::answer::Ending;
use load::plan::Flow;

use crate::Result;
use crate::caller::{Caller, Trace, Work, agent};
use crate::check::{self, Revisions};
use crate::plan::{self, Fault, Step};
use crate::proxy::Proxy;
use crate::testbed::Testbed;

/// Paths that daemons use themselves at other addresses; orders to them are orders like any other.
const DAEMON_PATHS: [&str; 4] = ["/lookup", "/lookup/", "/ready", "/metrics"];
/// Timeout for all daemons to serve again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_mins(1);
/// Time between two checks of revisions and readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Seed of the plan of faults and of the requests.
    pub seed: u64,
    /// Duration of the fault injection.
    pub time: Duration,
    /// Number of series of faults; half as many series of connection faults are added.
    pub faults: usize,
    /// Number of callers, each with one request at a time.
    pub callers: usize,
    /// Third octet of all addresses, `127.0.net.x`.
    pub net: u8,
}

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Number of requests by how their last send ended.
    pub endings: BTreeMap<Ending, usize>,
    /// Number of faults in the plan.
    pub faults: usize,
    /// Most requests that a backend server with a rate limit got, as a fraction of what it allowed.
    pub limit_use: f64,
    /// Descriptions of violated guarantees; empty if all held.
    pub violations: Vec<String>,
}

/// Runs the deployment in `deploy` under faults; its files and logs go to `folder`.
pub fn run(deploy: &Path, folder: &Path, setup: Setup) -> Result<Report> {
    let mut testbed = Testbed::start(deploy, folder, setup.net)?;
    let entries: Vec<String> = testbed.caller_links.iter().map(|(_, address)| address.clone()).collect();
    let lookup_path = work_path(&testbed.deployment, false);
    let own_paths = DAEMON_PATHS.map(|path| format!("{path}?work_ms=20"));
    let order_paths: Vec<String> = std::iter::once(work_path(&testbed.deployment, true)).chain(own_paths).collect();
    let caller =
        |name: String| Caller { entries: &entries, order_paths: &order_paths, lookup_path: &lookup_path, name };
    let steps = plan::steps(setup.seed, setup.faults, setup.time);
    let (stop, trace) = (AtomicBool::new(false), Mutex::new(Trace::new()));
    let mut violations = thread::scope(|scope| {
        for number in 0..setup.callers as u64 {
            let caller = caller(format!("{:x}-{number}", setup.seed));
            let (stop, trace) = (&stop, &trace);
            scope.spawn(move || caller.run(setup.seed ^ number, stop, trace));
        }
        let violations = inject_faults(&mut testbed, &steps, setup.time);
        stop.store(true, Ordering::Relaxed);
        violations
    })?;
    violations.extend(check_recovery(&mut testbed, &caller(format!("{:x}-end", setup.seed))));
    let trace = trace.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    violations.extend(check::violations(&trace, &testbed.runs()));
    let peaks = testbed.limit_peaks();
    violations.extend(check::exceeded_limits(&peaks));
    let limit_use = peaks.values().map(Peak::used).fold(0.0, f64::max);
    let faults = steps.iter().filter(|step| step.starts).count();
    Ok(Report { endings: last_endings(&trace), faults, limit_use, violations })
}

/// Returns the path and query of the first flow with short work and, as `keyed` says, with or without idempotency keys;
/// empty if there is none.
fn work_path(deployment: &Deployment, keyed: bool) -> String {
    let short = |flow: &Flow| flow.keyed == keyed && !flow.path.contains("bytes=");
    deployment.flows(1.0).into_iter().find(short).map(|flow| flow.path).unwrap_or_default()
}

/// Counts requests by how their last send ended.
fn last_endings(trace: &Trace) -> BTreeMap<Ending, usize> {
    trace.values().filter_map(|endings| endings.last()).fold(BTreeMap::new(), |mut counts, ending| {
        *counts.entry(*ending).or_default() += 1;
        counts
    })
}

/// Executes each step when it is due and checks the daemons' revisions meanwhile; returns the violations.
fn inject_faults(testbed: &mut Testbed, steps: &[Step], time: Duration) -> Result<Vec<String>> {
    let start = Instant::now();
    let (mut violations, mut revisions, mut next) = (Vec::new(), Revisions::default(), 0);
    let agent = agent();
    while start.elapsed() < time || next < steps.len() {
        while let Some(step) = steps.get(next).filter(|step| step.at <= start.elapsed()) {
            next += 1;
            violations.extend(apply_step(testbed, *step, next)?);
        }
        violations.extend(check_revisions(testbed, &agent, &mut revisions));
        thread::sleep(POLL_INTERVAL);
    }
    Ok(violations)
}

/// Starts or ends a fault; returns a violation if a daemon failed a planned stop.
fn apply_step(testbed: &mut Testbed, step: Step, number: usize) -> Result<Option<String>> {
    match (step.fault, step.starts) {
        (Fault::Link(target, fault), true) => testbed.links[target % testbed.links.len()].inject(fault),
        (Fault::Link(target, _), false) => testbed.links[target % testbed.links.len()].heal(),
        (Fault::CallerLink(target, fault), true) => {
            testbed.caller_links[target % testbed.caller_links.len()].0.inject(fault);
        }
        (Fault::CallerLink(target, _), false) => testbed.caller_links[target % testbed.caller_links.len()].0.heal(),
        (Fault::Store(fault), starts) => testbed.set_store_fault(starts.then_some(fault)),
        (Fault::RateLimit(target, tenths), starts) => testbed.set_rate_limit(target, starts.then_some(tenths)),
        (Fault::PolicyChange, true) => change_policy(testbed, number),
        (Fault::PolicyChange, false) => {}
        (Fault::Entry(target, fault), true) => testbed.inject(&testbed.instance(Role::Entry, target), fault),
        (Fault::Backend(target, fault), true) => testbed.inject(&testbed.instance(Role::Backend, target), fault),
        (Fault::Entry(target, _), false) => return testbed.restore(&testbed.instance(Role::Entry, target)),
        (Fault::Backend(target, _), false) => return testbed.restore(&testbed.instance(Role::Backend, target)),
    }
    Ok(None)
}

/// Raises the deadline of each class in the policy by one millisecond, if the store accepts the change.
fn change_policy(testbed: &Testbed, number: usize) {
    let Ok(store) = store::Client::new(&testbed.deployment.store_address, Duration::from_secs(1)) else { return };
    let edit = |policy: &mut Policy| {
        policy.classes.values_mut().for_each(|class| class.deadline_ms += 1);
        Ok(())
    };
    // The outcome does not matter: the check is that no daemon goes back to an older revision.
    drop(ctl::change::edit(&store, &format!("soak-{number}"), edit));
}

/// Records the revision of each daemon that answers; returns a violation for each that went back.
fn check_revisions(testbed: &Testbed, agent: &ureq::Agent, revisions: &mut Revisions) -> Vec<String> {
    let check = |entry: &base::instance::Instance| {
        let url = format!("http://{}/decisions", entry.operators);
        let state: serde_json::Value = ctl::fleet::get(agent, &url).ok()?;
        let restarts = testbed.restarts.get(&entry.name).copied().unwrap_or_default();
        revisions.record(&entry.name, restarts, state["revision"].as_u64()?)
    };
    // A suspended daemon would delay the run until the timeout; it is checked again once it is resumed.
    let running = testbed.deployment.entries().filter(|entry| !testbed.is_paused(&entry.name));
    running.filter_map(check).collect()
}

/// Ends all faults of links and the store, changes the policy, and waits until every daemon serves orders and lookups
/// and has the store's revision in force; returns a violation for each that does not.
fn check_recovery(testbed: &mut Testbed, caller: &Caller<'_>) -> Vec<String> {
    testbed.links.iter().chain(testbed.caller_links.iter().map(|(link, _)| link)).for_each(Proxy::heal);
    testbed.set_store_fault(None);
    change_policy(testbed, usize::MAX);
    let start = Instant::now();
    let mut missing = caller.entries.to_vec();
    let mut round = 0;
    while !missing.is_empty() && start.elapsed() < RECOVERY_TIMEOUT {
        round += 1;
        let agent = agent();
        let serves = |entry: &String, work: Work<'_>| {
            caller.send(&agent, entry, work, &format!("{}-{entry}-{round}", caller.name)) == Ending::Complete
        };
        let order = Work::Order(&caller.order_paths[0]);
        missing.retain(|entry| !(serves(entry, order) && serves(entry, Work::Lookup)));
        thread::sleep(POLL_INTERVAL);
    }
    let mut violations: Vec<String> =
        missing.iter().map(|entry| format!("{entry} does not serve requests after all faults ended")).collect();
    let store = store::Client::new(&testbed.deployment.store_address, Duration::from_secs(5));
    match store.map(|store| ctl::change::read(&store)) {
        Ok(Ok((_, revision))) => {
            violations.extend(
                testbed.deployment.wait_ready(revision).err().map(|error| format!("after all faults ended: {error}")),
            );
        }
        other => violations.push(format!("the store does not answer after all faults ended: {other:?}")),
    }
    violations
}
