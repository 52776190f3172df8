//! Tests that need real processes and sockets: killed, suspended and stopped processes under load.

mod common;

use std::time::Duration;

use common::{TIMEOUT, Testbed, flow, wait_until};
use load::answer::Ending;
use rstest::rstest;

#[rstest]
#[case("bayline", 31)]
#[case("onfot", 32)]
fn requests_of_every_class_get_complete_answers(#[case] name: &str, #[case] net: u8) {
    let mut testbed = Testbed::start(name, net);
    let mut flows = testbed.deployment.flows(100.0);
    flows.iter_mut().for_each(|flow| flow.per_second = flow.per_second.max(5.0));
    let plan = testbed.plan(flows, 3, 32);
    let tallies = testbed.load(&plan, |_| {});
    assert_eq!(tallies.len(), 4);
    for (name, tally) in tallies {
        let all: u64 = Ending::ALL.iter().map(|ending| tally.count(*ending)).sum();
        assert!(all > 0);
        assert_eq!(tally.count(Ending::Complete), all, "{name}: {:?}", tally.endings);
    }
}

#[test]
fn lookups_succeed_when_an_entry_a_backend_and_the_store_are_killed() {
    let mut testbed = Testbed::start("bayline", 33);
    let plan = testbed.plan(vec![flow("lookup", "GET", "/stock?work_ms=10", 100.0)], 9, 32);
    let (entry, backend) = (testbed.entry(0).name, testbed.backends()[0].name.clone());
    let tallies = testbed.load(&plan, |deployment| {
        for name in [entry.as_str(), backend.as_str(), "store"] {
            std::thread::sleep(Duration::from_secs(2));
            deployment.children.kill(name);
        }
    });
    let lookups = &tallies["lookup"];
    assert_eq!(lookups.endings.len(), 1, "{:?}", lookups.endings);
    assert!(lookups.count(Ending::Complete) > 0);
}

/// A daemon that was asked to stop completes its open requests, also when it is asked again while it is stopping.
#[rstest]
#[case::asked_to_stop_once(34, 1)]
#[case::asked_to_stop_three_times(42, 3)]
fn a_planned_stop_cuts_no_request(#[case] net: u8, #[case] signals: u32) {
    let mut testbed = Testbed::start("bayline", net);
    let flows = vec![
        flow("lookup", "GET", "/stock?work_ms=20", 150.0),
        flow("order", "POST", "/orders?work_ms=100", 20.0),
        flow("catalogue", "GET", "/catalogue?work_ms=3500&bytes=100000", 4.0),
    ];
    let mut plan = testbed.plan(flows, 10, 48);
    plan.resends = 0;
    let stopped = testbed.entry(3).name;
    let tallies = testbed.load(&plan, |deployment| {
        std::thread::sleep(Duration::from_secs(3));
        for _ in 0..signals {
            deployment.children.signal(&stopped, "TERM").expect("the daemon runs");
            std::thread::sleep(Duration::from_millis(400));
        }
        let code = deployment.children.wait(&stopped, TIMEOUT);
        assert_eq!(code, Some(0), "the daemon exits by itself, with success");
    });
    for (name, tally) in tallies {
        assert_eq!(tally.endings.keys().collect::<Vec<_>>(), [&Ending::Complete], "{name}: {:?}", tally.endings);
    }
}

/// Callers resend unanswered orders at other entries while one entry is dead and another suspended. No order may run a
/// second time then, nor when the suspended entry resumes.
#[test]
fn no_order_runs_twice_while_entries_are_killed_and_suspended() {
    let mut testbed = Testbed::start("bayline", 35);
    let plan = testbed.plan(vec![flow("order", "POST", "/orders?work_ms=150", 60.0)], 10, 48);
    let (killed, suspended) = (testbed.entry(1).name, testbed.entry(4).name);
    testbed.load(&plan, |deployment| {
        std::thread::sleep(Duration::from_secs(2));
        deployment.children.kill(&killed);
        std::thread::sleep(Duration::from_secs(2));
        deployment.children.signal(&suspended, "STOP").expect("the daemon runs");
        std::thread::sleep(Duration::from_secs(3));
        deployment.children.signal(&suspended, "CONT").expect("the daemon runs");
    });
    let runs = testbed.runs();
    assert!(runs.len() > 100, "only {} orders ran", runs.len());
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "ran twice: {twice:?}");
}

