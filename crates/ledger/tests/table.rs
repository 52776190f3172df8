//! The keys of one daemon: what each state means for a request that is sent again.

use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use ledger::acquire::{Outcome, Status};
use ledger::cache::Cache;
use ledger::table::{Admission, Ledger, Limits};
use rstest::rstest;

const KEY: u128 = 5;
const FINGERPRINT: u64 = 9;
const NOW: Time = Time::from_millis(1_000);
const LIMITS: Limits = Limits { retention: Duration::from_secs(10), max_session_keys: 2, max_answer_bytes: 100 };

fn running() -> Ledger<u32> {
    let mut ledger = Ledger::new(LIMITS);
    assert_eq!(ledger.begin(KEY, FINGERPRINT, false, NOW), Admission::Claim);
    ledger.record_claim_sent(KEY);
    assert_eq!(ledger.finish_claim(KEY, Outcome::Acquired(1), NOW), Admission::Run);
    ledger
}

#[rstest]
#[case::acquired(Outcome::Acquired(3), Admission::Run)]
#[case::ran_elsewhere(Outcome::Ran(7), Admission::Replay(7))]
#[case::runs_elsewhere(Outcome::Running, Admission::Refuse(Kind::StillRunning))]
#[case::claimant_unknown(Outcome::Unknown, Admission::Refuse(Kind::AlreadyClaimed))]
#[case::another_request(Outcome::KeyReused, Admission::Refuse(Kind::KeyReused))]
#[case::store_down(Outcome::Unavailable, Admission::Refuse(Kind::ClaimUnavailable))]
fn an_outcome_of_a_claim_decides_what_to_do(#[case] outcome: Outcome<u32>, #[case] admission: Admission<u32>) {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(KEY, FINGERPRINT, false, NOW);
    ledger.record_claim_sent(KEY);
    assert_eq!(ledger.finish_claim(KEY, outcome, NOW), admission);
}

#[test]
fn a_resend_while_running_is_refused() {
    let mut ledger = running();
    assert_eq!(ledger.begin(KEY, FINGERPRINT, false, NOW), Admission::Refuse(Kind::StillRunning));
    assert_eq!(ledger.status(KEY, NOW), Status::Running);
}

#[test]
fn a_resend_after_success_gets_the_same_answer() {
    let mut ledger = running();
    ledger.record_answer(KEY, 42, 10, NOW);
    assert_eq!(ledger.begin(KEY, FINGERPRINT, false, NOW), Admission::Replay(42));
    assert_eq!(ledger.status(KEY, NOW), Status::Ran(42));
}

#[test]
fn a_key_reused_for_another_request_is_refused() {
    let mut ledger = running();
    assert_eq!(ledger.begin(KEY, FINGERPRINT + 1, false, NOW), Admission::Refuse(Kind::KeyReused));
}

#[rstest]
#[case(Kind::BackendLost)]
#[case(Kind::BackendTimeout)]
#[case(Kind::AnswerCut)]
#[case(Kind::AnswerTooLarge)]
fn an_unknown_outcome_is_never_run_again(#[case] kind: Kind) {
    let mut ledger = running();
    assert!(!ledger.record_failure(KEY, kind, NOW), "its claim must be kept");
    assert_eq!(ledger.begin(KEY, FINGERPRINT, false, NOW), Admission::Refuse(Kind::AlreadyClaimed));
    assert_eq!(ledger.status(KEY, NOW), Status::Unknown);
}

#[test]
fn a_request_that_never_ran_may_be_sent_again() {
    let mut ledger = running();
    assert!(ledger.record_failure(KEY, Kind::Shed, NOW), "its claim must be deleted");
    assert_eq!(ledger.begin(KEY, FINGERPRINT, false, NOW), Admission::Claim);
}

#[test]
fn session_keys_need_no_store_and_are_bounded() {
    let mut ledger = Ledger::<u32>::new(LIMITS);
    assert_eq!(ledger.begin(1, FINGERPRINT, true, NOW), Admission::Run);
    assert_eq!(ledger.begin(2, FINGERPRINT, true, NOW), Admission::Run);
    ledger.record_answer(1, 1, 10, NOW);
    assert_eq!(ledger.begin(3, FINGERPRINT, true, NOW), Admission::Refuse(Kind::ClaimUnavailable));
    let later = NOW + LIMITS.retention;
    assert_eq!(ledger.begin(3, FINGERPRINT, true, later), Admission::Run);
}

#[test]
fn cached_answers_stay_within_their_limit() {
    let mut cache = Cache::new(100);
    for key in 0..50 {
        cache.put(key, key, 30);
        assert!(cache.bytes() <= 100);
    }
    assert_eq!(cache.get(49), Some(49));
    assert_eq!(cache.get(0), None);
}
