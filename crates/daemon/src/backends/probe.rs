//! Polls the load reports of backend servers.

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

/// Timeout for reading one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of threads that read reports concurrently.
const MAX_READERS: usize = 4;
/// Maximum number of reports read in one round: a daemon in a large region uses hundreds of servers.
const MAX_REPORTS_PER_ROUND: usize = 24;

inventory::submit! {
    Plugin(kernel::Plugin { name: "probe", stage: 40, start })
}

/// A load report as servers send it.
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
        ureq::Agent::config_builder().timeout_global(Some(REPORT_TIMEOUT)).proxy(None).max_idle_connections(0).build();
    let agent: ureq::Agent = config.into();
    let context = Arc::clone(context);
    let mut round = 0;
    let running = PeriodicThread::start("probe", move || {
        run_round(&context, &agent, round);
        round += 1;
        pause
    })?;
    Ok(Box::new(running))
}

/// A backend server and its id.
type Server<'a> = (BackendId, &'a Instance);

/// Reads the reports of the servers in the daemon's own region that it uses, up to the limit of one round.
fn run_round(context: &Arc<Context>, agent: &ureq::Agent, round: usize) {
    let steering = context.steering();
    let own = &context.settings.region;
    let servers = steering.backends.iter().map(|(id, instance)| (*id, &**instance));
    let all: Vec<Server<'_>> = servers.filter(|(_, instance)| instance.region == *own).collect();
    let hosted: BTreeSet<BackendId> = context.driver.with_engine(|engine| {
        let hosts = engine.backends().filter(|server| server.spec.hosts);
        hosts.map(|server| server.spec.id).collect()
    });
    let selected = select(all, |id| hosted.contains(&id), round);
    let chunks = selected.chunks(selected.len().div_ceil(MAX_READERS).max(1));
    let read = |server: &Server<'_>| probe(context, agent, *server);
    let loads: Vec<(String, u32, u32)> = std::thread::scope(|scope| {
        let readers: Vec<_> =
            chunks.map(|chunk| scope.spawn(move || chunk.iter().filter_map(read).collect::<Vec<_>>())).collect();
        readers.into_iter().flat_map(|reader| reader.join().unwrap_or_else(|_| log_panic())).collect()
    });
    record_domain_loads(context, &loads);
}

/// Logs that a reader thread panicked. Returns no reports in place of those of the thread.
fn log_panic() -> Vec<(String, u32, u32)> {
    log::error!("probe: a reader thread panicked, its reports of this round are missing");
    Vec::new()
}

/// Selects the servers of one round: first those on which this daemon may run waiting work, then the others in
/// rotation.
fn select(all: Vec<Server<'_>>, hosted: impl Fn(BackendId) -> bool, round: usize) -> Vec<Server<'_>> {
    if all.len() <= MAX_REPORTS_PER_ROUND {
        return all;
    }
    let (mut selected, others): (Vec<Server<'_>>, Vec<Server<'_>>) = all.into_iter().partition(|(id, _)| hosted(*id));
    selected.truncate(MAX_REPORTS_PER_ROUND);
    let remaining = MAX_REPORTS_PER_ROUND - selected.len();
    let start = round * remaining;
    selected.extend(others.iter().cycle().skip(start % others.len().max(1)).take(remaining.min(others.len())));
    selected
}

/// Reads the report of one server and passes it to the engine. Returns the server's failure domain, load and slots.
fn probe(context: &Arc<Context>, agent: &ureq::Agent, (id, instance): Server<'_>) -> Option<(String, u32, u32)> {
    let url = format!("http://{}/load", instance.address);
    let body = agent.get(&url).call().and_then(|mut response| response.body_mut().read_to_vec());
    let load = body.ok().and_then(|bytes| serde_json::from_slice::<Load>(&bytes).ok());
    let Some(load) = load else {
        log::debug!("probe: report not read server={}", instance.name);
        return None;
    };
    let now = context.now();
    let at = now - Duration::from_millis(load.age_ms);
    let report = Report { load: load.busy + load.queued, draining: load.draining, pace: None, at };
    context.driver.with_engine_mut(context, |engine| engine.apply_report(id, report, now));
    Some((instance.domain.clone(), report.load, instance.slots))
}

/// Records the total load of each failure domain whose servers were read.
fn record_domain_loads(context: &Context, loads: &[(String, u32, u32)]) {
    let now = context.now();
    let mut sums: std::collections::BTreeMap<&str, Sample> = std::collections::BTreeMap::new();
    for (domain, busy, slots) in loads {
        let sum = sums.entry(domain).or_insert(Sample { busy: 0, slots: 0, at: now });
        sum.busy += busy;
        sum.slots += slots;
    }
    let mut roster = lock(&context.roster);
    for (domain, sample) in sums {
        roster.loads_mut().record(domain, sample);
    }
}
