//! The table of one daemon: what each state says to a re-send.

use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use ledger::kept::Kept;
use ledger::make::{Held, Word};
use ledger::table::{Ledger, Limits, Step};
use rstest::rstest;

const KEY: u128 = 5;
const FINGERPRINT: u64 = 9;
const NOW: Time = Time::from_millis(1_000);
const LIMITS: Limits = Limits { kept: Duration::from_secs(10), session_keys: 2, answer_bytes: 100 };

fn running() -> Ledger<u32> {
    let mut ledger = Ledger::new(LIMITS);
    assert_eq!(ledger.begin(KEY, FINGERPRINT, false, NOW), Step::Claim);
    ledger.claiming(KEY);
    assert_eq!(ledger.claimed(KEY, Held::Ours(1), NOW), Step::Run);
    ledger
}

#[rstest]
#[case::won(Held::Ours(3), Step::Run)]
#[case::ran_elsewhere(Held::Ran(7), Step::Replay(7))]
#[case::runs_elsewhere(Held::Busy, Step::Refuse(Kind::StillRunning))]
#[case::claimant_gone(Held::Taken, Step::Refuse(Kind::AlreadyClaimed))]
#[case::another_request(Held::Reused, Step::Refuse(Kind::KeyReused))]
#[case::store_down(Held::Silent, Step::Refuse(Kind::ClaimUnavailable))]
fn a_claim_comes_to(#[case] held: Held<u32>, #[case] step: Step<u32>) {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(KEY, FINGERPRINT, false, NOW);
    ledger.claiming(KEY);
    assert_eq!(ledger.claimed(KEY, held, NOW), step);
}

#[test]
fn a_resend_while_running_waits() {
    let mut ledger = running();
    assert_eq!(ledger.begin(KEY, FINGERPRINT, false, NOW), Step::Refuse(Kind::StillRunning));
    assert_eq!(ledger.word(KEY, NOW), Word::Running);
}

#[test]
fn a_resend_after_success_gets_the_same_answer() {
    let mut ledger = running();
    ledger.ran(KEY, 42, 10, NOW);
    assert_eq!(ledger.begin(KEY, FINGERPRINT, false, NOW), Step::Replay(42));
    assert_eq!(ledger.word(KEY, NOW), Word::Ran(42));
}

#[test]
fn a_key_reused_for_another_request_is_refused() {
    let mut ledger = running();
    assert_eq!(ledger.begin(KEY, FINGERPRINT + 1, false, NOW), Step::Refuse(Kind::KeyReused));
}

#[rstest]
#[case(Kind::BackendLost)]
#[case(Kind::BackendTimeout)]
#[case(Kind::AnswerCut)]
#[case(Kind::AnswerTooLarge)]
fn an_unknown_outcome_is_never_run_again(#[case] kind: Kind) {
    let mut ledger = running();
    assert!(!ledger.failed(KEY, kind, NOW), "its claim must stay");
    assert_eq!(ledger.begin(KEY, FINGERPRINT, false, NOW), Step::Refuse(Kind::AlreadyClaimed));
    assert_eq!(ledger.word(KEY, NOW), Word::Unknown);
}

#[test]
fn an_order_that_never_ran_may_be_sent_again() {
    let mut ledger = running();
    assert!(ledger.failed(KEY, Kind::Shed, NOW), "its claim must go");
    assert_eq!(ledger.begin(KEY, FINGERPRINT, false, NOW), Step::Claim);
}

#[test]
fn a_session_needs_no_store_and_is_bounded() {
    let mut ledger = Ledger::<u32>::new(LIMITS);
    assert_eq!(ledger.begin(1, FINGERPRINT, true, NOW), Step::Run);
    assert_eq!(ledger.begin(2, FINGERPRINT, true, NOW), Step::Run);
    ledger.ran(1, 1, 10, NOW);
    assert_eq!(ledger.begin(3, FINGERPRINT, true, NOW), Step::Refuse(Kind::ClaimUnavailable));
    let later = NOW + LIMITS.kept;
    assert_eq!(ledger.begin(3, FINGERPRINT, true, later), Step::Run);
}

#[test]
fn kept_answers_stay_within_their_bound() {
    let mut kept = Kept::new(100);
    for key in 0..50 {
        kept.put(key, key, 30);
        assert!(kept.bytes() <= 100);
    }
    assert_eq!(kept.get(49), Some(49));
    assert_eq!(kept.get(0), None);
}
