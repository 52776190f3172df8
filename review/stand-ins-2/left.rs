//! A crowd of clients sends most of large bodies and stays open, on as many connections as the machine takes. Ordinary clients
//! whose orders aren't read leave when their time is over.

mod common;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use common::{Answer, BROKEN, Case, HELD, Plan, Route, Runs, Store, Work, desired_state, exchange, flag, head, ms, next_number};

/// Bytes of a body of the crowd; the operator's `limits` allow 64 MiB.
const BODY_BYTES: usize = 1 << 20;
/// Connections of the crowd: more than the machine takes at its address for clients.
const CROWD: usize = 2_100;
/// Bytes that each of them sends of its body.
const SENT_BYTES: usize = 8_192;
/// Ordinary clients, and how long each waits for its answer.
const ORDINARY: usize = 20;
const DEADLINE_MS: u64 = 2_000;
/// How long after a client has left a request may still reach a worker, and how many may do so all the same.
const LEFT_LIMIT_MS: u64 = 500;
const MAX_LATE: usize = 5;
const ORDERS: Route<'_> =
    Route { name: "order-place", kind: "unsafe", service: "store-portal", timeout_s: 3.0, target_s: 0.4, max_attempts: 2, priority: 1 };

fn main() {
    let case = Case::new();
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.start(&case.ip(250));
    store.put("op/config", &desired_state(12, &[ORDERS], &["store-portal"], ""));
    let work = Work { slots: 3, time: ms(200), answer_bytes: 400, read_pause: Duration::ZERO, slow: None };
    common::start_workers(&case, &store, &runs, "store-portal", "mich-a", 16, &work);
    let machine = case.start_machine(&Plan::new("front-mich-a-1", "mich-a"), 1, &address);
    case.require(common::wait(ms(15_000), || machine.is_ready()), "the machine is not ready");
    let front = machine.front();
    let order = |id: &str| head("POST", "/order-place/1", id, DEADLINE_MS, "Connection: close\r\n", 0);
    let serves = || exchange(&front, order(&format!("first-{}", next_number())).as_bytes(), ms(2_000)).is_some_and(|a| a.status == 200);
    case.require(common::wait(ms(10_000), serves), "no order is served");

    let stop = flag();
    let open = Arc::new(AtomicUsize::new(0));
    let crowd = if case.trouble { CROWD } else { 0 };
    let crowd: Vec<_> = (0..8)
        .map(|part| {
            let (front, stop, open) = (front.clone(), Arc::clone(&stop), Arc::clone(&open));
            thread::spawn(move || hold(&front, crowd * (part + 1) / 8 - crowd * part / 8, &open, || stop.load(Ordering::Relaxed)))
        })
        .collect();
    let is_full = || open.load(Ordering::Relaxed) + 100 >= crowd_size(&case);
    case.require(common::wait(ms(10_000), is_full), "the crowd is not connected");
    case.record.line(&format!("crowd of {} connections", open.load(Ordering::Relaxed)));

    let left: Arc<std::sync::Mutex<Vec<(String, u64)>>> = Arc::default();
    let answered = Arc::new(AtomicUsize::new(0));
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|_| {
            let (case, front, stop) = (Arc::clone(&case), front.clone(), Arc::clone(&stop));
            let (left, answered) = (Arc::clone(&left), Arc::clone(&answered));
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("order-{}", next_number());
                    let Ok(mut stream) = common::connect(&front, ms(1_000)) else {
                        case.record.line(&format!("no connection for {id}"));
                        continue;
                    };
                    case.record.line(&format!("send  {id} POST /order-place/1"));
                    drop(stream.set_read_timeout(Some(ms(DEADLINE_MS))));
                    let text = head("POST", "/order-place/1", &id, DEADLINE_MS, "Connection: close\r\n", 0);
                    let sent = stream.write_all(text.as_bytes()).is_ok();
                    match Answer::read(&mut std::io::BufReader::new(&mut stream)).filter(|_| sent) {
                        Some(answer) => {
                            answered.fetch_add(1, Ordering::Relaxed);
                            case.record.line(&format!("got   {id} {}", answer.status));
                        }
                        None => {
                            drop(stream);
                            common::lock(&left).push((id.clone(), case.record.now()));
                            case.record.line(&format!("leave {id}, its time is over"));
                        }
                    }
                    thread::sleep(ms(200));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(25));
    stop.store(true, Ordering::Relaxed);
    ordinary.into_iter().chain(crowd).for_each(|client| client.join().expect("a client does not panic"));
    thread::sleep(ms(3_000));

    let all = runs.all();
    let late: Vec<String> = common::lock(&left)
        .iter()
        .filter_map(|(id, at)| {
            let run = all.iter().find(|run| run.id == *id && run.at > at + LEFT_LIMIT_MS)?;
            Some(format!("late  {id} reached {} {} ms after its client had left", run.worker, run.at - at))
        })
        .collect();
    late.iter().for_each(|line| case.record.line(line));
    let (left, answered) = (common::lock(&left).len(), answered.load(Ordering::Relaxed));
    case.record.line(&format!("{answered} orders answered, {left} given up, {} of these ran late", late.len()));
    case.end(if late.len() > MAX_LATE { BROKEN } else { HELD })
}

fn crowd_size(case: &Case) -> usize {
    if case.trouble { CROWD } else { 100 }
}

/// Holds `count` connections open, each with a body that is not complete; those that the machine ends are opened again.
fn hold(front: &str, count: usize, open: &AtomicUsize, is_over: impl Fn() -> bool) {
    let mut streams: Vec<Option<TcpStream>> = (0..count).map(|_| None).collect();
    open.fetch_add(usize::from(count == 0) * 100, Ordering::Relaxed);
    while !is_over() {
        for slot in &mut streams {
            if is_over() {
                return;
            }
            let is_open = slot.as_mut().is_some_and(|stream| {
                let read = stream.read(&mut [0; 512]);
                read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
            });
            if is_open {
                continue;
            }
            open.fetch_sub(usize::from(slot.take().is_some()), Ordering::Relaxed);
            let Ok(mut stream) = common::connect(front, ms(300)) else { continue };
            let text = head("POST", "/order-place/2", &format!("large-{}", next_number()), 6_000, "", BODY_BYTES);
            let sent = stream.write_all(text.as_bytes()).and_then(|()| stream.write_all(&[b'b'; SENT_BYTES]));
            if sent.and_then(|()| stream.set_nonblocking(true)).is_ok() {
                open.fetch_add(1, Ordering::Relaxed);
                *slot = Some(stream);
            }
        }
        thread::sleep(ms(50));
    }
}
