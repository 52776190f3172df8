//! The routing state built from instance list, membership and policy, while several of them change at once.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::time::Duration;

use base::instance::{Instance, Role, State};
use base::time::Time;
use config::configs::Settings;
use config::policy::Policy;
use daemon::adapter::Adapter;
use daemon::callers::connection::Incoming;
use daemon::callers::lookup;
use daemon::context::{Context, lock};
use daemon::instance_list::Item;
use daemon::{policies, view};
use dispatch::engine::Arrival;
use dispatch::{Action, Ending, Engine};
use fleet::Document;
use fleet::message::{Record, Snapshot, State as Standing};
use fleet::replica::Origin;
use h1::{Payload, head};
use http::{HeaderMap, Method};
use rstest::rstest;

/// Threads that refresh the routing state while a policy becomes active.
const REFRESH_THREADS: usize = 4;
const ROUNDS: u64 = 400;
const SERVERS: usize = 200;

const POLICY: &str = "[regions.r]\ndomains = [\"d\"]\n\
[classes.lookup]\nservice = \"s\"\npaths = [\"/stock\"]\nidempotent = true\nrank = 1\ntarget_ms = 100\ntarget_share = 0.99\ndeadline_ms = 2000\n";

fn server(number: usize, service: String) -> Instance {
    Instance {
        name: format!("b{number}"),
        role: Role::Backend,
        service,
        region: "r".to_owned(),
        domain: "d".to_owned(),
        address: format!("127.0.0.1:{}", 10_000 + number),
        peers: String::new(),
        operators: String::new(),
        slots: 3,
        connections: 10,
        started_at: 0,
        state: State::Live,
    }
}

fn context(runtime: &tokio::runtime::Runtime, servers: Vec<Instance>) -> Arc<Context> {
    context_of("e", Settings::default(), runtime, servers)
}

/// Returns the state of the entry instance `name` in region `r`.
fn context_of(
    name: &str,
    settings: Settings,
    runtime: &tokio::runtime::Runtime,
    servers: Vec<Instance>,
) -> Arc<Context> {
    let settings = Settings { instance: name.to_owned(), domain: "d".to_owned(), region: "r".to_owned(), ..settings };
    let context = Context::new(settings, Adapter::native(), runtime.handle().clone());
    let items = servers.into_iter().map(|server| Item::new(server, Time::ZERO)).collect();
    lock(&context.instance_list).replace(items, context.now());
    Arc::new(context)
}

/// Returns the policy of a revision; even revisions drain the server `b0`.
fn policy(revision: u64) -> Document {
    let drain = if drained(revision) { "[[drains]]\nscope = \"instance\"\nname = \"b0\"\n" } else { "" };
    Document::new(revision, format!("{POLICY}{drain}"))
}

const fn drained(revision: u64) -> bool {
    revision.is_multiple_of(2)
}

/// Fault: a refresh that runs while a policy becomes active finishes last and restores the servers of the policy
/// before.
#[test]
fn an_older_state_never_replaces_a_newer_one() {
    Policy::parse("policy", &policy(2).text).expect("the policy is valid");
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let context = context(&runtime, (0..SERVERS).map(|number| server(number, "s".to_owned())).collect());
    let mut stale = Vec::new();
    for revision in 1..=ROUNDS {
        let start = Barrier::new(REFRESH_THREADS + 1);
        std::thread::scope(|scope| {
            for _ in 0..REFRESH_THREADS {
                scope.spawn(|| {
                    start.wait();
                    view::refresh(&context);
                });
            }
            start.wait();
            assert!(policies::apply(&context, policy(revision), Origin::Peer, "test"));
        });
        let leaving =
            context.driver.with_engine(|engine| engine.backends().filter(|server| server.spec.leaving).count());
        if leaving != usize::from(drained(revision)) {
            stale.push(revision);
        }
    }
    assert_eq!(stale, [0; 0], "revisions whose drain had no effect");
}

/// Returns the policy of a revision, whose class and service exist in no other one.
fn unique_class_policy(revision: u64) -> Document {
    let class = POLICY.replace("classes.lookup", &format!("classes.c{revision}"));
    Document::new(revision, class.replace("\"s\"", &format!("\"s{revision}\"")))
}

