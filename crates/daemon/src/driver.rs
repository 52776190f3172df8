//! Carries the engine's actions out.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use bytes::Bytes;
use dispatch::backend::{BackendId, Report};
use dispatch::engine::{Arrival, Basis, Decision};
use dispatch::{Action, Ending, Engine, Verdict};
use http::{HeaderMap, Method};
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

use crate::Context;
use crate::at_most_once::KeyedRequest;
use crate::backends::attempt;
use crate::context::lock;
use crate::decision_log;
use crate::plugin::Plugin;
use crate::response::Response;
use crate::stall;

/// Longest sleep of the timer.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin(kernel::Plugin { name: "dispatch", stage: 20, start })
}

/// A caller's request, ready to be sent to a backend server.
#[derive(Debug)]
pub struct Outgoing {
    /// Its number.
    pub number: u64,
    /// Its name in logs: the caller's id of this send if it gives one.
    pub id: String,
    /// The object that it is about, as the caller names it; a dash for none.
    pub object: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers that concern the backend server.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the caller waits no longer, if it says so.
    pub caller_deadline: Option<Time>,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Set for a request that must run at most once.
    pub keyed: Option<KeyedRequest>,
}

/// What dispatch has to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct Submission {
    /// Its class, by position.
    pub class: usize,
    /// Its fingerprint: equal for a request that is sent again.
    pub fingerprint: u64,
    /// How long the caller waits, if it says so.
    pub limit: Option<Duration>,
    /// The object that it is about, hashed.
    pub object: Option<u64>,
}

/// Why a caller's request is not answered by a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of error.
    pub kind: Kind,
    /// When the caller should come back, if not after the kind's usual time.
    pub retry_after: Option<Duration>,
}

impl From<Kind> for Refusal {
    fn from(kind: Kind) -> Self {
        Self { kind, retry_after: None }
    }
}

/// What a caller's request comes to.
pub type Outcome = Result<Arc<Response>, Refusal>;

#[derive(Debug)]
struct Pending {
    outgoing: Arc<Outgoing>,
    reply: oneshot::Sender<Outcome>,
    /// When it came.
    came: Time,
}

/// An attempt under way.
#[derive(Debug)]
struct Running {
    outgoing: Arc<Outgoing>,
    begun: Time,
    task: AbortHandle,
}

/// Requests under way.
#[derive(Debug)]
pub struct Driver {
    engine: Mutex<Engine>,
    pending: Mutex<BTreeMap<u64, Pending>>,
    answers: Mutex<BTreeMap<u64, Arc<Response>>>,
    /// Attempts under way.
    running: Mutex<BTreeMap<u64, Running>>,
    next: AtomicU64,
    changed: Notify,
}

impl Driver {
    /// A driver of `engine`.
    pub const fn new(engine: Engine) -> Self {
        Self {
            engine: Mutex::new(engine),
            pending: Mutex::new(BTreeMap::new()),
            answers: Mutex::new(BTreeMap::new()),
            running: Mutex::new(BTreeMap::new()),
            next: AtomicU64::new(1),
            changed: Notify::const_new(),
        }
    }

    /// A number for a new request.
    pub fn next_request_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes a request in; its outcome comes through the receiver.
    pub fn submit(
        &self,
        context: &Arc<Context>,
        outgoing: Arc<Outgoing>,
        submission: Submission,
    ) -> oneshot::Receiver<Outcome> {
        let (reply, outcome) = oneshot::channel();
        let Submission { class, fingerprint, limit, object } = submission;
        let bytes = outgoing.body.len() as u64;
        let arrival = Arrival { request: outgoing.number, class, fingerprint, bytes, timeout: limit, object };
        stall::check(context);
        let now = context.now();
        lock(&self.pending).insert(outgoing.number, Pending { outgoing, reply, came: now });
        self.with_engine_mut(context, |engine| engine.submit(arrival, now));
        outcome
    }

    /// The caller of `request` went away.
    pub fn abandon(&self, context: &Arc<Context>, request: u64) {
        let now = context.now();
        if let Some(pending) = lock(&self.pending).remove(&request) {
            context.metrics.callers_gone.inc();
            decision_log::caller_disconnected(&pending.outgoing, now.since(pending.came));
        }
        self.with_engine_mut(context, |engine| engine.abandon(request, now));
    }

    /// An attempt ended; `whole` is its answer, if it has one.
    pub fn finish(&self, context: &Arc<Context>, attempt: u64, ending: Ending, whole: Option<Arc<Response>>) {
        stall::check(context);
        context.metrics.attempts.with_label_values(&[ending.name()]).inc();
        lock(&self.running).remove(&attempt);
        if let Some(whole) = whole {
            lock(&self.answers).insert(attempt, whole);
        }
        let now = context.now();
        self.with_engine_mut(context, |engine| engine.finish(attempt, ending, now));
        lock(&self.answers).remove(&attempt);
    }

