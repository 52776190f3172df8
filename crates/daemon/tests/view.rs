//! What is prepared from list, membership and policy, while several of them change at once.

use std::sync::{Arc, Barrier};
use std::time::Duration;

use base::instance::{Instance, Role, State};
use base::time::Time;
use config::configs::Settings;
use config::policy::Policy;
use daemon::adapter::Adapter;
use daemon::context::{Context, lock};
use daemon::instance_list::Item;
use daemon::{policies, view};
use dispatch::engine::Arrival;
use dispatch::{Action, Ending, Engine};
use fleet::Document;
use fleet::message::{Record, Snapshot, State as Standing};
use rstest::rstest;

/// Threads that prepare the state anew while a policy comes into force.
const REFRESHING: usize = 4;
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
    let settings =
        Settings { instance: "e".to_owned(), domain: "d".to_owned(), region: "r".to_owned(), ..Settings::default() };
    let context = Context::new(settings, Adapter::native(), runtime.handle().clone());
    let items = servers.into_iter().map(|server| Item::new(server, Time::ZERO)).collect();
    lock(&context.instance_list).replace(items, context.now());
    Arc::new(context)
}

/// The policy of a revision: the server `b0` is drained in each second one.
fn policy(revision: u64) -> Document {
    let drain = if drained(revision) { "[[drains]]\nscope = \"instance\"\nname = \"b0\"\n" } else { "" };
    Document::new(revision, format!("{POLICY}{drain}"))
}

const fn drained(revision: u64) -> bool {
    revision.is_multiple_of(2)
}

#[test]
fn an_older_state_never_follows_a_newer_one() {
    Policy::parse("policy", &policy(2).text).expect("the policy is good");
    let runtime = tokio::runtime::Runtime::new().expect("it starts");
    let context = context(&runtime, (0..SERVERS).map(|number| server(number, "s".to_owned())).collect());
    let mut stale = Vec::new();
    for revision in 1..=ROUNDS {
        let start = Barrier::new(REFRESHING + 1);
        std::thread::scope(|scope| {
            for _ in 0..REFRESHING {
                scope.spawn(|| {
                    start.wait();
                    view::refresh(&context);
                });
            }
            start.wait();
            assert!(policies::apply(&context, policy(revision), "test"));
        });
        let leaving =
            context.driver.with_engine(|engine| engine.backends().filter(|server| server.spec.leaving).count());
        if leaving != usize::from(drained(revision)) {
            stale.push(revision);
        }
    }
    assert_eq!(stale, [0; 0], "revisions whose drain was not in force");
}

/// The policy of a revision: its class and its service are new.
fn growing(revision: u64) -> Document {
    let class = POLICY.replace("classes.lookup", &format!("classes.c{revision}"));
    Document::new(revision, class.replace("\"s\"", &format!("\"s{revision}\"")))
}

/// Sends a request and ends what it starts; says whether anything was started.
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

#[test]
fn a_class_that_is_in_force_has_its_servers() {
    let runtime = tokio::runtime::Runtime::new().expect("it starts");
    let servers = (1..=ROUNDS).map(|revision| server(revision as usize, format!("s{revision}"))).collect();
    let context = context(&runtime, servers);
    let refused = std::thread::scope(|scope| {
        let asking = scope.spawn(|| {
            let mut refused = Vec::new();
            let mut seen = 0;
            while seen < ROUNDS {
                let in_force = context.policy();
                if in_force.revision == seen {
                    std::hint::spin_loop();
                    continue;
                }
                seen = in_force.revision;
                let class = in_force.class_position(&format!("c{seen}")).expect("it is in force");
                let started =
                    context.driver.with_engine_mut(&context, |engine| send(engine, seen, class, context.now()));
                // A class that went out of force meanwhile may get no work.
                if !started && context.policy().revision == seen {
                    refused.push(seen);
                }
            }
            refused
        });
        for revision in 1..=ROUNDS {
            assert!(policies::apply(&context, growing(revision), "test"));
        }
        asking.join().expect("a request of a class in force is no fault")
    });
    assert_eq!(refused, [0; 0], "revisions whose class had no server yet");
}

/// Load: a large fleet in which nothing changes. Going through all of it a few times a second cost more than the work.
#[test]
fn the_state_is_prepared_anew_once_something_changed_and_only_then() {
    let runtime = tokio::runtime::Runtime::new().expect("it starts");
    let mut servers: Vec<Instance> = (0..9).map(|number| server(number, "s".to_owned())).collect();
    let entry = Instance { name: "e2".to_owned(), role: Role::Entry, ..server(100, String::new()) };
    servers.push(entry);
    let context = context(&runtime, servers);
    assert!(policies::apply(&context, policy(1), "test"));
    let before = context.steering();
    view::refresh(&context);
    assert!(Arc::ptr_eq(&before, &context.steering()), "nothing changed");

    let fewer = lock(&context.instance_list).items.iter().skip(1).cloned().collect();
    lock(&context.instance_list).replace(fewer, context.now());
    view::refresh(&context);
    let backends = |context: &Context| context.steering().backends.len();
    let known = context.driver.with_engine(|engine| engine.backends().count());
    assert_eq!((backends(&context), known), (8, 8), "a server left the list");

    let gone = Record { name: "e2".to_owned(), state: Standing::Left, ..lock(&context.roster).own().clone() };
    lock(&context.roster).merge_snapshot(
        &Snapshot { records: vec![gone], policy: None, leaving: Vec::new(), has_mirror: false },
        context.now(),
    );
    view::refresh(&context);
    let steering = context.steering();
    let standing = steering.view.entries().iter().find(|entry| entry.name == "e2").map(|entry| entry.standing);
    assert_eq!(standing, Some(steer::view::Standing::Out), "a member left");
}

/// Load: a store that changes all the time. Calls are paid for, and a change must not wait for seconds.
#[rstest]
#[case::alone(1, 100)]
#[case::a_few(7, 140)]
#[case::more(25, 500)]
#[case::many(300, 500)]
fn a_larger_fleet_gathers_changes_for_longer(#[case] daemons: usize, #[case] ms: u64) {
    let gathered = daemon::mirror::gather(daemons);
    assert_eq!(gathered, Duration::from_millis(ms));
}
