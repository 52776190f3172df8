//! Feeds the dispatch engine with requests, answers and time, and carries out its actions.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use config::policy;
use dispatch::backend::{BackendId, Report};
use dispatch::engine::{Account, Arrival, Basis, Decision};
use dispatch::{Action, Ending, Engine, Verdict};
use h1::client::Call;
use h1::{Payload, head};
use http::header::HOST;
use http::{HeaderMap, Method};
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

use crate::Context;
use crate::at_most_once::KeyedRequest;
use crate::backends::attempt;
use crate::confirmation;
use crate::context::lock;
use crate::decision_log;
use crate::plugin::Plugin;
use crate::policies::ActivePolicy;
use crate::response::Response;
use crate::stall;

/// Longest sleep of the timer between two checks of the engine's next wakeup.
const MAX_SLEEP: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin(kernel::Plugin { name: "dispatch", stage: 20, start })
}

/// A caller's request, ready to be sent to a backend server.
#[derive(Debug)]
pub struct Outgoing {
    /// Number of the request, unique in this process.
    pub number: u64,
    /// The request's id in logs: the caller's id of this send if it gives one, else one of this daemon.
    pub id: String,
    /// The object that the request is about, as the caller names it; a dash for none.
    pub object: String,
    /// Name of the request's client account; `None` without one.
    pub account: Option<String>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers to pass on to the backend server.
    pub headers: HeaderMap,
    /// Body.
    pub body: Payload,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Idempotency key and claim of a request that must run at most once; `None` for any other.
    pub keyed: Option<KeyedRequest>,
}

impl Outgoing {
    /// Returns the host that the request names, without a port.
    pub fn host(&self) -> &str {
        policy::host_name(head::text(&self.headers, &HOST).unwrap_or_default())
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the call to a server or to another daemon with `headers`, within the limits on answers.
    pub fn call<'a>(&'a self, context: &'a Context, headers: &'a HeaderMap) -> Call<'a> {
        Call {
            method: &self.method,
            target: &self.target,
            headers,
            body: &self.body,
            max_answer_bytes: context.settings.dispatch.max_answer_bytes as usize,
            budget: &context.answer_memory,
        }
    }
}

/// Properties of a request that the engine decides by.
#[derive(Debug, Clone, Copy)]
pub struct Submission {
    /// Position of the request's class in the active policy.
    pub class: usize,
    /// Fingerprint of the request, equal when the caller sends it again.
    pub fingerprint: u64,
    /// Time until the request is given up.
    pub timeout: Duration,
    /// Hash of the object that the request is about; `None` for none.
    pub object: Option<u64>,
    /// The client account of the request.
    pub account: Account,
}

/// The policy that a request was matched with is no longer in force, so its class may be gone, or stand for other work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outdated;

/// Why a caller's request gets no answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: Kind,
    /// Time after which the caller should retry; `None` for the default of the kind.
    pub retry_after: Option<Duration>,
}

impl From<Kind> for Refusal {
    fn from(kind: Kind) -> Self {
        Self { kind, retry_after: None }
    }
}

/// The result of a caller's request: a backend server's answer or a refusal.
pub type Outcome = Result<Arc<Response>, Refusal>;

/// A request that its caller waits for.
#[derive(Debug)]
struct Pending {
    outgoing: Arc<Outgoing>,
    reply: oneshot::Sender<Outcome>,
    arrived_at: Time,
}

/// An attempt in flight.
#[derive(Debug)]
struct Running {
    outgoing: Arc<Outgoing>,
    started_at: Time,
    task: AbortHandle,
}

/// The engine with the requests and attempts in flight.
#[derive(Debug)]
pub struct Driver {
    engine: Mutex<Engine>,
    /// Requests that are not answered yet, by their number.
    pending: Mutex<BTreeMap<u64, Pending>>,
    /// Answers by attempt, kept only while the engine decides on them.
    answers: Mutex<BTreeMap<u64, Arc<Response>>>,
    /// Attempts in flight, by their number.
    running: Mutex<BTreeMap<u64, Running>>,
    next_number: AtomicU64,
    /// Notified after each change of the engine, since the change may move the engine's next wakeup.
    changed: Notify,
}

impl Driver {
    /// Creates a driver of `engine`.
    pub const fn new(engine: Engine) -> Self {
        Self {
            engine: Mutex::new(engine),
            pending: Mutex::new(BTreeMap::new()),
            answers: Mutex::new(BTreeMap::new()),
            running: Mutex::new(BTreeMap::new()),
            next_number: AtomicU64::new(1),
            changed: Notify::const_new(),
        }
    }