/// Submits a request and ends the attempt that it starts; returns whether an attempt was started.
fn send(engine: &mut Engine, request: u64, class: usize, now: Time) -> bool {
    engine.submit(Arrival::new(request, class, request, 10), now);
    let started = engine.take_actions().into_iter().find_map(|action| match action {
        Action::Start { attempt, .. } => Some(attempt),
        _ => None,
    });
    started.into_iter().for_each(|attempt| engine.finish(attempt, Ending::Answered(1), now));
    engine.abandon(request, now);
    engine.take_actions();
    started.is_some()
}

/// Fault: a policy becomes active before the engine has the servers of its classes, and requests are refused.
#[test]
fn a_class_that_is_in_force_has_its_servers() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let servers = (1..=ROUNDS).map(|revision| server(revision as usize, format!("s{revision}"))).collect();
    let context = context(&runtime, servers);
    let refused = std::thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let mut refused = Vec::new();
            let mut seen = 0;
            while seen < ROUNDS {
                let active = context.policy();
                if active.version.stored.revision == seen {
                    std::hint::spin_loop();
                    continue;
                }
                seen = active.version.stored.revision;
                let class = active.class_position(&format!("c{seen}")).expect("the active policy has the class");
                let started =
                    context.driver.with_engine_mut(&context, |engine| send(engine, seen, class, context.now()));
                // A class may be refused if its policy was replaced meanwhile.
                if !started && context.policy().version.stored.revision == seen {
                    refused.push(seen);
                }
            }
            refused
        });
        for revision in 1..=ROUNDS {
            assert!(policies::apply(&context, unique_class_policy(revision), Origin::Peer, "test"));
        }
        caller.join().expect("requests of an active class do not panic")
    });
    assert_eq!(refused, [0; 0], "revisions whose class had no server yet");
}

/// Load: a large fleet in which nothing changes. Rebuilding the state a few times a second cost more than the requests.
#[test]
fn the_state_is_rebuilt_after_a_change_and_only_then() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let mut servers: Vec<Instance> = (0..9).map(|number| server(number, "s".to_owned())).collect();
    let entry = Instance { name: "e2".to_owned(), role: Role::Entry, ..server(100, String::new()) };
    servers.push(entry);
    let context = context(&runtime, servers);
    assert!(policies::apply(&context, policy(1), Origin::Peer, "test"));
    let before = context.steering();
    view::refresh(&context);
    assert!(Arc::ptr_eq(&before, &context.steering()), "nothing changed");

    let fewer = lock(&context.instance_list).items.iter().skip(1).cloned().collect();
    lock(&context.instance_list).replace(fewer, context.now());
    view::refresh(&context);
    let backends = |context: &Context| context.steering().backends.len();
    let known = context.driver.with_engine(|engine| engine.backends().count());
    assert_eq!((backends(&context), known), (8, 8), "a server left the list");

    let left = Record { name: "e2".to_owned(), state: Standing::Left, ..lock(&context.roster).own().clone() };
    lock(&context.roster).merge_snapshot(
        &Snapshot {
            records: vec![left],
            policy: None,
            leaving: Vec::new(),
            rate_limits: Vec::new(),
            has_mirror: false,
        },
        context.now(),
    );
    view::refresh(&context);
    let steering = context.steering();
    let standing = steering.view.entries().iter().find(|entry| entry.name == "e2").map(|entry| entry.standing);
    assert_eq!(standing, Some(steer::view::Standing::Out), "a member left");
}

/// Load: a store that changes all the time. Each call costs money, so calls are batched, but a change must not wait for
/// seconds.
#[rstest]
#[case::single(1, 100)]
#[case::a_few(7, 140)]
#[case::more(25, 500)]
#[case::many(300, 500)]
fn a_larger_fleet_batches_changes_for_longer(#[case] watchers: usize, #[case] ms: u64) {
    let delay = daemon::mirror::batch_delay(watchers);
    assert_eq!(delay, Duration::from_millis(ms));
}

/// Guards against budgets of hedges and retries that add up to more than all daemons may use together: each part of a
/// split fleet, or a daemon that believes all others gone, would divide the saved-up part among fewer.
#[rstest]
#[case::all_hear_each_other(&[7])]
#[case::halves(&[3, 4])]
#[case::each_alone(&[1; 7])]
fn the_parts_of_a_split_fleet_share_the_saved_up_retries(#[case] parts: &[usize]) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let daemons: usize = parts.iter().sum();
    let burst_of = |live: usize| {
        let context = context(&runtime, Vec::new());
        let record = |number: usize| {
            let state = if number < live { Standing::Alive } else { Standing::Dead };
            let record = Record::new(&format!("e{number}"), 1, &format!("127.0.0.{number}:7200"), "d");
            Record { state, ..record }
        };
        let records = (1..daemons).map(record).collect();
        let snapshot =
            Snapshot { records, policy: None, leaving: Vec::new(), rate_limits: Vec::new(), has_mirror: false };
        lock(&context.roster).merge_snapshot(&snapshot, context.now());
        view::refresh(&context);
        context.driver.with_engine(Engine::budgets).repeat_burst
    };
    let total = Settings::default().dispatch.repeat_burst;
    let used: f64 = parts.iter().map(|live| *live as f64 * burst_of(*live)).sum();
    assert!(used <= total, "{used} of {total}");
}

