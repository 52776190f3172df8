//! Until when requests may go by the regions of a policy: limits, rounds of questions, and simulated daemons.

use std::collections::BTreeSet;
use std::time::Duration;

use base::time::Time;
use base::version;
use fleet::confirmation::{Confirmation, Finding, Limits, Round, Silence, Standing};
use fleet::replica::Version;
use rstest::rstest;

/// Time within which a new policy must be in force everywhere.
const APPLY: Duration = Duration::from_secs(3);
const SENT: Time = Time::from_millis(10_000);
const LONG_AGO: Duration = Duration::from_mins(1);

fn limits() -> Limits {
    Limits::new(APPLY)
}

fn version(declared: u64) -> Version {
    Version::new(declared, version::Version::new(1, declared))
}

fn standing(declared: u64, age: Option<Duration>) -> Standing {
    let age_ms = age.map(|age| age.as_millis() as u64);
    Standing { version: version(declared), age_ms, pending: false, hears_store: false }
}

/// A round of two questions to daemons of the regions `a` and `b` while version 5 is in force.
fn round() -> Round {
    Round::new(version(5), ["a", "b"].map(str::to_owned).into(), 2, SENT)
}

/// Guards against limits that leave no time to ask others before a policy is too old, or for a change that others learn while an
/// agreement holds.
#[rstest]
#[case::default(Duration::from_secs(2))]
#[case::deployed(APPLY)]
#[case::long(Duration::from_mins(1))]
fn limits_leave_time_to_ask(#[case] apply: Duration) {
    let limits = Limits::new(apply);
    assert!(limits.max_age() < apply, "a part is left for the way of a request");
    let longest_interval = limits.interval().mul_f64(1.25);
    assert!(limits.ask_after() <= limits.silent_after());
    assert!(limits.silent_after() + longest_interval < limits.max_age(), "a round begins in between");
    assert!(longest_interval < limits.max_agreement_age(), "the next round begins in between");
    assert!(limits.max_agreement_age() < limits.max_age());
    assert!(limits.timeout() < limits.max_agreement_age());
}

/// Guards against an agreement that lacks a region, an answer, or that overlooks an answer which speaks against the silence of the
/// store.
#[rstest]
#[case::all_silent(&[("a", standing(5, Some(LONG_AGO))), ("b", standing(5, None))], true)]
#[case::older_version(&[("a", standing(4, Some(LONG_AGO))), ("b", standing(5, None))], true)]
#[case::one_region_twice(&[("a", standing(5, None)), ("a", standing(5, None))], false)]
#[case::one_answer(&[("a", standing(5, None))], false)]
#[case::no_answer(&[], false)]
#[case::newer(&[("a", standing(5, None)), ("b", standing(6, None))], false)]
#[case::pending(&[("a", standing(5, None)), ("b", Standing { pending: true, ..standing(5, None) })], false)]
#[case::refused(&[("a", standing(5, None)), ("b", Standing { hears_store: true, ..standing(5, None) })], false)]
#[case::fresh(&[("a", standing(5, None)), ("b", standing(5, Some(Duration::ZERO)))], false)]
#[case::fresh_first(&[("b", standing(5, Some(Duration::ZERO))), ("a", standing(5, None))], false)]
fn daemons_of_all_regions_must_agree(#[case] answers: &[(&str, Standing)], #[case] agreed: bool) {
    let mut round = round();
    for (region, standing) in answers {
        assert_eq!(round.agreed_at(), None, "not all have answered");
        round.record(region, standing, limits());
    }
    assert_eq!(round.agreed_at(), agreed.then_some(SENT), "an agreement counts from the questions");
}

/// Guards against an agreement despite daemons that do not answer, since they may hear the store, or despite what the asking daemon
/// knows itself. A cut can refuse connections, so a refused one does not show that the daemon is stopped.
#[rstest]
#[case::all_answer(true, false, true)]
#[case::one_is_silent(false, false, false)]
#[case::contradicted(true, true, false)]
fn a_daemon_that_does_not_answer_may_hear_the_store(
    #[case] answers: bool,
    #[case] is_contradicted: bool,
    #[case] agreed: bool,
) {
    let mut round = Round::new(version(5), ["a", "b"].map(str::to_owned).into(), 3, SENT);
    if is_contradicted {
        round.contradict();
    }
    round.record("a", &standing(5, None), limits());
    round.record("b", &standing(5, None), limits());
    assert_eq!(round.agreed_at(), None, "one has not answered yet");
    if answers {
        round.record("b", &standing(5, None), limits());
    } else {
        round.record_failure();
    }
    assert_eq!(round.agreed_at().is_some(), agreed);
}