    /// Returns a number for a new request.
    pub fn next_request_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Submits a request that was matched with the policy `active` to the engine; its outcome arrives through the returned
    /// receiver. Nothing is submitted if another policy is in force by now.
    pub fn submit(
        &self,
        context: &Arc<Context>,
        active: &Arc<ActivePolicy>,
        outgoing: Arc<Outgoing>,
        submission: Submission,
    ) -> Result<oneshot::Receiver<Outcome>, Outdated> {
        let (reply, outcome) = oneshot::channel();
        let Submission { class, fingerprint, timeout, object, account } = submission;
        let bytes = outgoing.body.len() as u64;
        let request = outgoing.number;
        let arrival = Arrival { request, class, fingerprint, bytes, timeout: Some(timeout), object, account };
        stall::check(context);
        let now = context.now();
        lock(&self.pending).insert(outgoing.number, Pending { outgoing, reply, arrived_at: now });
        // The engine's lock is held when the policy in force is replaced, see `view::activate`.
        let submitted = self.with_engine_mut(context, |engine| {
            let in_force = context.is_in_force(active);
            if in_force {
                engine.submit(arrival, now);
            }
            in_force
        });
        if submitted {
            return Ok(outcome);
        }
        lock(&self.pending).remove(&request);
        Err(Outdated)
    }

    /// Returns the position of the class that covers each open request in a policy; nothing for one that no class covers.
    pub fn covering_classes(&self, active: &ActivePolicy) -> BTreeMap<u64, usize> {
        let pending = lock(&self.pending);
        let covering = pending.iter().filter_map(|(number, pending)| {
            let (name, _) = active.policy.class_of(pending.outgoing.host(), pending.outgoing.path())?;
            Some((*number, active.class_position(name)?))
        });
        covering.collect()
    }

    /// Drops `request`, whose caller disconnected.
    pub fn abandon(&self, context: &Arc<Context>, request: u64) {
        let now = context.now();
        if let Some(pending) = lock(&self.pending).remove(&request) {
            context.metrics.callers_disconnected.inc();
            decision_log::caller_disconnected(&pending.outgoing, now.since(pending.arrived_at));
        }
        self.with_engine_mut(context, |engine| engine.abandon(request, now));
    }

    /// Answers all requests that are still open with an error: the time for a stop is over.
    pub fn give_up_all(&self, context: &Arc<Context>) {
        let now = context.now();
        self.with_engine_mut(context, |engine| engine.give_up_all(now));
    }

    /// Reports the end of an attempt to the engine, with its answer if there is one.
    pub fn finish(&self, context: &Arc<Context>, attempt: u64, ending: Ending, response: Option<Arc<Response>>) {
        stall::check(context);
        context.metrics.attempts.with_label_values(&[ending.name()]).inc();
        lock(&self.running).remove(&attempt);
        if let Some(response) = response {
            lock(&self.answers).insert(attempt, response);
        }
        let now = context.now();
        self.with_engine_mut(context, |engine| engine.finish(attempt, ending, now));
        lock(&self.answers).remove(&attempt);
    }

    /// Applies `work` to the engine, then logs its decisions, carries out its actions and pushes new losses to peers.
    pub fn with_engine_mut<T>(&self, context: &Arc<Context>, work: impl FnOnce(&mut Engine) -> T) -> T {
        let mut engine = self.engine_by_policy(context);
        let result = work(&mut engine);
        let decisions = engine.take_decisions();
        let actions = engine.take_actions();
        let losses = context.reach.pass_losses(engine.take_losses());
        context.metrics.queued.set(engine.queued() as i64);
        context.metrics.in_flight.set(engine.in_flight() as i64);
        // The policy that the actions were decided by: it is replaced under the engine's lock only.
        let active = context.policy();
        drop(engine);
        decisions.iter().for_each(|decision| self.log_decision(context, decision));
        for action in actions {
            self.perform(context, &active, action);
        }
        if !losses.is_empty() {
            crate::peers::spread_losses(context, &losses);
            crate::peers::push_urgent(context);
        }
        self.changed.notify_one();
        result
    }

    /// Whether an attempt may still be sent to `backend` at `now`.
    pub fn may_send(&self, context: &Context, attempt: u64, backend: BackendId, now: Time) -> bool {
        self.engine_by_policy(context).may_send(attempt, backend, now)
    }

