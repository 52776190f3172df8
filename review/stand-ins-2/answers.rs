//! A crowd of clients sends large bodies of legal size piece by piece and stops just short of their end, while ordinary clients
//! place orders on kept connections.

mod common;

use std::io::{BufReader, Read as _, Write as _};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use common::{Answer, BROKEN, Case, HELD, Plan, Route, Runs, Store, Work, desired_state, flag, head, ms, next_number};

/// Bytes of a body of the crowd; the operator's `limits` allow 64 MiB.
const BODY_BYTES: usize = 4 << 20;
/// Clients of the crowd.
const CROWD: usize = 300;
/// Bytes of one piece of a body, and the pause after it: all of the crowd send at most 82 MB a second, less than the link carries.
const PIECE_BYTES: usize = 16_384;
const PIECE_PAUSE: Duration = Duration::from_millis(60);
/// Bytes of a worker's answer: the largest in the site file.
const ANSWER_BYTES: usize = 9_000;
/// More than three requests on kept connections may not be lost.
const MAX_LOST: usize = 3;
const ORDERS: Route<'_> =
    Route { name: "order-place", kind: "unsafe", service: "store-portal", timeout_s: 6.0, target_s: 0.4, max_attempts: 2, priority: 1 };

fn main() {
    let case = Case::new();
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.start(&case.ip(250));
    store.put("op/config", &desired_state(12, &[ORDERS], &["store-portal"], ""));
    let work = Work { slots: 3, time: ms(100), answer_bytes: ANSWER_BYTES, read_pause: Duration::ZERO, slow: None };
    common::start_workers(&case, &store, &runs, "store-portal", "mich-a", 16, &work);
    let machine = case.start_machine(&Plan::new("front-mich-a-1", "mich-a"), 1, &address);
    case.require(common::wait(ms(15_000), || machine.is_ready()), "the machine is not ready");
    let front = machine.front();

    let stop = flag();
    let lost: Arc<std::sync::Mutex<Vec<String>>> = Arc::default();
    let ordinary: Vec<_> = (0..20)
        .map(|_| {
            let (case, front, stop, lost) = (Arc::clone(&case), front.clone(), Arc::clone(&stop), Arc::clone(&lost));
            thread::spawn(move || {
                let mut kept = None;
                while !stop.load(Ordering::Relaxed) {
                    let is_kept = kept.is_some();
                    let Some(mut reader) = kept.take().or_else(|| common::connect(&front, ms(1_000)).ok().map(BufReader::new))
                    else {
                        thread::sleep(ms(50));
                        continue;
                    };
                    drop(reader.get_ref().set_read_timeout(Some(ms(6_500))));
                    let id = format!("order-{}", next_number());
                    let mut text = head("POST", "/order-place/1", &id, 6_000, "", 400).into_bytes();
                    text.resize(text.len() + 400, b'o');
                    case.record.line(&format!("send  {id} POST /order-place/1 kept={is_kept}"));
                    let answer = reader.get_mut().write_all(&text).ok().and_then(|()| Answer::read(&mut reader));
                    match answer {
                        Some(answer) => {
                            case.record.line(&format!("got   {id} {}", answer.status));
                            let closes = answer.header("connection") == Some("close");
                            kept = (!closes).then_some(reader);
                            thread::sleep(answer.retry_after().min(ms(100)));
                        }
                        None => {
                            case.record.line(&format!("none  {id} the connection ended without a complete answer, kept={is_kept}"));
                            if is_kept {
                                common::lock(&lost).push(id);
                            }
                        }
                    }
                    thread::sleep(ms(20));
                }
            })
        })
        .collect();
    thread::sleep(ms(4_000));
    let crowd = if case.trouble { CROWD } else { 0 };
    let crowd: Vec<_> = (0..crowd)
        .map(|_| {
            let (case, front, stop) = (Arc::clone(&case), front.clone(), Arc::clone(&stop));
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    send_most(&case, &front, || stop.load(Ordering::Relaxed));
                    thread::sleep(ms(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(20));
    stop.store(true, Ordering::Relaxed);
    ordinary.into_iter().chain(crowd).for_each(|client| client.join().expect("a client does not panic"));

    let all = runs.all();
    let ran = |id: &String| all.iter().any(|run| run.id == *id && run.done.is_some());
    let lost: Vec<String> = common::lock(&lost).iter().filter(|id| ran(id)).cloned().collect();
    for id in &lost {
        case.record.line(&format!("lost  {id} was run to its end by a sound worker, and its client got no answer"));
    }
    let peak_mb = machine.status_kb("VmHWM:").unwrap_or(0) / 1_024;
    let orders = all.iter().filter(|run| run.id.starts_with("order-")).count();
    case.record.line(&format!("{orders} orders ran, {} of them lost; peak {peak_mb} MB", lost.len()));
    case.require(orders > 100, "too few orders ran");
    case.end(if lost.len() > MAX_LOST { BROKEN } else { HELD })
}

/// Sends a large body piece by piece but its last byte, and stays until the machine ends the connection.
fn send_most(case: &Case, front: &str, is_over: impl Fn() -> bool) {
    let Ok(mut stream) = common::connect(front, ms(1_000)) else { return };
    drop(stream.set_write_timeout(Some(ms(2_000))));
    drop(stream.set_read_timeout(Some(ms(100))));
    let id = format!("large-{}", next_number());
    case.record.line(&format!("send  {id} POST /order-place/2, most of {BODY_BYTES} bytes"));
    if stream.write_all(head("POST", "/order-place/2", &id, 6_000, "", BODY_BYTES).as_bytes()).is_err() {
        return;
    }
    let piece = [b'b'; PIECE_BYTES];
    for _ in 0..BODY_BYTES / PIECE_BYTES - 1 {
        if is_over() || stream.write_all(&piece).is_err() {
            return;
        }
        thread::sleep(PIECE_PAUSE);
    }
    let mut byte = [0];
    while !is_over() {
        match stream.read(&mut byte) {
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            _ => return,
        }
    }
}
