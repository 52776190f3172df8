//! The store client against the stand-in for the store, over sockets.

use std::time::Duration;

use fakes::store::{Faults, Running};
use store::{Change, Client, Commit, Error, Store as _};

fn start() -> (Running, Client) {
    let server = Running::start("127.0.0.1:0").expect("the stand-in starts");
    let client = Client::new(&server.address(), Duration::from_secs(5)).expect("the client can be created");
    (server, client)
}

fn committed(commit: Commit) -> u64 {
    match commit {
        Commit::Done(revision) => revision,
        Commit::Conflict => panic!("the commit should take effect"),
    }
}

#[test]
fn compare_and_swap() {
    let (_server, client) = start();
    assert_eq!(client.read("a").expect("it answers"), None);
    let first = committed(client.commit(&[Change::set("a", 0, b"1".to_vec())]).expect("it answers"));
    assert_eq!(client.commit(&[Change::set("a", 0, b"2".to_vec())]), Ok(Commit::Conflict));
    let second = committed(client.commit(&[Change::set("a", first, b"3".to_vec())]).expect("it answers"));
    assert!(second > first);
    let entry = client.read("a").expect("it answers").expect("the key exists");
    assert_eq!((entry.value.as_slice(), entry.revision), (b"3".as_slice(), second));
    let both = [Change::set("b", 0, vec![]), Change::delete("a", first)];
    assert_eq!(client.commit(&both), Ok(Commit::Conflict), "all or none");
    assert_eq!(client.list("").expect("it answers").len(), 1);
}

#[test]
fn keys_are_removed_when_their_lease_expires() {
    let (server, client) = start();
    let lease = client.grant(Duration::from_mins(1)).expect("it answers");
    committed(client.commit(&[Change::set("a/1", 0, vec![]).with_lease(lease)]).expect("it answers"));
    committed(client.commit(&[Change::set("b/1", 0, vec![])]).expect("it answers"));
    assert_eq!(client.list("a/").expect("it answers").len(), 1);
    assert_eq!(client.renew(lease), Ok(true));
    server.set_faults(Faults { lapse: true, ..Faults::default() });
    assert_eq!(client.list("a/").expect("it answers").len(), 0);
    assert_eq!(client.renew(lease), Ok(false));
    assert_eq!(client.list("b/").expect("it answers").len(), 1);
    let late = client.commit(&[Change::set("a/1", 0, vec![]).with_lease(lease)]);
    assert_eq!(late, Ok(Commit::Conflict), "a write under an expired lease takes no effect");
}

#[test]
fn a_commit_whose_answer_is_lost_is_ambiguous_and_takes_effect() {
    let (server, client) = start();
    server.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let lost = client.commit(&[Change::set("a", 0, b"1".to_vec())]);
    assert!(matches!(lost, Err(Error::Ambiguous(_))), "{lost:?}");
    assert!(client.read("a").expect("it answers").is_some());
}

#[test]
fn a_store_that_does_not_listen_is_unreachable() {
    let client = Client::new("127.0.0.1:1", Duration::from_secs(5)).expect("the client can be created");
    assert!(matches!(client.commit(&[Change::set("a", 0, vec![])]), Err(Error::Unreachable(_))));
}

#[test]
fn a_call_that_times_out_is_ambiguous() {
    let server = Running::start("127.0.0.1:0").expect("the stand-in starts");
    let client = Client::new(&server.address(), Duration::from_millis(100)).expect("the client can be created");
    server.set_faults(Faults { slow_ms: 2_000, ..Faults::default() });
    assert!(matches!(client.read("a"), Err(Error::Ambiguous(_))));
}

#[test]
fn a_value_over_a_megabyte_is_refused() {
    let (_server, client) = start();
    let large = client.commit(&[Change::set("a", 0, vec![0; (1 << 20) + 1])]);
    assert!(matches!(large, Err(Error::Refused(_))), "{large:?}");
}
