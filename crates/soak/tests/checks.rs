//! The soak's own parts: what it would find, what it plans, what its links do.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use load::answer::Ending;
use rstest::rstest;
use soak::caller::Trace;
use soak::check::{Revisions, Runs, broken};
use soak::plan::{Cut, steps};
use soak::proxy::Proxy;

#[rstest]
#[case::all_is_well("order k", &[Ending::Unknown, Ending::Complete], Some(1), 0)]
#[case::refused_and_not_run("order k", &[Ending::NotRun, Ending::Refused], None, 0)]
#[case::lost_and_run("order k", &[Ending::Broken], Some(1), 0)]
#[case::a_lookup_may_run_again("lookup k", &[Ending::Complete], Some(2), 0)]
#[case::twice("order k", &[Ending::Complete], Some(2), 1)]
#[case::untrue_refusal("order k", &[Ending::Refused, Ending::NotRun], Some(1), 1)]
#[case::crossed("lookup k", &[Ending::Foreign], None, 1)]
fn a_promise_that_is_not_kept_is_found(
    #[case] name: &str,
    #[case] endings: &[Ending],
    #[case] ran: Option<u64>,
    #[case] found: usize,
) {
    let trace = Trace::from([(name.to_owned(), endings.to_vec())]);
    let runs: Runs = ran.map(|count| ("k".to_owned(), count)).into_iter().collect();
    let broken = broken(&trace, &runs);
    assert_eq!(broken.len(), found, "{broken:?}");
}

#[test]
fn a_revision_that_goes_back_is_found_unless_the_daemon_is_a_new_one() {
    let mut revisions = Revisions::default();
    assert_eq!(revisions.note("a", 0, 5), None);
    assert_eq!(revisions.note("a", 0, 5), None);
    assert!(revisions.note("a", 0, 4).is_some());
    assert_eq!(revisions.note("a", 1, 2), None);
    assert_eq!(revisions.note("b", 0, 1), None);
}

#[test]
fn each_fault_of_a_plan_ends_and_equal_seeds_make_equal_plans() {
    let time = Duration::from_secs(20);
    for seed in 0..200 {
        let plan = steps(seed, 12, time);
        assert_eq!(plan, steps(seed, 12, time));
        assert!(plan.is_sorted_by_key(|step| step.at));
        assert!(plan.iter().all(|step| step.at <= time));
        let mut open: BTreeMap<String, i32> = BTreeMap::new();
        for step in &plan {
            *open.entry(format!("{:?}", step.trouble)).or_default() += if step.begins { 1 } else { -1 };
        }
        assert!(open.values().all(|count| *count == 0), "seed {seed}: {open:?}");
    }
}

/// A client and a server joined by a link.
fn joined(address: &str) -> (Proxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let target = listener.local_addr().expect("it is bound").to_string();
    let proxy = Proxy::start(address, &target).expect("the address is free");
    let client = TcpStream::connect(address).expect("the link listens");
    let server = listener.accept().expect("the link connects").0;
    (proxy, client, server)
}

/// Reads one byte; `None` if none comes soon.
fn byte(stream: &mut TcpStream) -> Option<std::io::Result<usize>> {
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("the option is known");
    let read = stream.read(&mut [0]);
    let silent = matches!(&read, Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
    (!silent).then_some(read)
}

#[test]
fn a_link_holds_bytes_one_way_and_passes_them_on_when_it_is_healed() {
    let (proxy, mut client, mut server) = joined("127.0.89.1:7300");
    proxy.cut(Cut::Up);
    client.write_all(b"a").expect("the link takes it");
    server.write_all(b"b").expect("the link takes it");
    client.set_read_timeout(None).expect("the option is known");
    client.read_exact(&mut [0]).expect("the way back is open");
    assert!(byte(&mut server).is_none(), "the way there is not");
    proxy.heal();
    server.set_read_timeout(None).expect("the option is known");
    server.read_exact(&mut [0]).expect("what was held back comes");
}

#[test]
fn a_reset_link_ends_both_sides() {
    let (proxy, mut client, mut server) = joined("127.0.89.2:7300");
    proxy.cut(Cut::Reset);
    for stream in [&mut client, &mut server] {
        stream.set_read_timeout(None).expect("the option is known");
        assert!(matches!(stream.read(&mut [0]), Ok(0) | Err(_)), "the connection has ended");
    }
}

#[test]
fn a_link_that_forgets_leaves_its_open_connections_silent_for_good() {
    let address = "127.0.89.3:7300";
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let proxy = Proxy::start(address, &listener.local_addr().expect("it is bound").to_string()).expect("it is free");
    let mut old = TcpStream::connect(address).expect("the link listens");
    let mut old_server = listener.accept().expect("the link connects").0;
    proxy.cut(Cut::Forget);
    proxy.heal();
    old.write_all(b"a").expect("the link takes it");
    assert!(byte(&mut old_server).is_none(), "nothing comes over the old connection, and no end");
    let mut new = TcpStream::connect(address).expect("the link listens");
    let mut new_server = listener.accept().expect("the link connects").0;
    new.write_all(b"b").expect("the link takes it");
    new_server.set_read_timeout(None).expect("the option is known");
    new_server.read_exact(&mut [0]).expect("a new connection works");
}
