//! LOST: a planned stop while a client keeps a pipeline of safe requests on one connection.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client;
use crate::deploy::{self, Deployment, GRACE_S};
use crate::http;
use crate::record::{self, now};
use crate::worker::Work;

/// Requests that the client has under way at a time, at most.
const DEPTH: usize = 8;
/// Seconds from one request of the client to the next.
const PACE_S: f64 = 0.25;
const DEADLINE_MS: u64 = 6_000;
/// The route's `timeout_s`.
const TIMEOUT_S: f64 = 3.0;
/// How long after the start of the client the machine is stopped.
const STOP_AFTER_S: f64 = 3.0;
/// How many times the directory's `ttl_s` this client keeps an answer: PROTOCOL.md says that some do so.
const TTL_FACTOR: f64 = 3.0;
/// Requests sent later than this after SIGTERM are not excused by work that lasts into the end of the grace time.
const LATE_SEND_S: f64 = 3.0;

#[derive(Debug, Clone, Default)]
struct Sent {
    at: f64,
    /// Status and time of the complete answer.
    answer: Option<(u16, f64)>,
}

#[derive(Default)]
struct Pipeline {
    sent: BTreeMap<String, Sent>,
    order: Vec<String>,
    /// When the connection ended, or an answer announced its end.
    ended_at: Option<f64>,
    /// Requests that were sent behind the answer that announced the end: they count as not read.
    behind: Vec<String>,
}

pub fn run(trouble: bool) -> Option<bool> {
    let work: Work = Arc::new(|request| {
        // About a second, a little more or less from one object to the next.
        let object: u64 = request.path().rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        Duration::from_millis(950 + object * 37 % 100)
    });
    let mut deployment = Deployment::start(&deploy::config(7, &[]), &work)?;
    std::thread::sleep(Duration::from_secs(4));
    let (zone, region) = deploy::ZONES[1];
    let near = deployment.machines.iter().find(|machine| machine.zone == zone)?.directory();
    let mut resolved_at = now();
    let (mut addresses, ttl) = client::resolve(&near, region, zone)?;
    let address = addresses.first()?.clone();
    let victim = deployment.machines.iter().position(|machine| machine.front() == address)?;
    record::say(&format!("client: directory names {addresses:?} for {ttl} s, connects to {address}"));
    let stream = deploy::connect(&address)?;
    let state: Arc<Mutex<Pipeline>> = Arc::default();
    let reader = std::thread::spawn({
        let (state, stream) = (Arc::clone(&state), stream.try_clone().ok()?);
        move || read_answers(&state, stream)
    });
    let (start, mut writer) = (now(), stream);
    let (mut term_at, mut killed) = (None, false);
    let (mut object, mut next_at) = (0, now());
    // The client goes on for as long as a planned stop may last.
    while now() - start < STOP_AFTER_S + GRACE_S + 1.0 {
        if term_at.is_none() && now() - start >= STOP_AFTER_S {
            // A fresh answer, which the client keeps for three times its `ttl_s`.
            let (named, _) = client::resolve(&near, region, zone)?;
            (addresses, resolved_at) = (named, now());
            record::line(&format!("client: directory names {addresses:?}"));
            if trouble {
                deployment.signal(victim, "TERM");
            }
            term_at = Some(now());
        }
        if now() - resolved_at >= ttl * TTL_FACTOR {
            let others = deployment.machines.iter().filter(|machine| machine.front() != address);
            let named = others.filter_map(|machine| client::resolve(&machine.directory(), region, zone)).next();
            if let Some((named, _)) = named {
                (addresses, resolved_at) = (named, now());
                record::line(&format!("client: directory names {addresses:?}"));
            }
        }
        if let Some(term_at) = term_at.filter(|_| trouble) {
            if !killed && now() - term_at >= GRACE_S && !deployment.machines[victim].has_ended() {
                deployment.signal(victim, "KILL");
                killed = true;
            }
        }
        let mut pipeline = state.lock().unwrap();
        let open = pipeline.sent.values().filter(|sent| sent.answer.is_none()).count();
        if pipeline.ended_at.is_none() && open < DEPTH && now() >= next_at && addresses.contains(&address) {
            object = (object + 1) % 24;
            next_at += PACE_S;
            let id = client::new_id();
            let bytes = client::request("GET", &format!("/catalogue/{object}"), &id, DEADLINE_MS, object, b"");
            if writer.write_all(&bytes).is_ok() {
                pipeline.sent.insert(id.clone(), Sent { at: now(), answer: None });
                pipeline.order.push(id.clone());
                record::line(&format!("client sends {id}"));
            } else {
                pipeline.ended_at = Some(now());
            }
            continue;
        }
        drop(pipeline);
        std::thread::sleep(Duration::from_millis(5));
    }
    // Whatever is still under way is waited for.
    let end = now() + DEADLINE_MS as f64 / 1_000.0;
    while now() < end && !reader.is_finished() && state.lock().unwrap().sent.values().any(|sent| sent.answer.is_none()) {
        std::thread::sleep(Duration::from_millis(20));
    }
    let pipeline = state.lock().unwrap();
    judge(&deployment, &pipeline, term_at.filter(|_| trouble))
}