/// Guards against ages that count from the receipt of an answer, which may have been on its way for long, against old, newer or
/// incomparable answers that confirm the policy, and against a newer policy whose age is not told.
#[rstest]
#[case::fresh(standing(5, Some(Duration::from_millis(300))), Finding::Confirmed(Time::from_millis(9_700)))]
#[case::fresh_of_older(standing(4, Some(Duration::from_millis(300))), Finding::Confirmed(Time::from_millis(9_700)))]
#[case::almost_old(standing(5, Some(Duration::from_millis(1_600))), Finding::Confirmed(Time::from_millis(8_400)))]
#[case::old(standing(5, Some(limits().silent_after() + Duration::from_millis(1))), Finding::Silent)]
#[case::never(standing(5, None), Finding::Silent)]
#[case::newer(standing(6, None), Finding::Newer(None))]
#[case::newer_and_fresh(standing(6, Some(Duration::ZERO)), Finding::Newer(Some(SENT)))]
#[case::pending(Standing { pending: true, ..standing(5, Some(Duration::ZERO)) }, Finding::Newer(None))]
fn an_answer_counts_from_its_question(#[case] standing: Standing, #[case] expected: Finding) {
    assert_eq!(round().record("a", &standing, limits()), expected);
}

/// Guards against a restored store, whose list of the same policy in a later era passes for a newer policy for good, or whose news pass
/// for those of the former era.
#[rstest]
#[case::same(Version::new(5, version::Version::new(2, 1)), None, Finding::Silent)]
#[case::same_and_fresh(Version::new(5, version::Version::new(2, 1)), Some(Duration::ZERO), Finding::Newer(None))]
#[case::newer(Version::new(6, version::Version::new(2, 1)), None, Finding::Newer(None))]
#[case::not_counted(Version::new(0, version::Version::new(2, 1)), None, Finding::Silent)]
#[case::later_in_era(Version::new(5, version::Version::new(1, 9)), None, Finding::Newer(None))]
fn a_restored_store_lists_the_same_policy_again(
    #[case] version: Version,
    #[case] age: Option<Duration>,
    #[case] expected: Finding,
) {
    let standing = Standing { version, ..standing(5, age) };
    assert_eq!(round().record("a", &standing, limits()), expected);
}

/// Guards against a policy that the operators do not count and that passes for the one of another era.
#[test]
fn policies_that_are_not_counted_differ_between_eras() {
    let uncounted = |era| Version::new(0, version::Version::new(era, 1));
    let mut round = Round::new(uncounted(1), BTreeSet::new(), 1, SENT);
    let answer = Standing { version: uncounted(2), ..standing(0, None) };
    assert_eq!(round.record("a", &answer, limits()), Finding::Newer(None));
}

/// Guards against what is known that an older answer replaces, and against agreements on another version than the one in force.
#[test]
fn confirmations_are_kept_by_time_and_agreements_by_version() {
    let mut confirmation = Confirmation::default();
    assert_eq!(confirmation.confirmed_at(version(5)), None);
    confirmation.confirm(version(5), SENT);
    confirmation.confirm(version(5), SENT - Duration::from_secs(1));
    assert_eq!(confirmation.confirmed_at(version(5)), Some(SENT));
    confirmation.agree(version(5), SENT);
    assert_eq!(confirmation.agreed_at(version(5)), Some(SENT));
    assert_eq!(confirmation.agreed_at(version(6)), None, "the daemons agreed on another policy");
    confirmation.withdraw();
    assert_eq!(confirmation.agreed_at(version(5)), None);
}

/// Guards against daemons that are cut off together and agree without those that are silent, whether these fell silent before the store
/// or after it.
#[test]
fn members_that_are_silent_may_hear_the_store() {
    let mut silence = Silence::default();
    let heard = Some(SENT + Duration::from_secs(1));
    silence.update([("before", true), ("after", false)].into_iter(), heard, SENT);
    silence.update([("before", true), ("after", true)].into_iter(), heard, SENT + APPLY);
    assert_eq!(suspects(&silence, heard), ["after", "before"]);
    assert_eq!(suspects(&silence, None), ["after", "before"], "nobody knows when the store was last heard");
    assert!(silence.contains("before") && silence.contains("after"));
    silence.update([("before", true)].into_iter(), heard, SENT + 2 * APPLY);
    assert!(!silence.contains("after"), "it is no member any more");
    assert_eq!(suspects(&silence, heard), ["before"]);
}

/// Guards against an agreement after a cut has healed, without those that were cut off and know a newer policy.
#[test]
fn members_that_are_back_stay_suspects_until_they_answer() {
    let mut silence = Silence::default();
    let heard = Some(SENT);
    let later = |seconds| SENT + Duration::from_secs(seconds);
    silence.update([("a", true), ("b", true)].into_iter(), heard, later(1));
    silence.update([("a", false), ("b", false)].into_iter(), heard, later(2));
    assert!(!silence.contains("a"), "it is back");
    assert_eq!(suspects(&silence, heard), ["a", "b"]);
    silence.record_answer("a");
    assert_eq!(suspects(&silence, heard), ["b"]);
    silence.update([("a", false), ("b", false)].into_iter(), Some(later(3)), later(4));
    assert_eq!(suspects(&silence, heard), [""; 0], "the store was heard since");
    silence.update([("a", true), ("b", false)].into_iter(), Some(later(3)), later(5));
    assert_eq!(suspects(&silence, Some(later(3))), ["a"], "it fell silent again");
}

fn suspects(silence: &Silence, confirmed_at: Option<Time>) -> Vec<&str> {
    silence.suspects(confirmed_at).collect()
}