/// Returns an entry instance of a region with one failure domain.
fn entry(region: &str, number: usize) -> Instance {
    let (region, domain) = (region.to_owned(), format!("{region}-d"));
    Instance { name: format!("{region}{number}"), role: Role::Entry, region, domain, ..server(number, String::new()) }
}

/// Returns the policy of a revision with these regions and classes; each class has a host and the regions that it allows.
fn regional_policy(revision: u64, regions: &[&str], classes: &[(&str, &str)]) -> Document {
    let region = |name: &&str| format!("[regions.{name}]\ndomains = [\"{name}-d\"]\n");
    let class = |(number, (host, regions)): (usize, &(&str, &str))| {
        let regions: Vec<&str> = regions.split_whitespace().collect();
        format!(
            "[classes.c{number}]\nservice = \"s\"\nhost = \"{host}\"\npaths = [\"/{number}\"]\nregions = {regions:?}\n\
            idempotent = true\nrank = 1\ntarget_ms = 100\ntarget_share = 0.99\ndeadline_ms = 2000\n"
        )
    };
    let regions = regions.iter().map(region).collect::<String>();
    Document::new(revision, regions + &classes.iter().enumerate().map(class).collect::<String>())
}

/// Returns what a look-up with this query answers.
fn look_up(context: &Arc<Context>, query: &str) -> String {
    let head = head::Request {
        method: Method::GET,
        target: format!("/lookup?{query}"),
        headers: HeaderMap::new(),
        keep_alive: true,
    };
    let (peer, arrived_at) = (std::net::Ipv4Addr::LOCALHOST.into(), context.now());
    let reply = lookup::handle(context, &Incoming { head, body: Payload::default(), peer, arrived_at });
    String::from_utf8_lossy(&reply.body).into_owned()
}

/// The regions of look-ups; each has an entry instance with a number of its own, from 1.
const REGIONS: [&str; 3] = ["r", "s", "t"];

/// Tells a daemon that the entry instances of the `leaving` regions leave, those of `r` numbered 4 among them.
fn leave(context: &Arc<Context>, leaving: &str) {
    let record = |(number, region): (u64, &str)| {
        let record =
            Record::new(&format!("{region}{number}"), 1, &format!("127.0.0.{number}:7200"), &format!("{region}-d"));
        Record { state: Standing::Left, ..record }
    };
    let instances = (1..).zip(REGIONS).chain([(4, "r")]);
    let records = instances.filter(|(_, region)| leaving.contains(region)).map(record).collect();
    lock(&context.roster).merge_snapshot(&Snapshot { records, ..Snapshot::default() }, context.now());
    view::refresh(context);
}

/// Returns the regions whose entry instances numbered from 1 are in an answer.
fn named(answer: &str) -> String {
    let is_named = |number: usize| answer.contains(&entry("", number).address);
    let named: Vec<&str> =
        (1..).zip(REGIONS).filter(|(number, _)| is_named(*number)).map(|(_, region)| region).collect();
    named.join(" ")
}

/// Guards against a look-up that takes a region's position from one policy and the entry instances from another, and names those of
/// another region although the caller's own has good ones: a policy with one more region becomes active meanwhile.
#[test]
fn a_look_up_reads_regions_and_entry_instances_of_the_same_policy() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let context = context(&runtime, vec![entry("r", 1), entry("z", 2)]);
    let apply = |revision: u64| {
        let regions: &[&str] = if revision.is_multiple_of(2) { &["a", "r", "z"] } else { &["r", "z"] };
        assert!(policies::apply(&context, regional_policy(revision, regions, &[("h", "")]), Origin::Peer, "test"));
    };
    apply(1);
    let own = look_up(&context, "region=r");
    let active = AtomicBool::new(true);
    let wrong = std::thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let mut wrong = Vec::new();
            while active.load(Ordering::Relaxed) {
                wrong.extend(Some(look_up(&context, "region=r")).filter(|answer| *answer != own));
            }
            wrong
        });
        (2..=ROUNDS).for_each(apply);
        active.store(false, Ordering::Relaxed);
        caller.join().expect("look-ups do not panic")
    });
    assert_eq!(wrong, [""; 0], "answers other than {own}");
}