#[test]
fn an_order_is_answered_again_at_another_entry_and_not_run_without_the_store() {
    let testbed = Testbed::start("onfot", 36);
    let (here, there) = (testbed.entry(0).address, testbed.entry(6).address);
    let first = testbed.send(&here, "POST", "/bales?work_ms=10", Some("k1")).expect("an answer comes");
    assert_eq!((first.0, first.1.as_str()), (200, "complete"));
    let resent = testbed.send(&there, "POST", "/bales?work_ms=10", Some("k1")).expect("an answer comes");
    assert_eq!(resent, first, "the stored answer of the first run");
    let changed = testbed.send(&there, "POST", "/bales?work_ms=11", Some("k1")).expect("an answer comes");
    assert_eq!((changed.0, changed.1.as_str()), (422, "not-run"));
    let keyless = testbed.send(&here, "POST", "/bales?work_ms=10", None).expect("an answer comes");
    assert_eq!((keyless.0, keyless.1.as_str()), (428, "not-run"));
    testbed.set_faults(&testbed.deployment.store_address, "{\"down\":true}");
    let refused = testbed.send(&here, "POST", "/bales?work_ms=10", Some("k2")).expect("an answer comes");
    assert_eq!((refused.0, refused.1.as_str()), (503, "not-run"));
    let lookup = testbed.send(&here, "GET", "/stock?work_ms=10", None).expect("an answer comes");
    assert_eq!(lookup.0, 200);
    testbed.set_faults(&testbed.deployment.store_address, "{}");
    let later = testbed.send(&there, "POST", "/bales?work_ms=10", Some("k2")).expect("an answer comes");
    assert_eq!((later.0, later.1.as_str()), (200, "complete"));
    let runs = testbed.runs();
    assert_eq!((runs.get("k1"), runs.get("k2")), (Some(&1), Some(&1)));
}

#[test]
fn an_order_is_not_run_again_when_its_entry_was_killed() {
    let mut testbed = Testbed::start("bayline", 37);
    let (here, there) = (testbed.entry(0), testbed.entry(6));
    let first = testbed.send(&here.address, "POST", "/orders?work_ms=10", Some("k")).expect("an answer comes");
    assert_eq!(first.0, 200);
    testbed.deployment.children.kill(&here.name);
    let resent = testbed.send(&there.address, "POST", "/orders?work_ms=10", Some("k")).expect("an answer comes");
    assert_eq!((resent.0, resent.1.as_str()), (409, "unknown"));
    assert_eq!(testbed.runs().get("k"), Some(&1));
}

#[test]
fn a_change_reaches_every_daemon_and_survives_restarts_without_the_store() {
    let mut testbed = Testbed::start("bayline", 38);
    let store = store::Client::new(&testbed.deployment.store_address, Duration::from_secs(5))
        .expect("the client can be created");
    let done = ctl::change::edit(&store, "drain", |policy| {
        policy.drains.push(config::policy::Drain { scope: config::policy::Scope::Domain, name: "wi-b".to_owned() });
        Ok(())
    });
    let revision = done.expect("the store works").revision();
    testbed.deployment.wait_ready(revision).expect("every daemon has the change in force");
    testbed.deployment.children.kill("store");
    let domain: Vec<String> =
        testbed.deployment.entries().filter(|entry| entry.domain == "mi-a").map(|entry| entry.name.clone()).collect();
    assert_eq!(domain.len(), 2);
    for name in &domain {
        testbed.deployment.children.kill(name);
    }
    for name in &domain {
        testbed.deployment.start_daemon(name).expect("the daemon starts");
    }
    testbed.deployment.wait_ready(revision).expect("the restarted daemons get the policy from their peers");
    // Look-ups return no entry of the drained failure domain.
    let drained = testbed
        .deployment
        .entries()
        .find(|entry| entry.domain == "wi-b")
        .expect("the failure domain has an entry")
        .clone();
    let lookup =
        |address: &str| testbed.send(address, "GET", "/lookup?client=10.3.4.5", None).expect("an answer comes").2;
    let lookup_address = &testbed.deployment.lookup_addresses().expect("the settings are valid")[0];
    wait_until("no answer names the drained entry", || {
        let answer = lookup(lookup_address);
        answer.contains("entries") && !answer.contains(&drained.address)
    });
}