    /// Locks the engine, which knows then until when the policy in force may be relied on.
    fn engine_by_policy(&self, context: &Context) -> MutexGuard<'_, Engine> {
        let expiry = confirmation::expiry(context, context.policy().version, context.now());
        let mut engine = lock(&self.engine);
        engine.set_policy_expiry(expiry);
        engine
    }

    /// Applies `work` to the engine, which it cannot change.
    pub fn with_engine<T>(&self, work: impl FnOnce(&Engine) -> T) -> T {
        work(&lock(&self.engine))
    }

    fn perform(&self, context: &Arc<Context>, active: &ActivePolicy, action: Action) {
        match action {
            Action::Start { request, attempt, backend, deadline, retry, basis } => {
                let attempt = attempt::Attempt { number: attempt, backend, deadline, retry };
                self.record_start(context, active, request, attempt, basis);
                self.start(context, request, attempt);
            }
            Action::Cancel { attempt, backend } => {
                attempt::cancel(context, attempt, backend);
                let running = lock(&self.running).remove(&attempt);
                if let Some(running) = running {
                    running.task.abort();
                    decision_log::attempt_ended(
                        &running.outgoing,
                        attempt,
                        Ending::Cancelled,
                        0,
                        context.now().since(running.started_at),
                    );
                    self.finish(context, attempt, Ending::Cancelled, None);
                }
            }
            Action::Answer { request, verdict, retry_after } => self.answer(request, verdict, retry_after),
        }
    }

    /// Records in logs and metrics where a request is sent and on what basis.
    fn record_start(
        &self,
        context: &Context,
        active: &ActivePolicy,
        request: u64,
        attempt: attempt::Attempt,
        basis: Basis,
    ) {
        let pending =
            lock(&self.pending).get(&request).map(|pending| (Arc::clone(&pending.outgoing), pending.arrived_at));
        let Some((outgoing, arrived_at)) = pending else { return };
        let waited = context.now().since(arrived_at);
        let again = if attempt.retry { "yes" } else { "no" };
        context.metrics.sends.with_label_values(&[again, decision_log::warm_label(basis)]).inc();
        if !attempt.retry {
            context.metrics.wait_time.observe(waited.as_secs_f64());
        }
        decision_log::attempt_sent(context, active, &outgoing, attempt, waited, basis);
    }

    /// Logs a decision; called before the request concerned is answered.
    fn log_decision(&self, context: &Context, decision: &Decision) {
        let request = match decision {
            Decision::Held { request, .. } | Decision::Refused { request, .. } => Some(*request),
            Decision::Ejected { .. }
            | Decision::Reinstated { .. }
            | Decision::Leaving { .. }
            | Decision::Paused { .. }
            | Decision::RateLimited { .. }
            | Decision::Corrected { .. }
            | Decision::Quarantined { .. } => None,
        };
        let pending = lock(&self.pending);
        let outgoing = request.and_then(|request| pending.get(&request)).map(|pending| Arc::clone(&pending.outgoing));
        drop(pending);
        decision_log::decision(context, decision, outgoing.as_ref().map_or("-", |outgoing| outgoing.id.as_str()));
    }

    /// Starts an attempt on a task of its own.
    fn start(&self, context: &Arc<Context>, request: u64, attempt: attempt::Attempt) {
        let outgoing = lock(&self.pending).get(&request).map(|pending| Arc::clone(&pending.outgoing));
        let Some(outgoing) = outgoing else {
            return self.finish(context, attempt.number, Ending::Withheld(Kind::Expired), None);
        };
        // Keeps the map locked until the attempt is in it, so that an attempt that ends at once finds its entry.
        let mut running = lock(&self.running);
        let started_at = context.now();
        let task = context.runtime.spawn(attempt::run(Arc::clone(context), Arc::clone(&outgoing), attempt));
        running.insert(attempt.number, Running { outgoing, started_at, task: task.abort_handle() });
    }

    /// Records a load report that came with an answer; the engine acts on it once the attempt's end is reported.
    pub fn record_report(&self, backend: BackendId, report: Report) {
        lock(&self.engine).record_report(backend, report);
    }

    /// Sends the outcome of `request` to its caller.
    fn answer(&self, request: u64, verdict: Verdict, retry_after: Option<Duration>) {
        let Some(pending) = lock(&self.pending).remove(&request) else {
            return;
        };
        let outcome = match verdict {
            Verdict::Refuse(kind) => Err(Refusal { kind, retry_after }),
            Verdict::Relay(attempt) => lock(&self.answers).get(&attempt).cloned().ok_or(Refusal::from(Kind::Internal)),
        };
        if pending.reply.send(outcome).is_err() {
            log::debug!("dispatch: answer dropped, caller disconnected request={request}");
        }
    }
}

/// Runs the engine's timers.
struct Timer(tokio::task::JoinHandle<()>);

impl kernel::Component for Timer {
    fn close(&mut self) {
        self.0.abort();
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let shared = Arc::clone(context);
    let task = context.runtime.spawn(async move { run(&shared).await });
    Ok(Box::new(Timer(task)))
}

async fn run(context: &Arc<Context>) {
    let driver = &context.driver;
    loop {
        let wakeup = driver.with_engine(Engine::next_wakeup);
        let sleep = wakeup.map_or(MAX_SLEEP, |wakeup| context.clock.duration_until(wakeup).min(MAX_SLEEP));
        tokio::select! {
            () = tokio::time::sleep(sleep) => {}
            () = driver.changed.notified() => {}
        }
        stall::check(context);
        let now = context.now();
        if driver.with_engine(Engine::next_wakeup).is_some_and(|wakeup| wakeup <= now) {
            driver.with_engine_mut(context, |engine| engine.tick(now));
        }
    }
}