/// Guards against a look-up that sends callers whose region is being replaced to a region where none of their requests may run, though
/// one has good instances where they may: their requests then cross a border once more than they must.
#[rstest]
#[case::own_serves(&[("h", "t")], "", "r")]
#[case::own_leaves(&[("h", "t")], "r", "t")]
#[case::own_and_home_leave(&[("h", "t")], "r t", "s")]
#[case::all_leave_but_own(&[("h", "t")], "s t", "r")]
#[case::home_of_all_classes(&[("h", "s t"), ("h", "t")], "r", "t")]
#[case::no_home_of_all_classes(&[("h", "s"), ("h", "t")], "r", "s t")]
#[case::own_region_among_homes(&[("h", "r s")], "r", "s")]
#[case::no_homes(&[("h", "")], "r", "s t")]
#[case::a_class_without_homes(&[("h", "t"), ("h", "")], "r", "s t")]
#[case::homes_of_another_host(&[("h", ""), ("other", "t")], "r", "s t")]
#[case::class_of_any_host(&[("", "t")], "r", "t")]
fn of_other_regions_those_come_first_in_which_the_hosts_requests_may_run(
    #[case] classes: &[(&str, &str)],
    #[case] leaving: &str,
    #[case] expected: &str,
) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let context = context(&runtime, (1..).zip(REGIONS).map(|(number, region)| entry(region, number)).collect());
    assert!(policies::apply(&context, regional_policy(1, &REGIONS, classes), Origin::Peer, "test"));
    leave(&context, leaving);
    let answer = look_up(&context, "name=H.&region=r&zone=r-d");
    assert_eq!(named(&answer), expected, "{answer}");
}

/// Guards against callers that are led out of their region, or told of no instance at all, while the whole region is replaced: the
/// instances that leave know of no good one, though each takes connections for `kept_ms` after its stop began. All of region `r` leave.
#[rstest]
#[case::others_are_good("", "", 30_000, "", "r", 1)]
#[case::home_is_good("s", "", 30_000, "", "s", 30)]
#[case::soon_closed("", "", 500, "", "s t", 30)]
#[case::soon_closed_and_home("r", "", 500, "", "r", 1)]
#[case::soon_closed_and_home_leaves("s", "", 500, "s", "r", 1)]
#[case::soon_closed_and_all_leave("", "", 500, "s t", "r", 1)]
#[case::all_leave("", "", 30_000, "s t", "r", 1)]
#[case::closed_and_all_leave("", "", 0, "s t", "", 0)]
#[case::drained("", "r1", 30_000, "", "s t", 30)]
fn an_instance_that_leaves_names_itself_while_its_region_has_no_good_one(
    #[case] homes: &str,
    #[case] drained: &str,
    #[case] kept_ms: u64,
    #[case] leaving: &str,
    #[case] expected: &str,
    #[case] ttl_s: u64,
) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let mut settings = Settings::default();
    settings.callers.answer_kept_ms = kept_ms;
    let entries = (1..).zip(REGIONS).map(|(number, region)| entry(region, number)).chain([entry("r", 4)]);
    let context = context_of("r1", settings, &runtime, entries.collect());
    let drain = format!("[[drains]]\nscope = \"instance\"\nname = \"{drained}\"\n");
    let drain = if drained.is_empty() { "" } else { &drain };
    let policy = regional_policy(1, &REGIONS, &[("h", homes)]).text + drain;
    assert!(policies::apply(&context, Document::new(1, policy), Origin::Peer, "test"));
    assert!(look_up(&context, "name=h&region=r").contains(&entry("r", 4).address), "before it leaves");
    context.stop();
    lock(&context.roster).leave();
    leave(&context, &format!("r {leaving}"));
    let answer = look_up(&context, "name=h&region=r");
    assert_eq!(named(&answer), expected, "{answer}");
    assert!(!answer.contains(&entry("r", 4).address), "the other one of the region may be closed: {answer}");
    assert_eq!(answer.contains(&format!("\"ttl_s\":{ttl_s}}}")), ttl_s > 0, "{answer}");
}
