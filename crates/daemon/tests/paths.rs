//! What the addresses for requests and for look-ups answer, whatever the path; real sockets.

mod common;

use std::net::TcpStream;

use common::{Harness, POLICY};
use rstest::rstest;

/// A class that covers every path, beside those of [`POLICY`].
const ALL_PATHS: &str = "[classes.rest]\nservice = \"s\"\npaths = [\"/\"]\nidempotent = false\nrank = 0\ntarget_ms = 100\ntarget_share = 0.99\ndeadline_ms = 2000\n";

/// Guards against a path of the daemons that hides a path of the operators' classes: an order to `/lookup` was answered
/// with a list of entry instances, and ran nowhere.
#[rstest]
#[case("/lookup", 62)]
#[case("/lookup/", 63)]
#[case("/lookup?client=10.0.0.1", 64)]
#[case("//lookup", 65)]
#[case("/ready", 66)]
#[case("/metrics", 67)]
#[case("/hemlockcross/resolve", 68)]
fn an_order_to_a_path_of_the_daemons_runs_at_one_server(#[case] path: &str, #[case] net: u8) {
    let harness = Harness::with_policy(net, &format!("{POLICY}{ALL_PATHS}"));
    let order = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-echo: {net}\r\nidempotency-key: k\r\ncontent-length: 0\r\n\r\n"
    );
    let answer = harness.exchange(&order);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains(&format!("echo={net}")), "{answer:?}");
    assert_eq!(harness.backend.runs().get("k"), Some(&1));
}

/// Guards against requests for work that reach a backend server through the address for look-ups, and against look-ups
/// by other methods.
#[test]
fn the_address_for_look_ups_answers_look_ups_alone() {
    let harness = Harness::with_policy(69, &format!("{POLICY}{ALL_PATHS}"));
    let served = harness.backend.served();
    let cases = [
        ("GET /lookup", "200", "entries"),
        ("GET /lookup?client=here", "400", "malformed"),
        ("GET /stock", "404", "unknown-path"),
        ("GET /lookup/", "404", "unknown-path"),
        ("GET //lookup", "404", "unknown-path"),
        ("POST /lookup", "405", "unknown-method"),
        ("OPTIONS /lookup", "405", "unknown-method"),
    ];
    for (line, status, text) in cases {
        let answer = harness.look_up(&format!(
            "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nidempotency-key: k\r\ncontent-length: 0\r\n\r\n"
        ));
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")) && answer.contains(text), "{line}: {answer:?}");
        assert_eq!(answer.contains("allow: GET, HEAD"), status == "405", "{line}: {answer:?}");
    }
    let large = harness.look_up("GET /lookup HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000\r\n\r\n");
    assert!(large.starts_with("HTTP/1.1 413"), "{large:?}");
    assert_eq!(harness.backend.served(), served, "no server is asked");
    assert_eq!(harness.backend.runs().get("k"), None);
}

/// Guards against a `HEAD` whose answer differs from that of `GET` in more than the body.
#[test]
fn a_look_up_by_head_is_one_by_get_without_the_body() {
    let harness = Harness::new(70);
    let get = harness.look_up("GET /lookup HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let head = harness.look_up("HEAD /lookup HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let (get_head, body) = get.split_once("\r\n\r\n").expect("the answer has a head");
    assert_eq!(head, format!("{get_head}\r\n\r\n"));
    assert!(get_head.contains(&format!("content-length: {}", body.len())), "{get:?}");
}

/// Load: callers hold all connections of the address for requests. Others must still learn where else they can go.
#[test]
fn look_ups_are_answered_while_callers_hold_all_other_connections() {
    let harness = Harness::new(71);
    // Twice as many as `max_connections`: the second half waits in the backlog.
    let held: Vec<TcpStream> = (0..16).map(|_| harness.connect()).collect();
    let answer = harness.look_up("GET /lookup HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    drop(held);
}
