//! The workers of a route are slow for some seconds, and a later version shortens the route's time-out. Then all is calm.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use common::{BROKEN, Case, HELD, Plan, Route, Runs, Store, Work, desired_state, exchange, flag, head, ms, next_number};

/// Usual time of work, and how many times as long it takes while the workers are slow.
const WORK: Duration = Duration::from_millis(500);
const SLOW: u32 = 8;
const SLOW_FOR: Duration = Duration::from_secs(9);
/// Time after the last change from which the system is in steady state: `config_apply_s` 2 and `stable_window_s` 3.
const STEADY_AFTER: Duration = Duration::from_secs(6);
const STEADY_FOR: Duration = Duration::from_secs(45);
/// Requests on later routes from which the rule counts.
const MIN_REQUESTS: usize = 20;
const LOOKUPS: Route<'_> =
    Route { name: "stock-lookup", kind: "safe", service: "store-portal", timeout_s: 2.5, target_s: 0.3, max_attempts: 3, priority: 2 };

/// The route that is added later, with one of its time-outs.
const fn pulls(timeout_s: f64) -> Route<'static> {
    Route { name: "catalogue-pull", kind: "safe", service: "dist-gateway", timeout_s, target_s: 0.8, max_attempts: 3, priority: 2 }
}

/// Requests of one route in steady state, and how many of them were served.
#[derive(Default)]
struct Count {
    sent: AtomicUsize,
    served: AtomicUsize,
}

fn main() {
    let case = Case::new();
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.start(&case.ip(250));
    let services = ["dist-gateway", "store-portal"];
    // The later route has a home: the region of the two workers that turn slow.
    let state = |version: u32, routes: &[Route<'_>]| {
        let text = desired_state(version, routes, &services, "");
        match text.find("\"name\":\"catalogue-pull\"") {
            Some(at) => text[..at].to_owned() + &text[at..].replacen("\"allowed_regions\":[]", "\"allowed_regions\":[\"mich\"]", 1),
            None => text,
        }
    };
    store.put("op/config", &state(12, &[LOOKUPS]));
    let slow = Arc::new(AtomicBool::new(false));
    let usual = Work { slots: 3, time: WORK, answer_bytes: 400, read_pause: Duration::ZERO, slow: None };
    let sometimes_slow = Work { slow: Some((Arc::clone(&slow), WORK * SLOW)), ..usual.clone() };
    for (zone, portal, gateway) in
        [("mich-a", 1, 1), ("ohio-a", 3, 2), ("ontario-a", 4, 3), ("mich-b", 1, 1), ("ohio-b", 3, 2), ("ontario-b", 4, 3)]
    {
        common::start_workers(&case, &store, &runs, "store-portal", zone, portal, &usual);
        let gateway_work = if zone.starts_with("mich") { &sometimes_slow } else { &usual };
        common::start_workers(&case, &store, &runs, "dist-gateway", zone, gateway, gateway_work);
    }
    let machine = case.start_machine(&Plan::new("front-mich-a-1", "mich-a"), 1, &address);
    case.require(common::wait(ms(15_000), || machine.is_ready()), "the machine is not ready");
    thread::sleep(ms(3_000));
    if case.trouble {
        slow.store(true, Ordering::SeqCst);
        case.record.line("slow  two of the twelve workers of dist-gateway, those in mich, work 8 times as long");
    }
    store.put("op/config", &state(13, &[LOOKUPS, pulls(6.0)]));
    case.record.line("ack   version 13 adds the route catalogue-pull with a time-out of 6 s");
    thread::sleep(ms(1_000));

    let (stop, steady) = (flag(), flag());
    let counts: [Arc<Count>; 2] = Default::default();
    let clients: Vec<_> = [("/stock-lookup/1", 2_500), ("/catalogue-pull/1", 6_000)]
        .into_iter()
        .zip(&counts)
        .flat_map(|(route, count)| (0..6).map(move |number| (route, Arc::clone(count), number)))
        .map(|((path, budget_ms), count, number)| {
            let (case, front) = (Arc::clone(&case), machine.front());
            let (stop, steady) = (Arc::clone(&stop), Arc::clone(&steady));
            thread::spawn(move || {
                thread::sleep(ms(150) * number);
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("r-{}", next_number());
                    let counted = steady.load(Ordering::Relaxed);
                    case.record.line(&format!("send  {id} GET {path}"));
                    let text = head("GET", path, &id, budget_ms, "Connection: close\r\n", 0);
                    let answer = exchange(&front, text.as_bytes(), ms(budget_ms + 500));
                    let status = answer.as_ref().map_or(0, |answer| answer.status);
                    case.record.line(&format!("got   {id} {status}"));
                    if counted {
                        count.sent.fetch_add(1, Ordering::Relaxed);
                        count.served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                    }
                    let pause = answer.map_or(Duration::ZERO, |answer| answer.retry_after());
                    thread::sleep(pause.max(ms(1_000)));
                }
            })
        })
        .collect();
    thread::sleep(SLOW_FOR - ms(1_000));
    slow.store(false, Ordering::SeqCst);
    case.record.line("slow  no worker is slow any more");
    store.put("op/config", &state(17, &[LOOKUPS, pulls(1.5)]));
    case.record.line("ack   version 17 gives catalogue-pull a time-out of 1.5 s");
    thread::sleep(STEADY_AFTER);
    steady.store(true, Ordering::Relaxed);
    case.record.line("steady state");
    thread::sleep(STEADY_FOR);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client does not panic"));

    let part = |count: &Count| count.served.load(Ordering::Relaxed) as f64 / count.sent.load(Ordering::Relaxed).max(1) as f64;
    let (first, later) = (part(&counts[0]), part(&counts[1]));
    let sent = counts[1].sent.load(Ordering::Relaxed);
    case.record.line(&format!("served in steady state: {first:.2} of the first route, {later:.2} of the later one ({sent} requests)"));
    case.require(sent >= MIN_REQUESTS, "too few requests on the later route");
    case.end(if later < first / 4.0 { BROKEN } else { HELD })
}
