//! One soak: callers, faults in their order, then peace and the checks.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use base::instance::Role;
use config::policy::Policy;
use demo::deployment::Deployment;
use load::answer::Ending;
use load::plan::Flow;

use crate::Result;
use crate::caller::{Caller, Trace, agent};
use crate::check::{self, Revisions};
use crate::plan::{self, Step, Trouble};
use crate::proxy::Proxy;
use crate::site::Site;

/// Longest time after the last fault until everything works again.
const PEACE: Duration = Duration::from_mins(1);
/// Time between two looks at revisions and readiness.
const LOOK: Duration = Duration::from_millis(100);

/// How a soak goes.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Decides faults and requests.
    pub seed: u64,
    /// How long faults come.
    pub time: Duration,
    /// Series of faults.
    pub faults: usize,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// Third number of all addresses, `127.0.net.x`.
    pub net: u8,
}

/// What came of a soak.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Requests by how their last send ended.
    pub endings: BTreeMap<Ending, usize>,
    /// Faults begun.
    pub faults: usize,
    /// Promises that were not kept.
    pub broken: Vec<String>,
}

/// Runs a soak of the deployment in `deploy`; files and logs go to `folder`.
pub fn run(deploy: &Path, folder: &Path, setup: Setup) -> Result<Report> {
    let mut site = Site::start(deploy, folder, setup.net)?;
    let entries: Vec<String> = site.caller_links.iter().map(|(_, address)| address.clone()).collect();
    let (orders, lookups) = (path(&site.deployment, true), path(&site.deployment, false));
    let caller = |name: String| Caller { entries: &entries, orders: &orders, lookups: &lookups, name };
    let steps = plan::steps(setup.seed, setup.faults, setup.time);
    let (stop, trace) = (AtomicBool::new(false), Mutex::new(Trace::new()));
    let mut broken = thread::scope(|scope| {
        for number in 0..setup.callers as u64 {
            let caller = caller(format!("{:x}-{number}", setup.seed));
            let (stop, trace) = (&stop, &trace);
            scope.spawn(move || caller.run(setup.seed ^ number, stop, trace));
        }
        let broken = endure(&mut site, &steps, setup.time);
        stop.store(true, Ordering::Relaxed);
        broken
    })?;
    broken.extend(peace(&mut site, &caller(format!("{:x}-end", setup.seed))));
    let trace = trace.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    broken.extend(check::broken(&trace, &site.runs()));
    let faults = steps.iter().filter(|step| step.begins).count();
    Ok(Report { endings: last_endings(&trace), faults, broken })
}

/// Path and query of short work, which needs a key or needs none.
fn path(deployment: &Deployment, keyed: bool) -> String {
    let short = |flow: &Flow| flow.keyed == keyed && !flow.path.contains("bytes=");
    deployment.flows(1.0).into_iter().find(short).map(|flow| flow.path).unwrap_or_default()
}

/// Requests by how their last send ended.
fn last_endings(trace: &Trace) -> BTreeMap<Ending, usize> {
    trace.values().filter_map(|endings| endings.last()).fold(BTreeMap::new(), |mut counts, ending| {
        *counts.entry(*ending).or_default() += 1;
        counts
    })
}

/// Carries the steps out in time and watches the revisions meanwhile.
fn endure(site: &mut Site, steps: &[Step], time: Duration) -> Result<Vec<String>> {
    let begun = Instant::now();
    let (mut broken, mut revisions, mut next) = (Vec::new(), Revisions::default(), 0);
    let agent = agent();
    while begun.elapsed() < time || next < steps.len() {
        while let Some(step) = steps.get(next).filter(|step| step.at <= begun.elapsed()) {
            next += 1;
            broken.extend(take(site, *step, next)?);
        }
        broken.extend(look(site, &agent, &mut revisions));
        thread::sleep(LOOK);
    }
    Ok(broken)
}

/// Begins or ends a fault; says what went wrong with a planned stop.
fn take(site: &mut Site, step: Step, number: usize) -> Result<Option<String>> {
    match (step.trouble, step.begins) {
        (Trouble::Link(place, cut), true) => site.links[place % site.links.len()].cut(cut),
        (Trouble::Link(place, _), false) => site.links[place % site.links.len()].heal(),
        (Trouble::Caller(place, cut), true) => site.caller_links[place % site.caller_links.len()].0.cut(cut),
        (Trouble::Caller(place, _), false) => site.caller_links[place % site.caller_links.len()].0.heal(),
        (Trouble::Store(ill), begins) => site.sicken(begins.then_some(ill)),
        (Trouble::Change, true) => change(site, number),
        (Trouble::Change, false) => {}
        (Trouble::Entry(place, blow), true) => site.strike(&site.instance(Role::Entry, place), blow),
        (Trouble::Server(place, blow), true) => site.strike(&site.instance(Role::Backend, place), blow),
        (Trouble::Entry(place, _), false) => return site.restore(&site.instance(Role::Entry, place)),
        (Trouble::Server(place, _), false) => return site.restore(&site.instance(Role::Backend, place)),
    }
    Ok(None)
}

/// Changes a deadline in the policy, if the store takes it.
fn change(site: &Site, number: usize) {
    let Ok(store) = store::Client::new(&site.deployment.store, Duration::from_secs(1)) else { return };
    let edit = |policy: &mut Policy| {
        policy.classes.values_mut().for_each(|class| class.deadline_ms += 1);
        Ok(())
    };
    // Whether it took effect does not matter: what counts is that no daemon goes back from it.
    drop(ctl::change::edit(&store, &format!("soak-{number}"), edit));
}

/// Looks at the revision of each daemon that answers.
fn look(site: &Site, agent: &ureq::Agent, revisions: &mut Revisions) -> Vec<String> {
    let see = |entry: &base::instance::Instance| {
        let url = format!("http://{}/decisions", entry.operators);
        let state: serde_json::Value = ctl::fleet::get(agent, &url).ok()?;
        let life = site.lives.get(&entry.name).copied().unwrap_or_default();
        revisions.note(&entry.name, life, state["revision"].as_u64()?)
    };
    // A daemon that stands still would hold the run up; it is looked at again when it goes on.
    let running = site.deployment.entries().filter(|entry| !site.paused(&entry.name));
    running.filter_map(see).collect()
}

/// Ends all faults and waits until every daemon serves again, at one revision.
fn peace(site: &mut Site, caller: &Caller<'_>) -> Vec<String> {
    site.links.iter().chain(site.caller_links.iter().map(|(link, _)| link)).for_each(Proxy::heal);
    site.sicken(None);
    change(site, usize::MAX);
    let begun = Instant::now();
    let mut missing = caller.entries.to_vec();
    let mut round = 0;
    while !missing.is_empty() && begun.elapsed() < PEACE {
        round += 1;
        let agent = agent();
        let serves = |entry: &String, order: bool| {
            caller.send(&agent, entry, order, &format!("{}-{entry}-{round}", caller.name)) == Ending::Complete
        };
        missing.retain(|entry| !(serves(entry, true) && serves(entry, false)));
        thread::sleep(LOOK);
    }
    let mut broken: Vec<String> =
        missing.iter().map(|entry| format!("{entry} does not serve after all faults")).collect();
    let store = store::Client::new(&site.deployment.store, Duration::from_secs(5));
    match store.map(|store| ctl::change::read(&store)) {
        Ok(Ok((_, revision))) => {
            broken.extend(site.deployment.wait_ready(revision).err().map(|error| format!("at the end: {error}")));
        }
        other => broken.push(format!("the store does not answer after all faults: {other:?}")),
    }
    broken
}
