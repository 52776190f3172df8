//! Measures the time of one `view::refresh`, which prepares the state that look-ups and dispatch read, at several fleet
//! sizes.

use std::sync::Arc;
use std::time::Instant;

use base::instance::{Instance, Role, State};
use base::time::Time;
use config::configs::Settings;
use daemon::adapter::Adapter;
use daemon::context::{Context, lock};
use daemon::instance_list::Item;
use daemon::{policies, view};
use fleet::Document;
use fleet::message::{Record, Snapshot};
use fleet::replica::Origin;

const ROUNDS: u32 = 50;
const REGIONS: usize = 3;

fn instance(number: usize) -> Instance {
    Instance {
        name: format!("i-{number:012x}"),
        role: Role::Backend,
        service: format!("s{}", number % 2),
        region: format!("r{}", number % REGIONS),
        domain: format!("d{}", number % REGIONS),
        address: format!("10.{}.{}.1:8080", number / 250, number % 250),
        peers: String::new(),
        operators: String::new(),
        slots: 3,
        connections: 0,
        started_at: 1 + number as u64,
        state: State::Live,
    }
}

fn record(number: usize) -> Record {
    let ip = format!("10.9.{}.{}", number / 250, number % 250);
    let record = Record::new(&format!("front-{number}"), 1, &format!("{ip}:7200"), &format!("d{}", number % REGIONS));
    Record { refutations: 1, caller_address: format!("{ip}:7000"), ..record }
}

fn policy() -> String {
    let mut text = String::new();
    for region in 0..REGIONS {
        text.push_str(&format!("[regions.r{region}]\ndomains = [\"d{region}\"]\n"));
    }
    for service in 0..2 {
        text.push_str(&format!("[services.s{service}]\nstart_per_second = 2.0\n[classes.c{service}]\nservice = \"s{service}\"\npaths = [\"/{service}\"]\nidempotent = true\nrank = 1\ntarget_ms = 100\ntarget_share = 0.99\ndeadline_ms = 2000\n"));
    }
    text
}

/// Returns the mean time of a round of `work`, in milliseconds.
fn time(mut work: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (1..=ROUNDS).for_each(&mut work);
    start.elapsed().as_secs_f64() * 1e3 / f64::from(ROUNDS)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    for (daemons, servers) in [(7, 28), (30, 300), (100, 1_000), (300, 3_000)] {
        let settings = Settings {
            instance: "e".to_owned(),
            domain: "d0".to_owned(),
            region: "r0".to_owned(),
            ..Settings::default()
        };
        let context = Arc::new(Context::new(settings, Adapter::native(), runtime.handle().clone()));
        let items = (0..servers).map(|number| Item::new(instance(number), Time::ZERO)).collect();
        lock(&context.instance_list).replace(items, context.now());
        let now = context.now();
        let records = (0..daemons).map(record).collect();
        lock(&context.roster).merge_snapshot(
            &Snapshot { records, policy: None, leaving: Vec::new(), rate_limits: Vec::new(), has_mirror: false },
            now,
        );
        policies::apply(&context, Document::new(1, policy()), Origin::Peer, "example");
        let unchanged = time(|_| view::refresh(&context));
        let changed = time(|round| {
            let mut items = lock(&context.instance_list).items.to_vec();
            items[0].cold_until = Time::from_millis(u64::from(round));
            lock(&context.instance_list).replace(items, context.now());
            view::refresh(&context);
        });
        println!(
            "{daemons:4} daemons {servers:5} servers: {unchanged:7.3} ms, {changed:7.3} ms after one server changed"
        );
    }
    Ok(())
}
