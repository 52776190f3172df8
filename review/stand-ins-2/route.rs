//! A route is taken away while requests of accounts with an allotment wait for a token of it.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use common::{BROKEN, Case, HELD, Plan, Route, Runs, Store, Work, desired_state, exchange, flag, head, ms, next_number};

/// Client accounts, each with its own allotment.
const ACCOUNTS: usize = 120;
/// Requests per second that one account may send.
const RATE: f64 = 10.0;
/// Time between two requests of one account: well inside its allotment.
const INTERVAL: Duration = Duration::from_millis(250);
/// The route that is taken away; each desired state that has it names this service only.
const ORDERS: Route<'_> =
    Route { name: "order-place", kind: "unsafe", service: "store-portal", timeout_s: 3.0, target_s: 0.4, max_attempts: 2, priority: 1 };
const CATALOGUE: Route<'_> = Route {
    name: "catalogue-pull",
    kind: "safe",
    service: "dist-gateway",
    timeout_s: 6.0,
    target_s: 0.8,
    max_attempts: 3,
    priority: 2,
};
const LOOKUPS: Route<'_> =
    Route { name: "stock-lookup", kind: "safe", service: "store-portal", timeout_s: 2.5, target_s: 0.3, max_attempts: 3, priority: 2 };

fn tenants() -> String {
    let tenant = |number: usize| {
        format!(
            "{{\"name\":\"jobber-{number}\",\"api_keys\":[\"key-of-jobber-{number}\"],\"rate_per_s\":{RATE},\"burst\":10,\
\"priority\":1,\"allowed_regions\":[]}}"
        )
    };
    (0..ACCOUNTS).map(tenant).collect::<Vec<_>>().join(",")
}

fn main() {
    let case = Case::new();
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.start(&case.ip(250));
    let services = ["dist-gateway", "store-portal"];
    let state = |version: u32, routes: &[Route<'_>]| desired_state(version, routes, &services, &tenants());
    store.put("op/config", &state(12, &[CATALOGUE, ORDERS, LOOKUPS]));
    let work = Work { slots: 6, time: ms(40), answer_bytes: 400, read_pause: Duration::ZERO, slow: None };
    common::start_workers(&case, &store, &runs, "store-portal", "mich-a", 12, &work);
    common::start_workers(&case, &store, &runs, "dist-gateway", "mich-a", 6, &work);
    let machine = case.start_machine(&Plan::new("front-mich-a-1", "mich-a"), 1, &address);
    case.require(common::wait(ms(15_000), || machine.is_ready()), "the machine is not ready");
    let front = machine.front();
    let first = || {
        let id = format!("first-{}", next_number());
        let text = head("POST", "/order-place/1", &id, 3_000, "Authorization: Bearer key-of-jobber-0\r\n", 0);
        exchange(&front, text.as_bytes(), ms(3_000)).is_some_and(|answer| answer.status == 200)
    };
    case.require(common::wait(ms(30_000), first), "no order of an account is served");

    let stop = flag();
    let clients: Vec<_> = (0..ACCOUNTS)
        .map(|account| {
            let (case, front, stop) = (Arc::clone(&case), front.clone(), Arc::clone(&stop));
            thread::spawn(move || {
                thread::sleep(INTERVAL * account as u32 / ACCOUNTS as u32);
                let mut next = Instant::now();
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{account}-{}", next_number());
                    let key = format!("Authorization: Bearer key-of-jobber-{account}\r\n");
                    let text = head("POST", "/order-place/1", &id, 3_000, &key, 0);
                    case.record.line(&format!("send  {id} POST /order-place/1"));
                    let answer = exchange(&front, text.as_bytes(), ms(4_000));
                    let status = answer.as_ref().map_or(0, |answer| answer.status);
                    case.record.line(&format!("got   {id} {status}"));
                    let pause = answer.map_or(Duration::ZERO, |answer| answer.retry_after());
                    next = (next + INTERVAL).max(Instant::now() + pause);
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();
    thread::sleep(ms(8_000));
    let mut version = 13;
    for _ in 0..8 {
        // The route is taken away and comes back; without the trouble, the same desired state is written under a new number.
        if case.trouble {
            store.put("op/config", &state(version, &[CATALOGUE, LOOKUPS]));
            case.record.line("ack   the route order-place is taken away");
        } else {
            store.put("op/config", &state(version, &[CATALOGUE, ORDERS, LOOKUPS]));
        }
        thread::sleep(ms(2_500));
        store.put("op/config", &state(version + 3, &[CATALOGUE, ORDERS, LOOKUPS]));
        case.record.line("ack   the route order-place is there");
        thread::sleep(ms(2_500));
        version += 7;
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client does not panic"));

    let orders = runs.all().into_iter().filter(|run| run.path.starts_with("/order-place/"));
    let (wrong, right): (Vec<_>, Vec<_>) = orders.partition(|run| run.service != "store-portal");
    for run in &wrong {
        case.record.line(&format!("wrong {} ran at {} of {} at {} ms", run.id, run.worker, run.service, run.at));
    }
    case.record.line(&format!("{} orders ran at store-portal, {} at another service", right.len(), wrong.len()));
    case.require(right.len() > 100, "too few orders ran");
    case.end(if wrong.is_empty() { HELD } else { BROKEN })
}
