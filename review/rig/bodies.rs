//! Fault: more clients than usual send bodies that the desired state allows, and the program's memory passes the limit.

use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client;
use crate::deploy::{self, Deployment};
use crate::http;
use crate::record::{self, now};
use crate::worker::Work;

/// Size of an order's body; the desired state allows 67,108,864 bytes.
const BODY_BYTES: usize = 60_000_000;
/// Bytes that a client sends a second: three of them stay below the link of 1,000 Mbit/s.
const BYTES_PER_S: f64 = 37_500_000.0;
/// Clients that send to a machine at the same time as a rule, and in a burst (1.7 times as many, rounded down).
const USUAL: usize = 2;
const BURST: usize = 3;
/// `memory_mb` of the machines, in kB.
const MEMORY_KB: u64 = 260 * 1_024;
/// Machines that get such orders, with a `memory_mb` of 260 on the sheet.
const MACHINES: [usize; 2] = [0, 4];
const ROUNDS: usize = 4;
const ROUND_S: f64 = 7.0;
/// Ends of a machine's processes from which the rule counts, and machines that have to have so many.
const ENDS: u64 = 3;

pub fn run(trouble: bool) -> Option<bool> {
    let work: Work = Arc::new(|_| Duration::from_millis(540));
    let deployment = Deployment::start(&deploy::config(7, &[]), &work)?;
    std::thread::sleep(Duration::from_secs(4));
    let fronts: Vec<String> = deployment.machines.iter().map(deploy::Machine::front).collect();
    let deployment = Arc::new(Mutex::new(deployment));
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Arc<Vec<AtomicU64>> = Arc::new((0..7).map(|_| AtomicU64::new(0)).collect());
    let peaks: Arc<Vec<AtomicU64>> = Arc::new((0..7).map(|_| AtomicU64::new(0)).collect());
    let platform = std::thread::spawn({
        let (deployment, stop, ends, peaks) =
            (Arc::clone(&deployment), Arc::clone(&stop), Arc::clone(&ends), Arc::clone(&peaks));
        move || watch_memory(&deployment, &stop, &ends, &peaks)
    });
    let (answered, failed) = (AtomicU64::new(0), AtomicU64::new(0));
    let start = now();
    for round in 0..ROUNDS {
        // The first round is a usual one in any case.
        let clients = if trouble && round > 0 { BURST } else { USUAL };
        std::thread::scope(|scope| {
            for machine in MACHINES {
                for _ in 0..clients {
                    let (address, answered, failed) = (&fronts[machine], &answered, &failed);
                    scope.spawn(move || {
                        let good = send_order(address) == Some(200);
                        if good { answered } else { failed }.fetch_add(1, Ordering::Relaxed);
                    });
                }
            }
        });
        std::thread::sleep(Duration::from_secs_f64((start + ROUND_S * (round + 1) as f64 - now()).max(0.0)));
    }
    stop.store(true, Ordering::Relaxed);
    platform.join().ok()?;
    for index in MACHINES {
        let (end, peak) = (ends[index].load(Ordering::Relaxed), peaks[index].load(Ordering::Relaxed));
        record::say(&format!("machine {index}: killed {end} times for its memory, highest seen {peak} kB of {MEMORY_KB}"));
    }
    record::say(&format!("orders answered {} failed {}", answered.load(Ordering::Relaxed), failed.load(Ordering::Relaxed)));
    let often = ends.iter().filter(|ends| ends.load(Ordering::Relaxed) >= ENDS).count();
    Some(often < MACHINES.len())
}

/// Sends one order at the client's pace; returns the status of its answer.
fn send_order(address: &str) -> Option<u16> {
    let id = client::new_id();
    let request = client::request("POST", "/orders/7", &id, 3_000, 7, &vec![b'x'; BODY_BYTES]);
    let mut stream = deploy::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    record::line(&format!("client sends {id} to {address}, {} bytes", request.len()));
    let start = now();
    let mut sent = 0;
    for part in request.chunks(1 << 20) {
        if stream.write_all(part).is_err() {
            record::line(&format!("client: connection of {id} ended while it sent"));
            return None;
        }
        sent += part.len();
        std::thread::sleep(Duration::from_secs_f64((start + sent as f64 / BYTES_PER_S - now()).max(0.0)));
    }
    let answer = http::read(&mut BufReader::new(stream)).ok().flatten();
    let status = answer.map(|answer| answer.status());
    record::line(&format!("client gets {status:?} for {id}"));
    status
}

/// Kills processes whose memory is over the limit and starts them again, as the platform does.
fn watch_memory(deployment: &Mutex<Deployment>, stop: &AtomicBool, ends: &[AtomicU64], peaks: &[AtomicU64]) {
    while !stop.load(Ordering::Relaxed) {
        for index in 0..ends.len() {
            let mut deployment = deployment.lock().unwrap();
            let Some(pid) = deployment.machines[index].pid() else { continue };
            let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
            let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
            let used: u64 = line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            peaks[index].fetch_max(used, Ordering::Relaxed);
            if used > MEMORY_KB {
                record::line(&format!("platform: {} uses {used} kB", deployment.machines[index].name));
                deployment.signal(index, "KILL");
                ends[index].fetch_add(1, Ordering::Relaxed);
                while !deployment.machines[index].has_ended() {
                    std::thread::sleep(Duration::from_millis(5));
                }
                let _ = deployment.start_machine(index, false);
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}
