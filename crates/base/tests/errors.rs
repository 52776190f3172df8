//! The answer for every kind of error.

use std::collections::BTreeSet;

use base::error::{Kind, Outcome};

/// Kinds that arise only after a byte may have reached a backend server.
const AFTER: [Kind; 6] = [
    Kind::BackendLost,
    Kind::BackendTimeout,
    Kind::AnswerCut,
    Kind::AnswerTooLarge,
    Kind::AlreadyClaimed,
    Kind::StillRunning,
];

#[test]
fn not_run_is_answered_only_before_anything_was_sent() {
    for kind in Kind::ALL {
        let unknown = AFTER.contains(&kind) || kind == Kind::Internal;
        let expected = if unknown { Outcome::Unknown } else { Outcome::NotRun };
        assert_eq!(kind.answer().outcome, expected, "{kind}");
    }
}

#[test]
fn every_kind_has_its_own_name_and_an_error_status() {
    let names: BTreeSet<&str> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
    assert_eq!(names.len(), Kind::ALL.len());
    for kind in Kind::ALL {
        assert!((400..=599).contains(&kind.answer().status), "{kind}");
        assert!(!kind.advice().is_empty(), "{kind}");
    }
}

#[test]
fn a_refusal_for_lack_of_capacity_says_when_to_retry() {
    let full = [Kind::QueueFull, Kind::WontFinish, Kind::Expired, Kind::NoBackend, Kind::LinkFull, Kind::Shed];
    for kind in full {
        assert!(kind.answer().retry_after_s.is_some(), "{kind}");
    }
}

#[test]
fn framing_errors_close_the_connection() {
    for kind in [Kind::Malformed, Kind::AmbiguousFraming, Kind::LengthRequired, Kind::BodyTooLarge, Kind::SlowSender] {
        assert!(kind.answer().close, "{kind}: the start of the next request on the connection is unknown");
    }
}
