//! How dispatch grows with the number of backend servers known to a daemon.

use std::time::Duration;

use base::time::Time;
use dispatch::backend::{Place, Position, Spec};
use dispatch::class;
use dispatch::engine::{Arrival, Budgets, Limits};
use dispatch::{Action, Ending, Engine};

use crate::probe::{line, nanos, resident};

/// Requests in flight while another is dispatched; fewer with few servers.
const IN_FLIGHT: usize = 60;
/// Requests before the measurement.
const WARM_UP_REQUESTS: u32 = 20_000;
/// Requests in each of the measured rounds.
const MEASURED_REQUESTS: u32 = 20_000;
/// Number of objects that requests name.
const OBJECTS: u64 = 500;

fn engine(servers: u32, affinity: bool) -> Engine {
    let spec = class::Spec { affinity, ..class::Spec::new(0, Duration::from_secs(1)) };
    let limits =
        Limits { max_queued: 512, max_in_flight: 128, quarantine: Duration::from_mins(10), budgets: Budgets::DEFAULT };
    let mut engine = Engine::new(vec![spec], limits, 1);
    let server = |id| Spec {
        id,
        service: 0,
        place: Place::Domain,
        slots: 3,
        leaving: false,
        hosts: true,
        region: 0,
        slow_start: None,
        position: Position::ALONE,
    };
    engine.set_backends((0..servers).map(server).collect(), Time::from_millis(1));
    engine
}

/// Prints the measurements of dispatch; the time is that of one request, with the decisions at its arrival and at its
/// answer.
pub fn run() {
    for servers in [28, 500, 5_000, 50_000] {
        let before = resident();
        let engine = engine(servers, false);
        let bytes = resident().saturating_sub(before);
        line("dispatch, one request in and out", servers, one_request(engine, servers, None), "ns");
        line("dispatch, memory", servers, bytes as f64 / f64::from(servers), "bytes a server");
    }
    for servers in [28, 300, 3_000] {
        let engine = engine(servers, true);
        line("dispatch, one request about an object", servers, one_request(engine, servers, Some(OBJECTS)), "ns");
    }
}

/// Returns the nanoseconds that one request takes; with `objects`, each request names one of so many objects in turn.
fn one_request(mut engine: Engine, servers: u32, objects: Option<u64>) -> f64 {
    let mut in_flight = std::collections::VecDeque::new();
    let mut now = Time::from_millis(10);
    let mut next = 0_u64;
    let mut request = |_| {
        next += 1;
        now = now + Duration::from_micros(300);
        let object = objects.map(|objects| base::hash::combine(next % objects, 1));
        engine.submit(Arrival { object, ..Arrival::new(next, 0, next, 100) }, now);
        for action in engine.take_actions() {
            if let Action::Start { attempt, .. } = action {
                in_flight.push_back(attempt);
            }
        }
        if in_flight.len() > IN_FLIGHT.min(servers as usize / 2) {
            let attempt = in_flight.pop_front().unwrap_or(0);
            engine.finish(attempt, Ending::Answered(1_000), now);
            drop(engine.take_actions());
        }
    };
    (0..WARM_UP_REQUESTS).for_each(&mut request);
    nanos(MEASURED_REQUESTS, request)
}
