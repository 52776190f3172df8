//! All machines lose power at the same moment, and all but those named as seeds are back at once. Later a request that crashes each
//! worker that runs it comes again and again, at one machine after the other.

mod common;

use std::collections::BTreeMap;
use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::{Answer, BROKEN, Case, HELD, Machine, Plan, Request, Route, Store, desired_state, exchange, head, ms, next_number};

/// The machines of the sheet of Bayline; the first three are the seeds.
const MACHINES: [(&str, &str); 7] = [
    ("front-mich-a-1", "mich-a"),
    ("front-ohio-a-1", "ohio-a"),
    ("front-ontario-a-1", "ontario-a"),
    ("front-mich-a-2", "mich-a"),
    ("front-mich-b-1", "mich-b"),
    ("front-ohio-b-1", "ohio-b"),
    ("front-ontario-b-1", "ontario-b"),
];
const SEEDS: usize = 3;
/// The workers of `store-portal`, by zone.
const WORKERS: [(&str, usize); 6] = [("mich-a", 1), ("ohio-a", 3), ("ontario-a", 4), ("mich-b", 1), ("ohio-b", 3), ("ontario-b", 4)];
/// Time after which a crashed worker is back.
const CRASHED_FOR: Duration = Duration::from_secs(3);
/// Time between two arrivals of the request.
const INTERVAL: Duration = Duration::from_millis(2_500);
/// `stable_window_s`, and how often the request may still reach a worker later than that after the third crash.
const WINDOW_MS: u64 = 3_000;
const MAX_LATE: usize = 3;
const LOOKUPS: Route<'_> =
    Route { name: "stock-lookup", kind: "safe", service: "store-portal", timeout_s: 2.5, target_s: 0.3, max_attempts: 3, priority: 2 };
const ORDERS: Route<'_> =
    Route { name: "order-place", kind: "unsafe", service: "store-portal", timeout_s: 3.0, target_s: 0.4, max_attempts: 2, priority: 1 };
const POISON: &str = "/order-place/poison";

/// When the request reached a worker, in milliseconds.
type Crashes = Arc<Mutex<Vec<u64>>>;

/// Starts a worker that crashes when it begins to run the request: it drops all its connections and refuses new ones for a while.
fn start_worker(case: &Arc<Case>, store: &Store, crashes: &Crashes, zone: &str, number: u8) {
    let name = format!("w-{number}");
    let registry = store.clone();
    let entry_of = {
        let zone = zone.to_owned();
        move |address: &str, cold_s: u32| {
            let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |now| now.as_millis());
            format!(
                "{{\"service\":\"store-portal\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":3,\
\"state\":\"ready\",\"cold_remaining_s\":{cold_s},\"sequence\":1,\"born\":{born}}}"
            )
        }
    };
    let entry = entry_of.clone();
    let key = format!("servers/{name}");
    let own_key = key.clone();
    let down = Arc::new(AtomicBool::new(false));
    let open: Arc<Mutex<BTreeMap<u64, TcpStream>>> = Arc::default();
    let (record, crashes, own) = (Arc::clone(&case.record), Arc::clone(crashes), name.clone());
    let address = common::listen(&case.ip(number), move |stream| {
        if down.load(Ordering::SeqCst) {
            return;
        }
        let connection = next_number();
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        common::lock(&open).insert(connection, kept);
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            if request.target == POISON {
                let own_address = reader.get_ref().local_addr().map(|address| address.to_string()).unwrap_or_default();
                common::lock(&crashes).push(record.now());
                record.line(&format!("crash {own} began to run {} and crashes", request.id()));
                down.store(true, Ordering::SeqCst);
                for (_, stream) in std::mem::take(&mut *common::lock(&open)) {
                    drop(stream.shutdown(std::net::Shutdown::Both));
                }
                thread::sleep(CRASHED_FOR);
                // It starts again under the id that it had, and is cold.
                down.store(false, Ordering::SeqCst);
                registry.put(&own_key, &entry(&own_address, 3));
                return;
            }
            thread::sleep(ms(50));
            let id = request.id();
            let text = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {id}.2\r\nServer-Load: 0,0,3\r\nContent-Length: 2\r\n\r\nok"
            );
            if writer.write_all(text.as_bytes()).is_err() {
                break;
            }
        }
        common::lock(&open).remove(&connection);
    });
    store.put(&key, &entry_of(&address, 0));
}

fn main() {
    let case = Case::new();
    let store = Store::default();
    let crashes = Crashes::default();
    let address = store.start(&case.ip(250));
    store.put("op/config", &desired_state(12, &[LOOKUPS, ORDERS], &["store-portal"], ""));
    let zones = WORKERS.iter().flat_map(|(zone, count)| std::iter::repeat_n(*zone, *count));
    zones.enumerate().for_each(|(index, zone)| start_worker(&case, &store, &crashes, zone, 100 + index as u8));
    let seeds: Vec<String> = (1..=SEEDS).map(|last| format!("{}:8146", case.ip(last as u8))).collect();
    let start = |index: usize, bootstrap: bool| {
        let (name, zone) = MACHINES[index];
        let plan = Plan { seeds: seeds.clone(), bootstrap, ..Plan::new(name, zone) };
        case.start_machine(&plan, index as u8 + 1, &address)
    };
    let mut machines: Vec<Machine> = (0..MACHINES.len()).map(|index| start(index, true)).collect();
    let ready = |machines: &[Machine]| common::wait(ms(20_000), || machines.iter().all(Machine::is_ready));
    case.require(ready(&machines), "the machines are not ready");
    thread::sleep(ms(8_000));
    if case.trouble {
        machines.iter().for_each(|machine| case.kill_machine(machine));
        case.record.line("all machines lose power");
        thread::sleep(ms(500));
        machines = (SEEDS..MACHINES.len()).map(|index| start(index, false)).collect();
        case.record.line("all but the first three are back");
    } else {
        machines.drain(..SEEDS);
    }
    case.require(ready(&machines), "the machines are not ready again");
    thread::sleep(ms(15_000));
    for machine in &machines {
        let serves = || {
            let text = head("GET", "/stock-lookup/1", &format!("calm-{}", next_number()), 2_500, "", 0);
            exchange(&machine.front(), text.as_bytes(), ms(2_500)).is_some_and(|answer| answer.status == 200)
        };
        case.require(common::wait(ms(10_000), serves), "a machine does not serve");
    }

    for round in 0..3 * machines.len() {
        let machine = &machines[round % machines.len()];
        let id = format!("poison-{round}");
        case.record.line(&format!("send  {id} POST {POISON} at {}", machine.name));
        let mut text = head("POST", POISON, &id, 3_000, "", 4).into_bytes();
        text.extend_from_slice(b"same");
        let answer: Option<Answer> = exchange(&machine.front(), &text, ms(3_500));
        case.record.line(&format!("got   {id} {}", answer.map_or(0, |answer| answer.status)));
        thread::sleep(INTERVAL);
    }
    let crashes = common::lock(&crashes).clone();
    let late = crashes.get(2).map_or(0, |third| crashes.iter().filter(|at| **at > third + WINDOW_MS).count());
    case.record.line(&format!("{} workers crashed, {late} of them later than 3 s after the third", crashes.len()));
    case.require(!crashes.is_empty(), "the request reached no worker");
    case.end(if late > MAX_LATE { BROKEN } else { HELD })
}