/// Reads the answers in the order of the requests until the connection ends.
fn read_answers(state: &Mutex<Pipeline>, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    loop {
        let answer = http::read(&mut reader);
        let mut pipeline = state.lock().unwrap();
        let Ok(Some(answer)) = answer else {
            record::line("client: the connection ended");
            pipeline.ended_at.get_or_insert(now());
            return;
        };
        let next = pipeline.order.iter().find(|id| pipeline.sent[*id].answer.is_none()).cloned();
        let Some(id) = next else {
            record::line("client: an answer to no request");
            continue;
        };
        record::line(&format!("client gets {} for {id} closes={}", answer.status(), answer.closes()));
        if let Some(sent) = pipeline.sent.get_mut(&id) {
            sent.answer = Some((answer.status(), now()));
        }
        if answer.closes() {
            pipeline.ended_at = Some(now());
            pipeline.behind =
                pipeline.sent.iter().filter(|(_, sent)| sent.answer.is_none()).map(|(id, _)| id.clone()).collect();
            return;
        }
    }
}

/// Counts the requests that the rule LOST counts.
fn judge(deployment: &Deployment, pipeline: &Pipeline, term_at: Option<f64>) -> Option<bool> {
    let ended_at = pipeline.ended_at.unwrap_or_else(now);
    let runs = deployment.runs.lock().unwrap();
    let (mut lost, mut excused) = (0, 0);
    for (id, sent) in pipeline.sent.iter().filter(|(_, sent)| sent.answer.is_none()) {
        let run = runs.get(id).and_then(|all| all.iter().rev().find(|run| run.began.is_some()));
        let Some(run) = run else { continue };
        let term = term_at.unwrap_or(0.0);
        let late_work = run.ended.is_none_or(|ended| ended >= term + GRACE_S * 5.0 / 6.0);
        let is_excused = pipeline.behind.contains(id)
            || ended_at - sent.at >= TIMEOUT_S
            || (term_at.is_some() && sent.at <= term + LATE_SEND_S && late_work);
        let began = run.began.unwrap_or_default() - term;
        record::line(&format!(
            "no answer to {id}: sent {:.3} s after SIGTERM, begun by {} at {began:.3} s, connection ended at {:.3} s, \
             excused={is_excused}",
            sent.at - term,
            run.worker,
            ended_at - term
        ));
        if is_excused { excused += 1 } else { lost += 1 }
    }
    let answered = pipeline.sent.values().filter(|sent| sent.answer.is_some()).count();
    record::say(&format!("sent {} answered {answered} lost {lost} excused {excused}", pipeline.sent.len()));
    (answered > 0).then_some(lost == 0)
}
