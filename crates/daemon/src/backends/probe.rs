//! Reads backend servers' load reports.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base::instance::Instance;
use dispatch::backend::{BackendId, Report};
use fleet::load::Sample;
use serde::Deserialize;

use crate::Context;
use crate::context::lock;
use crate::plugin::{PeriodicThread, Plugin};

/// Longest time for one report.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Threads that read reports.
const READERS: usize = 4;
/// Reports read in one round at most: a daemon of a large region uses hundreds of servers.
const PROBES: usize = 24;

inventory::submit! {
    Plugin(kernel::Plugin { name: "probe", stage: 40, start })
}

/// A load report on the wire.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Load {
    busy: u32,
    queued: u32,
    draining: bool,
    #[serde(default)]
    age_ms: u64,
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    if context.catalog.is_some() {
        return Ok(Box::new(kernel::Idle));
    }
    let pause = Duration::from_millis(context.settings.dispatch.probe_ms);
    let config =
        ureq::Agent::config_builder().timeout_global(Some(TIMEOUT)).proxy(None).max_idle_connections(0).build();
    let agent: ureq::Agent = config.into();
    let context = Arc::clone(context);
    let mut turn = 0;
    let running = PeriodicThread::start("probe", move || {
        round(&context, &agent, turn);
        turn += 1;
        pause
    })?;
    Ok(Box::new(running))
}

/// A backend server with its number.
type Server<'a> = (BackendId, &'a Instance);

/// Reads a report from each server of our region that we use, or from as many as one round may.
fn round(context: &Arc<Context>, agent: &ureq::Agent, turn: usize) {
    let steering = context.steering();
    let own = &context.settings.region;
    let servers = steering.backends.iter().map(|(id, instance)| (*id, &**instance));
    let all: Vec<Server<'_>> = servers.filter(|(_, instance)| instance.region == *own).collect();
    let hosted: BTreeSet<BackendId> = context.driver.with_engine(|engine| {
        let hosts = engine.backends().filter(|server| server.spec.hosts);
        hosts.map(|server| server.spec.id).collect()
    });
    let near = chosen(all, |id| hosted.contains(&id), turn);
    let parts = near.chunks(near.len().div_ceil(READERS).max(1));
    let read = |server: &Server<'_>| probe(context, agent, *server);
    let loads: Vec<(String, u32, u32)> = std::thread::scope(|scope| {
        let readers: Vec<_> =
            parts.map(|part| scope.spawn(move || part.iter().filter_map(read).collect::<Vec<_>>())).collect();
        readers.into_iter().flat_map(|reader| reader.join().unwrap_or_else(|_| failed())).collect()
    });
    sum_up(context, &loads);
}

/// A reader that panicked gives no reports.
fn failed() -> Vec<(String, u32, u32)> {
    log::error!("probe: a reader failed by a fault of this program; its reports of this round are missing");
    Vec::new()
}

/// The servers of one round: those that we host, then the others in turn.
fn chosen(all: Vec<Server<'_>>, hosted: impl Fn(BackendId) -> bool, turn: usize) -> Vec<Server<'_>> {
    if all.len() <= PROBES {
        return all;
    }
    let (mut chosen, others): (Vec<Server<'_>>, Vec<Server<'_>>) = all.into_iter().partition(|(id, _)| hosted(*id));
    chosen.truncate(PROBES);
    let room = PROBES - chosen.len();
    let start = turn * room;
    chosen.extend(others.iter().cycle().skip(start % others.len().max(1)).take(room.min(others.len())));
    chosen
}

fn probe(context: &Arc<Context>, agent: &ureq::Agent, (id, instance): Server<'_>) -> Option<(String, u32, u32)> {
    let url = format!("http://{}/load", instance.address);
    let read = agent.get(&url).call().and_then(|mut response| response.body_mut().read_to_vec());
    let load = read.ok().and_then(|bytes| serde_json::from_slice::<Load>(&bytes).ok());
    let Some(load) = load else {
        log::debug!("probe: report skipped server={}", instance.name);
        return None;
    };
    let now = context.now();
    let at = now - Duration::from_millis(load.age_ms);
    let report = Report { load: load.busy + load.queued, draining: load.draining, pace: None, at };
    context.driver.with_engine_mut(context, |engine| engine.apply_report(id, report, now));
    Some((instance.domain.clone(), report.load, instance.slots))
}

/// Notes the load of each failure domain that was read.
fn sum_up(context: &Context, loads: &[(String, u32, u32)]) {
    let now = context.now();
    let mut sums: std::collections::BTreeMap<&str, Sample> = std::collections::BTreeMap::new();
    for (domain, busy, slots) in loads {
        let sum = sums.entry(domain).or_insert(Sample { busy: 0, slots: 0, at: now });
        sum.busy += busy;
        sum.slots += slots;
    }
    let mut roster = lock(&context.roster);
    for (domain, seen) in sums {
        roster.loads_mut().record(domain, seen);
    }
}
