//! Tests of the soak itself: the checks, the plan of faults, and the proxy.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use load::answer::Ending;
use rstest::rstest;
use soak::caller::Trace;
use soak::check::{Revisions, Runs, violations};
use soak::plan::{LinkFault, steps};
use soak::proxy::Proxy;

#[rstest]
#[case::resent_and_run_once("order k", &[Ending::Unknown, Ending::Complete], Some(1), 0)]
#[case::refused_and_not_run("order k", &[Ending::NotRun, Ending::Refused], None, 0)]
#[case::connection_broken_and_run("order k", &[Ending::Broken], Some(1), 0)]
#[case::a_lookup_may_run_again("lookup k", &[Ending::Complete], Some(2), 0)]
#[case::ran_twice("order k", &[Ending::Complete], Some(2), 1)]
#[case::refused_but_run("order k", &[Ending::Refused, Ending::NotRun], Some(1), 1)]
#[case::answer_of_another_request("lookup k", &[Ending::Foreign], None, 1)]
fn violated_guarantees_are_reported(
    #[case] name: &str,
    #[case] endings: &[Ending],
    #[case] ran: Option<u64>,
    #[case] expected: usize,
) {
    let trace = Trace::from([(name.to_owned(), endings.to_vec())]);
    let runs: Runs = ran.map(|count| ("k".to_owned(), count)).into_iter().collect();
    let violations = violations(&trace, &runs);
    assert_eq!(violations.len(), expected, "{violations:?}");
}

#[test]
fn a_revision_that_goes_back_is_reported_unless_the_daemon_was_restarted() {
    let mut revisions = Revisions::default();
    assert_eq!(revisions.record("a", 0, 5), None);
    assert_eq!(revisions.record("a", 0, 5), None);
    assert!(revisions.record("a", 0, 4).is_some());
    assert_eq!(revisions.record("a", 1, 2), None);
    assert_eq!(revisions.record("b", 0, 1), None);
}

#[test]
fn each_fault_of_a_plan_ends_and_equal_seeds_give_equal_plans() {
    let time = Duration::from_secs(20);
    for seed in 0..200 {
        let plan = steps(seed, 12, time);
        assert_eq!(plan, steps(seed, 12, time));
        assert!(plan.is_sorted_by_key(|step| step.at));
        assert!(plan.iter().all(|step| step.at <= time));
        let mut open: BTreeMap<String, i32> = BTreeMap::new();
        for step in &plan {
            *open.entry(format!("{:?}", step.fault)).or_default() += if step.starts { 1 } else { -1 };
        }
        assert!(open.values().all(|count| *count == 0), "seed {seed}: {open:?}");
    }
}

/// Returns a proxy that listens at `address`, and the client and server sides of a connection through it.
fn connect(address: &str) -> (Proxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let target = listener.local_addr().expect("the listener is bound").to_string();
    let proxy = Proxy::start(address, &target).expect("the address is free");
    let client = TcpStream::connect(address).expect("the link listens");
    let server = listener.accept().expect("the link connects").0;
    (proxy, client, server)
}

/// Reads one byte; `None` if nothing arrives within 200 ms.
fn read_byte(stream: &mut TcpStream) -> Option<std::io::Result<usize>> {
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("the option is supported");
    let read = stream.read(&mut [0]);
    let timed_out = matches!(&read, Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
    (!timed_out).then_some(read)
}

#[test]
fn a_link_holds_bytes_back_in_one_direction_until_it_is_healed() {
    let (proxy, mut client, mut server) = connect("127.0.89.1:7300");
    proxy.inject(LinkFault::BlockUpstream);
    client.write_all(b"a").expect("the link accepts it");
    server.write_all(b"b").expect("the link accepts it");
    client.set_read_timeout(None).expect("the option is supported");
    client.read_exact(&mut [0]).expect("the direction to the client is open");
    assert!(read_byte(&mut server).is_none(), "the direction to the server is blocked");
    proxy.heal();
    server.set_read_timeout(None).expect("the option is supported");
    server.read_exact(&mut [0]).expect("the byte that was held back arrives");
}

#[test]
fn a_reset_link_ends_both_sides() {
    let (proxy, mut client, mut server) = connect("127.0.89.2:7300");
    proxy.inject(LinkFault::Reset);
    for stream in [&mut client, &mut server] {
        stream.set_read_timeout(None).expect("the option is supported");
        assert!(matches!(stream.read(&mut [0]), Ok(0) | Err(_)), "the connection has ended");
    }
}

#[test]
fn a_blackholed_connection_stays_silent_after_the_link_is_healed() {
    let address = "127.0.89.3:7300";
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let proxy =
        Proxy::start(address, &listener.local_addr().expect("the listener is bound").to_string()).expect("it is free");
    let mut old = TcpStream::connect(address).expect("the link listens");
    let mut old_server = listener.accept().expect("the link connects").0;
    proxy.inject(LinkFault::Blackhole);
    proxy.heal();
    old.write_all(b"a").expect("the link accepts it");
    assert!(read_byte(&mut old_server).is_none(), "neither a byte nor an end arrives over the old connection");
    let mut new = TcpStream::connect(address).expect("the link listens");
    let mut new_server = listener.accept().expect("the link connects").0;
    new.write_all(b"b").expect("the link accepts it");
    new_server.set_read_timeout(None).expect("the option is supported");
    new_server.read_exact(&mut [0]).expect("a new connection works");
}
