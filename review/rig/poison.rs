//! BUDGET: a request that was answered before crashes, from some moment on, each worker that runs it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client;
use crate::deploy::{self, Deployment};
use crate::http::Message;
use crate::record::{self, now};
use crate::worker::{Crashes, Work};

/// The object that one caller alone asks for, and whose requests crash workers from some moment on.
const OBJECT: u64 = 7;
/// Objects of the route, as in the site file.
const OBJECTS: u64 = 24;
/// Requests a second of the other callers, as on the sheet.
const PER_S: f64 = 84.0;
const DEADLINE_MS: u64 = 2_500;
/// How long a crashed worker is down.
const DOWN_S: f64 = 2.0;
const STABLE_WINDOW_S: f64 = 3.0;
/// How often the caller sends its request again.
const AGAIN_S: f64 = 0.5;
/// How long it is answered before its request begins to crash workers.
const GOOD_S: f64 = 5.0;
/// How long it sends its request again after that.
const LENGTH_S: f64 = 25.0;
/// Retries that the rule allows.
const ALLOWED: usize = 3;

pub fn run(trouble: bool) -> Option<bool> {
    let work: Work = Arc::new(|_| Duration::from_millis(100));
    let path = format!("/stock/{OBJECT}");
    let (poisonous, spoilt) = (path.clone(), Arc::new(AtomicBool::new(false)));
    let is_spoilt = Arc::clone(&spoilt);
    let crashes: Crashes =
        Arc::new(move |request: &Message| is_spoilt.load(Ordering::SeqCst) && request.path() == poisonous);
    let deployment = Arc::new(Deployment::start_with(&deploy::config(7, &[]), &work, &crashes)?);
    std::thread::sleep(Duration::from_secs(4));
    let fronts: Vec<String> = deployment.machines.iter().map(deploy::Machine::front).collect();
    let (stop, answered, failed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    // The other callers, evenly spread over machines and objects.
    let callers = 42;
    for number in 0..callers {
        let (fronts, stop, answered, failed) =
            (fronts.clone(), Arc::clone(&stop), Arc::clone(&answered), Arc::clone(&failed));
        threads.push(std::thread::spawn(move || {
            let mut turn = number;
            std::thread::sleep(Duration::from_secs_f64(number as f64 / PER_S));
            while !stop.load(Ordering::Relaxed) {
                // All objects but the one.
                let object = (OBJECT + 1 + turn % (OBJECTS - 1)) % OBJECTS;
                let address = &fronts[(turn / OBJECTS + number) as usize % fronts.len()];
                let target = format!("/stock/{object}");
                let request = client::request("GET", &target, &client::new_id(), DEADLINE_MS, object, b"");
                let answer = client::once(address, &request, Duration::from_millis(DEADLINE_MS));
                let good = answer.is_some_and(|answer| answer.status() == 200);
                if good { &answered } else { &failed }.fetch_add(1, Ordering::Relaxed);
                turn += 5;
                std::thread::sleep(Duration::from_secs_f64((callers as f64 / PER_S - 0.1).max(0.0)));
            }
        }));
    }
    // Crashed workers come back.
    threads.push(std::thread::spawn({
        let (deployment, stop) = (Arc::clone(&deployment), Arc::clone(&stop));
        move || {
            let down: Mutex<Vec<Option<f64>>> = Mutex::new(vec![None; deployment.workers.len()]);
            while !stop.load(Ordering::Relaxed) {
                for (index, worker) in deployment.workers.iter().enumerate() {
                    let since = &mut down.lock().unwrap()[index];
                    if worker.is_down() && now() - *since.get_or_insert_with(now) >= DOWN_S {
                        *since = None;
                        deployment.restart_worker(index);
                    }
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }));
    std::thread::sleep(Duration::from_secs(1));
    let (zone, region) = deploy::ZONES[1];
    let near = deployment.machines.iter().find(|machine| machine.zone == zone)?.directory();
    let (start, mut sent, mut turn) = (now(), Vec::new(), 0);
    while now() - start < GOOD_S + LENGTH_S {
        let at = now();
        if trouble && at - start >= GOOD_S && !spoilt.swap(true, Ordering::SeqCst) {
            record::line("from now on the request crashes the workers that run it");
        }
        let (addresses, _) = client::resolve(&near, region, zone)?;
        let address = &addresses[turn % addresses.len()];
        turn += 1;
        // One retry after a failure that is no refusal, as the sheet gives for this route.
        for _ in 0..2 {
            let id = client::new_id();
            let request = client::request("GET", &path, &id, DEADLINE_MS, OBJECT, b"");
            let sent_at = now();
            let answer = client::once(address, &request, Duration::from_millis(DEADLINE_MS));
            let status = answer.map_or(0, |answer| answer.status());
            record::line(&format!("caller sends {path} {id} to {address}: status={status}"));
            if spoilt.load(Ordering::SeqCst) {
                sent.push((id, sent_at));
            }
            if status == 200 || status == 503 {
                break;
            }
        }
        std::thread::sleep(Duration::from_secs_f64((at + AGAIN_S - now()).max(0.0)));
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let runs = deployment.runs.lock().unwrap();
    let mut crashes: Vec<f64> = deployment.workers.iter().flat_map(|worker| worker.crashes()).collect();
    crashes.sort_by(f64::total_cmp);
    let third = crashes.get(2).copied();
    // Only requests that a worker began to run are counted.
    let has_run = |id: &String| runs.get(id).is_some_and(|all| all.iter().any(|run| run.began.is_some()));
    let late = third.map_or(0, |third| sent.iter().filter(|(id, at)| *at > third + STABLE_WINDOW_S && has_run(id)).count());
    record::say(&format!(
        "others: answered {} failed {}; the request: sent {} reached workers {} crashes {}; reached workers in {late} \
         retries sent later than {STABLE_WINDOW_S} s after the third crash, {ALLOWED} are allowed",
        answered.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed),
        sent.len(),
        sent.iter().filter(|(id, _)| has_run(id)).count(),
        crashes.len(),
    ));
    Some(late <= ALLOWED)
}
