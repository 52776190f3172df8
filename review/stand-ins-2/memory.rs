//! Clients send whole large bodies of legal size and leave at once. Without the trouble, the same clients wait for their answers.

mod common;

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{BROKEN, Case, HELD, Machine, Plan, Route, Runs, Store, Work, desired_state, exchange, flag, head, ms, next_number};

/// Bytes of a body of the crowd; the operator's `limits` allow 64 MiB.
const BODY_BYTES: usize = 8 << 20;
/// Time between two orders of one client of the crowd: all of them send 100 MB a second to each machine, less than its link carries.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Memory of a machine, as the sheet of Bayline has it, in megabytes.
const MEMORY_MB: u32 = 260;
/// Clients of the crowd, and ordinary clients, for each machine.
const CROWD: usize = 12;
const ORDINARY: usize = 6;
/// One machine a zone is in use; the rule is broken if the processes of two of them end three times.
const ZONES: [&str; 6] = ["mich-a", "ohio-a", "ontario-a", "mich-b", "ohio-b", "ontario-b"];
const MAX_ENDS: usize = 3;
const MIN_MACHINES: usize = 2;
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const ORDERS: Route<'_> =
    Route { name: "order-place", kind: "unsafe", service: "store-portal", timeout_s: 6.0, target_s: 0.4, max_attempts: 2, priority: 1 };

/// A machine as the platform watches it.
struct Watched {
    front: String,
    current: Mutex<Machine>,
    ends: AtomicUsize,
    peak_kb: AtomicU64,
}

fn main() {
    let case = Case::new();
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.start(&case.ip(250));
    store.put("op/config", &desired_state(12, &[ORDERS], &["store-portal"], ""));
    let work = Work { slots: 3, time: ms(540), answer_bytes: 400, read_pause: Duration::ZERO, slow: None };
    common::start_workers(&case, &store, &runs, "store-portal", "mich-a", 16, &work);
    let seeds: Vec<String> = (1..=3).map(|last| format!("{}:8146", case.ip(last))).collect();
    let start = {
        let case = Arc::clone(&case);
        move |index: usize, bootstrap: bool| {
            let name = format!("front-{}-1", ZONES[index]);
            let plan = Plan { seeds: seeds.clone(), memory_mb: MEMORY_MB, bootstrap, ..Plan::new(&name, ZONES[index]) };
            case.start_machine(&plan, index as u8 + 1, &address)
        }
    };
    let watched: Vec<Arc<Watched>> = (0..ZONES.len())
        .map(|index| {
            let machine = start(index, true);
            let front = machine.front();
            Arc::new(Watched { front, current: Mutex::new(machine), ends: AtomicUsize::new(0), peak_kb: AtomicU64::new(0) })
        })
        .collect();
    let ready = || watched.iter().all(|one| common::lock(&one.current).is_ready());
    case.require(common::wait(ms(15_000), ready), "the machines are not ready");

    // Ordinary orders, so that the machines use all slots of the workers.
    let stop = flag();
    let mut clients = Vec::new();
    for front in watched.iter().flat_map(|one| std::iter::repeat_n(one.front.clone(), ORDINARY)) {
        let (case, stop) = (Arc::clone(&case), Arc::clone(&stop));
        clients.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let id = format!("order-{}", next_number());
                let mut text = head("POST", "/order-place/1", &id, 3_000, "", 4_000).into_bytes();
                text.resize(text.len() + 4_000, b'o');
                case.record.line(&format!("send  {id} POST /order-place/1 with 4000 bytes"));
                let status = exchange(&front, &text, ms(4_000)).map_or(0, |answer| answer.status);
                case.record.line(&format!("got   {id} {status}"));
                thread::sleep(ms(100));
            }
        }));
    }
    thread::sleep(ms(6_000));

    // The platform kills a process that exceeds its machine's memory, and starts it again; the machine of this run has more.
    let watchers: Vec<_> = watched
        .iter()
        .enumerate()
        .map(|(index, one)| {
            let (case, one, start, stop) = (Arc::clone(&case), Arc::clone(one), start.clone(), Arc::clone(&stop));
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let mut machine = common::lock(&one.current);
                    let kb = machine.status_kb("VmRSS:").unwrap_or(0);
                    one.peak_kb.fetch_max(kb, Ordering::Relaxed);
                    if kb > u64::from(MEMORY_MB) * 1_024 {
                        let ends = one.ends.fetch_add(1, Ordering::Relaxed) + 1;
                        let held = kb / 1_024;
                        case.record.line(&format!("over  {} holds {held} MB of {MEMORY_MB} MB, end {ends}", machine.name));
                        case.kill_machine(&machine);
                        thread::sleep(RESTART_DELAY);
                        *machine = start(index, false);
                    }
                    drop(machine);
                    thread::sleep(ms(5));
                }
            })
        })
        .collect();
    for front in watched.iter().flat_map(|one| std::iter::repeat_n(one.front.clone(), CROWD)) {
        let (case, stop) = (Arc::clone(&case), Arc::clone(&stop));
        clients.push(thread::spawn(move || send_large(&case, &front, || stop.load(Ordering::Relaxed))));
    }
    let is_broken = || watched.iter().filter(|one| one.ends.load(Ordering::Relaxed) >= MAX_ENDS).count() >= MIN_MACHINES;
    let limit = Duration::from_secs(if case.trouble { 70 } else { 20 });
    let begin = Instant::now();
    let broken = common::wait(limit, is_broken);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().chain(watchers).for_each(|thread| thread.join().expect("a thread does not panic"));

    for one in &watched {
        let (name, ends) = (common::lock(&one.current).name.clone(), one.ends.load(Ordering::Relaxed));
        let peak_mb = one.peak_kb.load(Ordering::Relaxed) / 1_024;
        case.record.line(&format!("{name}: {ends} ends, peak {peak_mb} MB of {MEMORY_MB} MB in {} s", begin.elapsed().as_secs()));
    }
    let large = runs.all().iter().filter(|run| run.path == "/order-place/2").count();
    case.record.line(&format!("{large} large orders ran"));
    case.require(large > 0, "no large order ran");
    case.end(if broken { BROKEN } else { HELD })
}

/// Sends whole large orders one after the other.
fn send_large(case: &Case, front: &str, is_over: impl Fn() -> bool) {
    let body = vec![b'b'; BODY_BYTES];
    while !is_over() {
        let begin = Instant::now();
        let id = format!("large-{}", next_number());
        let text = head("POST", "/order-place/2", &id, 6_000, "", body.len());
        let Ok(mut stream) = common::connect(front, ms(1_000)) else {
            thread::sleep(ms(100));
            continue;
        };
        drop(stream.set_write_timeout(Some(ms(3_000))));
        drop(stream.set_read_timeout(Some(ms(7_000))));
        case.record.line(&format!("send  {id} POST /order-place/2 with {BODY_BYTES} bytes"));
        let sent = stream.write_all(text.as_bytes()).and_then(|()| stream.write_all(&body));
        if case.trouble {
            // The client leaves as soon as its last byte is sent.
            case.record.line(&format!("leave {id} sent={}", sent.is_ok()));
        } else {
            let answer = common::Answer::read(&mut std::io::BufReader::new(stream));
            case.record.line(&format!("got   {id} {}", answer.map_or(0, |answer| answer.status)));
        }
        thread::sleep(INTERVAL.saturating_sub(begin.elapsed()));
    }
}
