//! All machines but one are lost for good at the same moment; the directory of the one that is left is asked all the time.

mod common;

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use common::{BROKEN, Case, HELD, Machine, Plan, Route, Runs, Store, Work, desired_state, exchange, ms};

/// `stable_window_s` of the sheet of Bayline, and what the rule adds to it.
const NAMED_LIMIT: Duration = Duration::from_secs(3 + 3);
/// More than three answers may not name a machine that is lost for longer.
const MAX_STALE: usize = 3;
/// Machines in each zone: those of the site file with its spare ones.
const ZONES: [(&str, usize); 6] =
    [("mich-a", 3), ("ohio-a", 2), ("ontario-a", 2), ("mich-b", 2), ("ohio-b", 2), ("ontario-b", 2)];
const ORDERS: Route<'_> =
    Route { name: "order-place", kind: "unsafe", service: "store-portal", timeout_s: 3.0, target_s: 0.4, max_attempts: 2, priority: 1 };

fn main() {
    let case = Case::new();
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.start(&case.ip(250));
    store.put("op/config", &desired_state(12, &[ORDERS], &["store-portal"], ""));
    let work = Work { slots: 3, time: ms(100), answer_bytes: 400, read_pause: Duration::ZERO, slow: None };
    common::start_workers(&case, &store, &runs, "store-portal", "mich-a", 4, &work);
    let seeds: Vec<String> = (1..=3).map(|last| format!("{}:8146", case.ip(last))).collect();
    let mut machines: Vec<Machine> = Vec::new();
    for (zone, count) in ZONES {
        for number in 1..=count {
            let plan = Plan { seeds: seeds.clone(), ..Plan::new(&format!("front-{zone}-{number}"), zone) };
            machines.push(case.start_machine(&plan, machines.len() as u8 + 1, &address));
        }
    }
    let all_ready = || machines.iter().all(Machine::is_ready);
    case.require(common::wait(ms(20_000), all_ready), "the machines are not ready");
    let survivor = &machines[0];
    let in_region = machines.iter().filter(|machine| machine.name.contains("mich")).count();
    let knows_all = || named(survivor).is_some_and(|named| named.len() == in_region);
    case.require(common::wait(ms(30_000), knows_all), "the directory does not name the machines of its region");
    thread::sleep(ms(6_000));

    let lost: BTreeSet<String> =
        if case.trouble { machines[1..].iter().map(Machine::front).collect() } else { BTreeSet::new() };
    let begin = Instant::now();
    if case.trouble {
        machines[1..].iter().for_each(|machine| case.kill_machine(machine));
        case.record.line("all machines but front-mich-a-1 are killed and do not come back");
    }
    let (mut stale, mut asked) = (0, 0);
    while begin.elapsed() < Duration::from_secs(25) {
        let Some(named) = named(survivor) else {
            thread::sleep(ms(100));
            continue;
        };
        asked += 1;
        let gone = named.iter().filter(|address| lost.contains(*address)).count();
        let late = begin.elapsed() > NAMED_LIMIT && gone > 0 && named.contains(&survivor.front());
        stale += usize::from(late);
        case.record.line(&format!(
            "{} ms after the loss: {} named, {gone} of them lost{}",
            begin.elapsed().as_millis(),
            named.len(),
            if late { ", too late" } else { "" }
        ));
        thread::sleep(ms(200));
    }
    case.record.line(&format!("{asked} answers, {stale} of them name a lost machine later than {} s", NAMED_LIMIT.as_secs()));
    case.require(asked > 50, "the directory does not answer");
    case.end(if stale > MAX_STALE { BROKEN } else { HELD })
}

/// The addresses that a machine's directory names to a client of its own region.
fn named(machine: &Machine) -> Option<BTreeSet<String>> {
    let text = "GET /lookup?name=shop.example&region=mich&zone=mich-a HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n";
    let answer = exchange(&format!("{}:8143", machine.ip), text.as_bytes(), ms(1_000)).filter(|answer| answer.status == 200)?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let list = body.split('[').nth(1)?.split(']').next()?.to_owned();
    Some(list.split(',').map(|address| address.trim_matches('"').to_owned()).filter(|address| !address.is_empty()).collect())
}
