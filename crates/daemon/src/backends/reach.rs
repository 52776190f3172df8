//! Finds out by trial connections whether this daemon reaches backend servers at all, and tells the other daemons.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dispatch::backend::BackendId;
use dispatch::reach::{Change, Reach};
use h1::client::Connection;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::Context;
use crate::backends::attempt::UNACKED_TIMEOUT;
use crate::context::lock;
use crate::plugin::Plugin;
use crate::{peers, view};

/// Number of servers that a trial connects to, each in another failure domain as far as there are that many. A region or
/// a failure domain that is cut off or has failed does not hide the others.
const MAX_TRIAL_SERVERS: usize = 4;
/// Longest sleep before testing again whether a trial is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

inventory::submit! {
    Plugin(kernel::Plugin { name: "reach", stage: 30, start })
}

/// The path to backend servers as this daemon knows it.
#[derive(Debug, Default)]
pub struct State {
    reach: Mutex<Reach>,
    /// Losses of requests since the path was suspected. They are told to peers only if it turns out to be open.
    held_losses: Mutex<Vec<(u64, u64)>>,
    trial_due: Notify,
}

impl State {
    /// Whether no backend server can be reached.
    pub fn is_lost(&self) -> bool {
        lock(&self.reach).is_lost()
    }

    /// Records that a connection to a server was established.
    pub fn record_connected(&self) {
        let mut reach = lock(&self.reach);
        // Only a trial ends the loss of the path, so that its consequences are undone in one place.
        if !reach.is_lost() {
            reach.record_connected();
        }
    }

    /// Returns the losses that may be told to peers now. Keeps them while the path is suspected, and drops them while it is
    /// lost, since they then show nothing about the requests.
    pub fn pass_losses(&self, losses: Vec<(u64, u64)>) -> Vec<(u64, u64)> {
        let reach = lock(&self.reach);
        let mut held = lock(&self.held_losses);
        held.extend(losses);
        if reach.is_suspected() {
            return Vec::new();
        }
        let decided = std::mem::take(&mut *held);
        if reach.is_lost() { Vec::new() } else { decided }
    }
}

/// Records that `server` could not be reached, or lost a request without an answer.
pub fn record_failure(context: &Context, server: BackendId) {
    let now = context.now();
    if lock(&context.reach.reach).record_failure(server, now) {
        context.reach.trial_due.notify_one();
    }
}

struct Task(tokio::task::JoinHandle<()>);

impl kernel::Component for Task {
    fn close(&mut self) {
        self.0.abort();
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let shared = Arc::clone(context);
    let task = context.runtime.spawn(async move {
        let mut rng = fastrand::Rng::with_seed(shared.incarnation ^ 3);
        loop {
            // Jitter keeps daemons that lost their path at the same time from trying together.
            let sleep = tokio::time::sleep(CHECK_INTERVAL.mul_f64(0.75 + rng.f64() / 2.0));
            tokio::select! {
                () = sleep => {}
                () = shared.reach.trial_due.notified() => {}
            }
            if lock(&shared.reach.reach).is_trial_due(shared.now()) {
                run_trial(&shared, &mut rng).await;
            }
        }
    });
    Ok(Box::new(Task(task)))
}

/// Connects to some servers and applies what that shows.
async fn run_trial(context: &Arc<Context>, rng: &mut fastrand::Rng) {
    let addresses = choose_servers(context, rng);
    lock(&context.reach.reach).begin_trial(context.now());
    if addresses.is_empty() {
        return;
    }
    let (servers, reached) = (addresses.len(), connect_to_any(context, addresses).await);
    let now = context.now();
    let (since, change) = {
        let mut reach = lock(&context.reach.reach);
        (reach.lost_since(), reach.finish_trial(reached, now))
    };
    match change {
        Some(Change::Lost) => log::warn!("reach: no backend server can be reached tried={servers}"),
        Some(Change::Restored) => {
            let lost_ms = since.map_or(0, |since| now.since(since).as_millis());
            log::info!("reach: backend servers can be reached again lost_ms={lost_ms}");
            let since = since.unwrap_or(now);
            context.driver.with_engine_mut(context, |engine| engine.forget_failures(since, now));
        }
        None => return,
    }
    let lost = change == Some(Change::Lost);
    context.metrics.without_servers.set(i64::from(lost));
    lock(&context.roster).set_without_servers(lost);
    peers::push_state(context);
    view::refresh(context);
}

/// Returns the addresses of random servers in different failure domains, that of this daemon first.
fn choose_servers(context: &Context, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
    let steering = context.steering();
    let mut servers: Vec<_> = steering.backends.values().collect();
    rng.shuffle(&mut servers);
    servers.sort_by_key(|server| server.domain != context.settings.domain);
    let mut domains = BTreeSet::new();
    let (first, others): (Vec<_>, Vec<_>) = servers.into_iter().partition(|server| domains.insert(&server.domain));
    let addresses = first.into_iter().chain(others).filter_map(|server| server.address.parse().ok());
    addresses.take(MAX_TRIAL_SERVERS).collect()
}

/// Whether a connection to one of `addresses` is established in time.
async fn connect_to_any(context: &Context, addresses: Vec<SocketAddr>) -> bool {
    let limit = Duration::from_millis(context.settings.dispatch.connect_ms);
    let mut trials = JoinSet::new();
    for address in addresses {
        trials.spawn(async move {
            let opened = tokio::time::timeout(limit, Connection::open(address, UNACKED_TIMEOUT)).await;
            opened.is_ok_and(|opened| opened.is_ok())
        });
    }
    while let Some(connected) = trials.join_next().await {
        if connected.unwrap_or(false) {
            return true;
        }
    }
    false
}
