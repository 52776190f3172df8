//! Answers of backend servers as peers send them to each other.

use daemon::response::{Response, WireResponse};
use rstest::rstest;

fn wire(status: u16, name: &str) -> WireResponse {
    let headers = vec![(name.to_owned(), "x".to_owned())];
    WireResponse { status, headers, body: store::wire::Bytes(b"body".to_vec()) }
}

/// Fault: a peer keeps an answer whose status is none, or that is no final answer, and it is passed on to a caller who sends its
/// request again.
#[rstest]
#[case(0)]
#[case(99)]
#[case(100)]
#[case(101)]
#[case(199)]
#[case(600)]
#[case(999)]
fn a_peers_answer_with_a_status_that_is_none_is_malformed(#[case] status: u16) {
    assert!(Response::try_from(wire(status, "x-even")).is_err(), "{status}");
}

/// Guards against the same for a name that is none, and against sound answers that are refused.
#[rstest]
#[case::sound("x-even", true)]
#[case::blank("odd name", false)]
#[case::control_byte("odd\u{1}", false)]
#[case::empty("", false)]
fn a_peers_answer_has_names_that_are_valid(#[case] name: &str, #[case] valid: bool) {
    for status in [200, 404, 500, 599] {
        assert_eq!(Response::try_from(wire(status, name)).is_ok(), valid, "{status}");
    }
}