#[test]
fn a_silent_backend_server_is_passed_over() {
    let mut testbed = Testbed::start("bayline", 39);
    let silent: Vec<String> = testbed.backends().iter().take(4).map(|backend| backend.address.clone()).collect();
    for address in &silent {
        testbed.set_faults(address, "{\"silent\":true}");
    }
    let plan = testbed.plan(vec![flow("lookup", "GET", "/stock?work_ms=10", 60.0)], 5, 32);
    let tallies = testbed.load(&plan, |_| {});
    let lookups = &tallies["lookup"];
    assert_eq!(lookups.endings.keys().collect::<Vec<_>>(), [&Ending::Complete], "{:?}", lookups.endings);
}

#[test]
fn a_poisonous_request_crashes_at_most_two_servers() {
    let mut testbed = Testbed::start("bayline", 40);
    let entries: Vec<String> = testbed.deployment.entries().map(|entry| entry.address.clone()).collect();
    for entry in &entries {
        let answer = testbed.send(entry, "GET", "/stock?crash=1", None);
        assert!(answer.is_ok_and(|(status, _, _)| status >= 400), "the caller gets an error each time");
        // The caller sends the request again only after every daemon has quarantined it.
        let quarantined = |entry| testbed.decisions(entry).is_some_and(|state| state["poisonous"] == 1);
        wait_until("every daemon refuses the request", || testbed.deployment.entries().all(quarantined));
    }
    let backends = testbed.backends();
    let dead = backends
        .iter()
        .filter(|backend| testbed.deployment.children.wait(&backend.name, Duration::from_millis(100)).is_some());
    let dead = dead.count();
    assert!(dead >= 1, "the request crashes servers");
    assert!(dead <= 2, "{dead} servers crashed");
}

#[test]
fn with_a_hanging_store_only_orders_are_refused_and_not_run() {
    let mut testbed = Testbed::start("bayline", 41);
    // Longer than the daemons' timeout for each call.
    testbed.set_faults(&testbed.deployment.store_address, "{\"slow_ms\":3000}");
    let entry = testbed.entry(2).address;
    let refused = testbed.send(&entry, "POST", "/orders?work_ms=10", Some("k")).expect("an answer comes");
    assert_eq!((refused.0, refused.1.as_str()), (503, "not-run"));
    let plan = testbed.plan(vec![flow("lookup", "GET", "/stock?work_ms=10", 60.0)], 3, 16);
    let tallies = testbed.load(&plan, |_| {});
    let lookups = &tallies["lookup"];
    assert_eq!(lookups.endings.keys().collect::<Vec<_>>(), [&Ending::Complete], "{:?}", lookups.endings);
    testbed.set_faults(&testbed.deployment.store_address, "{}");
    let store = store::Client::new(&testbed.deployment.store_address, Duration::from_secs(5))
        .expect("the client can be created");
    let done = ctl::change::edit(&store, "after", |policy| {
        policy.classes.values_mut().for_each(|class| class.deadline_ms += 1);
        Ok(())
    });
    let revision = done.expect("the store works again").revision();
    testbed.deployment.wait_ready(revision).expect("every daemon has the change in force");
    let later = testbed.send(&entry, "POST", "/orders?work_ms=10", Some("k")).expect("an answer comes");
    assert_eq!((later.0, later.1.as_str()), (200, "complete"));
    assert_eq!(testbed.runs().get("k"), Some(&1));
}
