//! A crowd of clients sends most of large bodies and stays open, on more connections than the machine takes at once. Other clients
//! try to connect.

mod common;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{BROKEN, Case, HELD, Plan, Route, Runs, Store, Work, desired_state, exchange, flag, head, ms, next_number};

/// Bytes of a body of the crowd; the operator's `limits` allow 64 MiB.
const BODY_BYTES: usize = 1 << 20;
/// Connections of the crowd.
const CROWD: usize = 2_400;
/// Bytes that each of them sends of its body.
const SENT_BYTES: usize = 8_192;
/// Clients that try to connect all the time; the rule asks for seven or more.
const CLIENTS: usize = 10;
/// Time that the pages give a connection to be established.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// `stable_window_s` of the sheet of Bayline.
const WINDOW: Duration = Duration::from_secs(3);
const ORDERS: Route<'_> =
    Route { name: "order-place", kind: "unsafe", service: "store-portal", timeout_s: 3.0, target_s: 0.4, max_attempts: 2, priority: 1 };

fn main() {
    let case = Case::new();
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.start(&case.ip(250));
    store.put("op/config", &desired_state(12, &[ORDERS], &["store-portal"], ""));
    let work = Work { slots: 3, time: ms(200), answer_bytes: 400, read_pause: Duration::ZERO, slow: None };
    common::start_workers(&case, &store, &runs, "store-portal", "mich-a", 16, &work);
    let machine = Arc::new(case.start_machine(&Plan::new("front-mich-a-1", "mich-a"), 1, &address));
    case.require(common::wait(ms(15_000), || machine.is_ready()), "the machine is not ready");
    let front = machine.front();
    let serves = || {
        let text = head("POST", "/order-place/1", &format!("first-{}", next_number()), 2_000, "Connection: close\r\n", 0);
        exchange(&front, text.as_bytes(), ms(2_000)).is_some_and(|answer| answer.status == 200)
    };
    case.require(common::wait(ms(10_000), serves), "no order is served");

    let stop = flag();
    let crowd: Vec<_> = (0..if case.trouble { 8 } else { 0 })
        .map(|_| {
            let (front, stop) = (front.clone(), Arc::clone(&stop));
            thread::spawn(move || hold(&front, CROWD / 8, &stop))
        })
        .collect();
    thread::sleep(ms(3_000));

    // When a client was last connected, or when all of them began to try.
    let last = Arc::new(Mutex::new(Instant::now()));
    let (longest, tries, connected) = (Arc::new(Mutex::new(Duration::ZERO)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (case, front, stop) = (Arc::clone(&case), front.clone(), Arc::clone(&stop));
            let (last, longest) = (Arc::clone(&last), Arc::clone(&longest));
            let (tries, connected) = (Arc::clone(&tries), Arc::clone(&connected));
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    tries.fetch_add(1, Ordering::Relaxed);
                    let result = common::connect(&front, CONNECT_LIMIT);
                    let now = Instant::now();
                    let gap = now - *common::lock(&last);
                    let mut most = common::lock(&longest);
                    *most = gap.max(*most);
                    drop(most);
                    if result.is_ok() {
                        connected.fetch_add(1, Ordering::Relaxed);
                        *common::lock(&last) = now;
                    }
                    case.record.line(&format!("connect {}", if result.is_ok() { "done" } else { "failed" }));
                    thread::sleep(ms(100));
                }
            })
        })
        .collect();
    let unready = Arc::new(AtomicUsize::new(0));
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        let ready = machine.is_ready();
        unready.fetch_add(usize::from(!ready), Ordering::Relaxed);
        case.record.line(&format!("ready {ready}"));
        thread::sleep(ms(1_000));
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().chain(crowd).for_each(|client| client.join().expect("a client does not panic"));

    let longest = *common::lock(&longest);
    let (tries, connected, unready) =
        (tries.load(Ordering::Relaxed), connected.load(Ordering::Relaxed), unready.load(Ordering::Relaxed));
    case.record.line(&format!(
        "{connected} of {tries} tries of {CLIENTS} clients connected; longest time without a connection {} ms; {unready} readiness \
questions without 200",
        longest.as_millis()
    ));
    case.end(if longest >= WINDOW && unready == 0 { BROKEN } else { HELD })
}

/// Holds `count` connections open, each with a body that is not complete; those that the machine ends are opened again.
fn hold(front: &str, count: usize, stop: &AtomicBool) {
    let mut streams: Vec<Option<TcpStream>> = (0..count).map(|_| None).collect();
    while !stop.load(Ordering::Relaxed) {
        for slot in &mut streams {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let is_open = slot.as_mut().is_some_and(|stream| {
                let read = stream.read(&mut [0; 512]);
                read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
            });
            if is_open {
                continue;
            }
            *slot = None;
            let Ok(mut stream) = common::connect(front, ms(300)) else { continue };
            let text = head("POST", "/order-place/2", &format!("large-{}", next_number()), 6_000, "", BODY_BYTES);
            let sent = stream.write_all(text.as_bytes()).and_then(|()| stream.write_all(&[b'b'; SENT_BYTES]));
            if sent.and_then(|()| stream.set_nonblocking(true)).is_ok() {
                *slot = Some(stream);
            }
        }
        thread::sleep(ms(50));
    }
}