    /// Lets `work` change the engine, then carries out what it decided.
    pub fn with_engine_mut<T>(&self, context: &Arc<Context>, work: impl FnOnce(&mut Engine) -> T) -> T {
        let mut engine = lock(&self.engine);
        let result = work(&mut engine);
        let notes = engine.take_decisions();
        let actions = engine.take_actions();
        let losses = engine.take_losses();
        context.metrics.queued.set(engine.queued() as i64);
        context.metrics.in_flight.set(engine.in_flight() as i64);
        drop(engine);
        notes.iter().for_each(|note| self.note(context, note));
        for action in actions {
            self.perform(context, action);
        }
        if !losses.is_empty() {
            crate::peers::spread_losses(context, &losses);
            crate::peers::tell_urgent(context);
        }
        self.changed.notify_one();
        result
    }

    /// Looks at the engine without changing it.
    pub fn with_engine<T>(&self, work: impl FnOnce(&Engine) -> T) -> T {
        work(&lock(&self.engine))
    }

    fn perform(&self, context: &Arc<Context>, action: Action) {
        match action {
            Action::Start { request, attempt, backend, deadline, retry, basis } => {
                let sending = attempt::Attempt { number: attempt, backend, deadline, retry };
                self.note_start(context, request, sending, basis);
                self.start(context, request, sending);
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
                        context.now().since(running.begun),
                    );
                    self.finish(context, attempt, Ending::Cancelled, None);
                }
            }
            Action::Answer { request, verdict, retry_after: after } => self.answer(request, verdict, after),
        }
    }

    /// Tells in logs and metrics where a request goes and what that rests on.
    fn note_start(&self, context: &Context, request: u64, sending: attempt::Attempt, basis: Basis) {
        let pending = lock(&self.pending).get(&request).map(|pending| (Arc::clone(&pending.outgoing), pending.came));
        let Some((outgoing, came)) = pending else { return };
        let waited = context.now().since(came);
        let again = if sending.retry { "yes" } else { "no" };
        context.metrics.sends.with_label_values(&[again, decision_log::warm_label(basis)]).inc();
        if !sending.retry {
            context.metrics.wait_time.observe(waited.as_secs_f64());
        }
        decision_log::attempt_sent(context, &outgoing, sending, waited, basis);
    }

    /// Logs what was decided or is believed now, before the requests concerned are answered.
    fn note(&self, context: &Context, note: &Decision) {
        let request = match note {
            Decision::Held { request, .. } | Decision::Refused { request, .. } => Some(*request),
            Decision::Ejected { .. }
            | Decision::Reinstated { .. }
            | Decision::Leaving { .. }
            | Decision::Paused { .. }
            | Decision::Quarantined { .. } => None,
        };
        let pending = lock(&self.pending);
        let outgoing = request.and_then(|request| pending.get(&request)).map(|pending| Arc::clone(&pending.outgoing));
        drop(pending);
        decision_log::decision(context, note, outgoing.as_ref().map_or("-", |outgoing| outgoing.id.as_str()));
    }

    fn start(&self, context: &Arc<Context>, request: u64, sending: attempt::Attempt) {
        let outgoing = lock(&self.pending).get(&request).map(|pending| Arc::clone(&pending.outgoing));
        let Some(outgoing) = outgoing else {
            return self.finish(context, sending.number, Ending::Withheld(Kind::Expired), None);
        };
        // The map is locked so that an attempt that ends at once finds itself in it.
        let mut running = lock(&self.running);
        let begun = context.now();
        let task = context.runtime.spawn(attempt::run(Arc::clone(context), Arc::clone(&outgoing), sending));
        running.insert(sending.number, Running { outgoing, begun, task: task.abort_handle() });
    }

    /// Takes in a load report that came with an answer; it is acted on when that answer is.
    pub fn record_report(&self, backend: BackendId, report: Report) {
        lock(&self.engine).record_report(backend, report);
    }

    fn answer(&self, request: u64, verdict: Verdict, after: Option<Duration>) {
        let Some(pending) = lock(&self.pending).remove(&request) else {
            return;
        };
        let outcome = match verdict {
            Verdict::Refuse(kind) => Err(Refusal { kind, retry_after: after }),
            Verdict::Relay(attempt) => lock(&self.answers).get(&attempt).cloned().ok_or(Refusal::from(Kind::Internal)),
        };
        if pending.reply.send(outcome).is_err() {
            log::debug!("dispatch: answer skipped, caller gone request={request}");
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
        let wake = driver.with_engine(Engine::next_wakeup);
        let sleep = wake.map_or(LONGEST_SLEEP, |wake| context.clock.duration_until(wake).min(LONGEST_SLEEP));
        tokio::select! {
            () = tokio::time::sleep(sleep) => {}
            () = driver.changed.notified() => {}
        }
        stall::check(context);
        let now = context.now();
        if driver.with_engine(Engine::next_wakeup).is_some_and(|wake| wake <= now) {
            driver.with_engine_mut(context, |engine| engine.tick(now));
        }
    }
}
