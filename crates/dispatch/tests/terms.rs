//! Requests that are open while a policy comes into force: what they may do then.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use base::error::{Kind, Outcome};
use base::time::Time;
use common::{LIMITS, LOOKUP, backend, classes, started};
use dispatch::backend::{BackendId, Place, Spec};
use dispatch::engine::{Account, Arrival, Remote};
use dispatch::regions::Set;
use dispatch::{Action, Ending, Engine, Verdict, class};
use rstest::rstest;

const START: Time = Time::from_millis(1_000);
/// The request that is open when the policy changes.
const REQUEST: u64 = 1_000;
/// Servers of regions 0 and 1, and one of another service in region 0.
const HERE: BackendId = 1;
const THERE: BackendId = 7;
const OTHER_SERVICE: BackendId = 9;
/// The request is still covered by its class.
const COVERED: [(u64, usize); 1] = [(REQUEST, 0)];
/// An object whose requests are held while their servers are full.
const OBJECT: Option<u64> = Some(5);

/// How far the request has come when the policy changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    Queued,
    Held,
    Sent,
    SentOfObject,
}

/// What the policy that comes into force says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    ClassMoves,
    AccountMoves,
    ServiceMoves,
    /// A class that the policy adds covers the request, such as one with a longer prefix.
    OtherClass,
    None,
}

fn spec() -> class::Spec {
    class::Spec { affinity: true, regions: Set::of(&[0]), ..classes()[LOOKUP].clone() }
}

fn account(regions: &[u16]) -> Account {
    Account { id: 3, rank: None, regions: Set::of(regions) }
}

fn servers() -> Vec<Spec> {
    let there = Spec { region: 1, ..backend(THERE, Place::Remote(1)) };
    let other = Spec { service: 1, ..backend(OTHER_SERVICE, Place::Region) };
    vec![backend(HERE, Place::Region), there, other]
}

/// An engine whose servers of region 0 are full where the request is to wait, and which has the request.
fn engine(moment: Moment) -> Engine {
    let mut engine = Engine::new(vec![spec()], LIMITS, 7);
    engine.set_remote(1, Remote::UNLIMITED, START);
    engine.set_backends(servers(), START);
    let object = if matches!(moment, Moment::Held | Moment::SentOfObject) { OBJECT } else { None };
    // A new server gets one request at first; about objects, as many as it can answer in time.
    let others = match moment {
        Moment::Queued => 1,
        Moment::Held => 40,
        Moment::Sent | Moment::SentOfObject => 0,
    };
    for request in 1..=others {
        engine.submit(Arrival { object, ..Arrival::new(request, 0, request, 10) }, START);
    }
    started(&mut engine);
    engine.submit(Arrival { object, account: account(&[]), ..Arrival::new(REQUEST, 0, REQUEST, 10) }, START);
    engine
}

fn apply(engine: &mut Engine, change: Change) {
    let everywhere = class::Spec { regions: Set::ALL, ..spec() };
    let (spec, account) = match change {
        Change::ClassMoves => (class::Spec { regions: Set::of(&[1]), ..spec() }, account(&[])),
        Change::AccountMoves => (everywhere, account(&[1])),
        Change::ServiceMoves => (class::Spec { service: 1, ..spec() }, account(&[])),
        Change::OtherClass | Change::None => (spec(), account(&[])),
    };
    let added = class::Spec { regions: Set::of(&[1]), ..spec.clone() };
    let covering = BTreeMap::from([(REQUEST, usize::from(change == Change::OtherClass))]);
    engine.apply_policy(vec![spec, added], &BTreeMap::from([(account.id, account)]), &covering);
}

/// Returns where the request is sent from now on, if anywhere.
fn sent(engine: &mut Engine) -> Vec<BackendId> {
    let start = |action: Action| match action {
        Action::Start { request: REQUEST, backend, .. } => Some(backend),
        _ => None,
    };
    engine.take_actions().into_iter().filter_map(start).collect()
}

/// Guards against requests that are sent by the regions or the service that they had on arrival, though a later policy is in force
/// (HOME): after a wait, or after an attempt that failed.
#[rstest]
#[case::waiting(Moment::Queued, Change::ClassMoves, THERE)]
#[case::waiting_account(Moment::Queued, Change::AccountMoves, THERE)]
#[case::waiting_service(Moment::Queued, Change::ServiceMoves, OTHER_SERVICE)]
#[case::waiting_other_class(Moment::Queued, Change::OtherClass, THERE)]
#[case::held(Moment::Held, Change::ClassMoves, THERE)]
#[case::held_account(Moment::Held, Change::AccountMoves, THERE)]
#[case::held_service(Moment::Held, Change::ServiceMoves, OTHER_SERVICE)]
#[case::held_other_class(Moment::Held, Change::OtherClass, THERE)]
#[case::retried(Moment::Sent, Change::ClassMoves, THERE)]
#[case::retried_account(Moment::Sent, Change::AccountMoves, THERE)]
#[case::retried_service(Moment::Sent, Change::ServiceMoves, OTHER_SERVICE)]
#[case::retried_other_class(Moment::Sent, Change::OtherClass, THERE)]
#[case::retried_of_object(Moment::SentOfObject, Change::ClassMoves, THERE)]
#[case::retried_of_object_service(Moment::SentOfObject, Change::ServiceMoves, OTHER_SERVICE)]
fn an_open_request_goes_by_the_policy_in_force(
    #[case] moment: Moment,
    #[case] changed: Change,
    #[case] expected: BackendId,
) {
    let mut engine = engine(moment);
    let now = START + Duration::from_millis(35);
    let first = started(&mut engine);
    assert_eq!(first.is_empty(), matches!(moment, Moment::Queued | Moment::Held), "{first:?}");
    apply(&mut engine, changed);
    for (attempt, backend) in first {
        assert_eq!(backend, HERE);
        engine.finish(attempt, Ending::Lost, now);
    }
    engine.set_backends(servers().into_iter().chain([backend(HERE + 1, Place::Region)]).collect(), now);
    engine.tick(now);
    assert_eq!(sent(&mut engine), vec![expected], "a server of region 0 is free");
}

/// Guards against a second attempt beside a slow one that goes by the regions of the request's arrival (HOME).
#[rstest]
#[case::class(Change::ClassMoves)]
#[case::account(Change::AccountMoves)]
fn a_hedge_goes_by_the_policy_in_force(#[case] changed: Change) {
    let mut engine = engine(Moment::Sent);
    engine.set_backends(vec![backend(HERE, Place::Region), backend(HERE + 1, Place::Region)], START);
    assert_eq!(started(&mut engine).len(), 1);
    apply(&mut engine, changed);
    let mut now = START;
    while now < START + Duration::from_millis(900) {
        now = now + Duration::from_millis(50);
        engine.tick(now);
    }
    assert_eq!(sent(&mut engine), [], "the only other server is in the former region");
}

/// Guards against an attempt that is written to a server which the policy in force no longer allows, because it was decided on
/// before (HOME): while it waited for a connection or a claim.
#[rstest]
#[case::unchanged(Change::None, true)]
#[case::class(Change::ClassMoves, false)]
#[case::account(Change::AccountMoves, false)]
#[case::other_class(Change::OtherClass, false)]
#[case::service(Change::ServiceMoves, false)]
fn an_attempt_is_sent_only_where_the_policy_in_force_allows(#[case] changed: Change, #[case] may_send: bool) {
    let mut engine = engine(Moment::Sent);
    let (attempt, backend) = started(&mut engine)[0];
    apply(&mut engine, changed);
    assert_eq!(engine.may_send(attempt, backend, START), may_send);
    if !may_send {
        engine.finish(attempt, Ending::Recalled, START);
        assert_ne!(sent(&mut engine), [HERE], "it goes elsewhere");
    }
}

/// Guards against requests that wait for servers in vain, or are sent anywhere, once their class or their account may run nowhere.
#[rstest]
#[case::class(Moment::Queued, Set::NONE, Set::ALL)]
#[case::account(Moment::Queued, Set::ALL, Set::NONE)]
#[case::held(Moment::Held, Set::NONE, Set::ALL)]
#[case::nothing_in_common(Moment::Queued, Set::of(&[0]), Set::of(&[1]))]
fn a_waiting_request_that_may_run_nowhere_is_refused_at_once(
    #[case] moment: Moment,
    #[case] class: Set,
    #[case] account_regions: Set,
) {
    let mut engine = engine(moment);
    let account = Account { regions: account_regions, ..account(&[]) };
    engine.take_actions();
    let accounts = BTreeMap::from([(account.id, account)]);
    engine.apply_policy(vec![class::Spec { regions: class, ..spec() }], &accounts, &COVERED.into());
    engine.tick(START + Duration::from_millis(35));
    let refused = |action: &Action| {
        matches!(action, Action::Answer { request: REQUEST, verdict: Verdict::Refuse(Kind::NoBackend), .. })
    };
    assert_eq!(engine.take_actions().iter().filter(|action| refused(action)).count(), 1);
}

/// Guards against requests that run nowhere, or in every region, once their class or their account is gone: what it last said holds.
#[rstest]
#[case::waiting(Moment::Queued, true)]
#[case::sent(Moment::Sent, true)]
#[case::waiting_name_used_again(Moment::Queued, false)]
#[case::sent_name_used_again(Moment::Sent, false)]
fn a_request_outlives_its_class_and_its_account(#[case] moment: Moment, #[case] retired: bool) {
    let mut engine = engine(moment);
    let first = started(&mut engine);
    // A class of the same name may stand for other work by now.
    let other = class::Spec { retired, ..class::Spec::new(1, Duration::from_secs(1)) };
    engine.apply_policy(vec![other], &BTreeMap::new(), &BTreeMap::new());
    let now = START + Duration::from_millis(35);
    engine.set_backends(vec![backend(HERE, Place::Region), backend(HERE + 1, Place::Region)], now);
    first.into_iter().for_each(|(attempt, _)| engine.finish(attempt, Ending::Lost, now));
    engine.tick(now);
    assert_eq!(sent(&mut engine), [HERE + 1]);
}

/// Guards against work that runs twice because a later policy lets its class be repeated, or that is sent more often than the policy
/// on its arrival allowed: its caller may go by either.
#[rstest]
#[case::idempotent_by_now(class::Spec { idempotent: false, ..spec() }, spec())]
#[case::no_longer_idempotent(spec(), class::Spec { idempotent: false, ..spec() })]
#[case::more_attempts_by_now(class::Spec { max_attempts: 1, ..spec() }, spec())]
#[case::fewer_attempts_by_now(spec(), class::Spec { max_attempts: 1, ..spec() })]
fn a_request_is_repeated_only_if_both_policies_let_it(#[case] before: class::Spec, #[case] after: class::Spec) {
    let mut engine = Engine::new(vec![before], LIMITS, 7);
    engine.set_backends(vec![backend(HERE, Place::Region), backend(HERE + 1, Place::Region)], START);
    engine.submit(Arrival::new(REQUEST, 0, REQUEST, 10), START);
    let (attempt, _) = started(&mut engine)[0];
    engine.apply_policy(vec![after], &BTreeMap::new(), &COVERED.into());
    engine.finish(attempt, Ending::Lost, START);
    engine.tick(START + Duration::from_millis(35));
    assert_eq!(sent(&mut engine), []);
}

/// Guards against requests that wait for servers of this region which may not run them, while those that may are free.
#[test]
fn requests_bound_to_another_region_are_sent_there_at_once() {
    const SERVERS: u32 = 4;
    let mut engine = Engine::new(vec![class::Spec { regions: Set::of(&[1]), ..spec() }], LIMITS, 7);
    engine.set_remote(1, Remote::UNLIMITED, START);
    let there = |id| Spec { region: 1, ..backend(THERE + id, Place::Remote(1)) };
    engine.set_backends((0..SERVERS).map(there).chain([backend(HERE, Place::Region)]).collect(), START);
    for request in 1..=u64::from(SERVERS) {
        engine.submit(Arrival::new(request, 0, request, 10), START);
    }
    assert_eq!(started(&mut engine).len(), SERVERS as usize);
}

/// Guards against held requests that are refused, though they would be sent soon, when a policy moves none of them: their only server
/// is out of reach for a moment.
#[test]
fn a_change_of_rank_refuses_nothing_that_is_held() {
    let mut engine = Engine::new(vec![spec()], LIMITS, 7);
    let servers = vec![Spec { slots: 1, ..backend(HERE, Place::Region) }];
    engine.set_backends(servers.clone(), START);
    for request in 1..=60 {
        engine.submit(Arrival { object: OBJECT, ..Arrival::new(request, 0, request, 10) }, START);
    }
    let now = START + Duration::from_millis(2);
    for (attempt, _) in started(&mut engine) {
        engine.finish(attempt, Ending::Unreachable, now);
    }
    let held = engine.queued();
    let covering = (1..=60).map(|request| (request, 0)).collect();
    engine.apply_policy(vec![class::Spec { rank: 9, ..spec() }], &BTreeMap::new(), &covering);
    engine.set_backends(servers, now);
    assert!(engine.queued() == held && held > 0, "{held} before, {} after", engine.queued());
}

/// Time at which the policy of the tests below is too old.
const EXPIRY: Time = Time::from_millis(1_020);
/// A time after that.
const LATE: Time = Time::from_millis(1_035);

/// Where the regions of a request come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bound {
    ByClass,
    ByAccount,
    Nowhere,
}

/// Does the same as [`engine`], by a policy that is too old from [`EXPIRY`] on.
fn expiring(moment: Moment, bound: Bound) -> Engine {
    let mut engine = engine(moment);
    let class = if bound == Bound::ByClass { spec() } else { class::Spec { regions: Set::ALL, ..spec() } };
    let account = account(if bound == Bound::ByAccount { &[0] } else { &[] });
    engine.apply_policy(vec![class], &BTreeMap::from([(account.id, account)]), &COVERED.into());
    engine.set_policy_expiry(EXPIRY);
    engine
}

/// Returns the errors with which the request was refused.
fn refusals(actions: &[Action]) -> Vec<Kind> {
    let refused = |action: &Action| match action {
        Action::Answer { request: REQUEST, verdict: Verdict::Refuse(kind), .. } => Some(*kind),
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}

fn is_sent(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Start { request: REQUEST, .. }))
}

/// Guards against a waiting request that is sent by the regions of a policy that is too old, or that waits on for nothing (HOME).
#[rstest]
#[case::queued(Moment::Queued, Bound::ByClass)]
#[case::queued_of_account(Moment::Queued, Bound::ByAccount)]
#[case::held(Moment::Held, Bound::ByClass)]
#[case::held_of_account(Moment::Held, Bound::ByAccount)]
#[case::queued_unbound(Moment::Queued, Bound::Nowhere)]
#[case::held_unbound(Moment::Held, Bound::Nowhere)]
fn a_waiting_request_is_not_sent_by_a_policy_that_is_too_old(#[case] moment: Moment, #[case] bound: Bound) {
    let mut engine = expiring(moment, bound);
    let first = engine.take_actions();
    assert!(!is_sent(&first) && refusals(&first).is_empty(), "it waits");
    engine.set_backends(servers().into_iter().chain([backend(HERE + 1, Place::Region)]).collect(), LATE);
    engine.tick(LATE);
    let actions = engine.take_actions();
    let expected: &[Kind] = if bound == Bound::Nowhere { &[] } else { &[Kind::PolicyStale] };
    assert_eq!((is_sent(&actions), refusals(&actions).as_slice()), (bound == Bound::Nowhere, expected));
}

/// Guards against a request that is sent again by the regions of a policy that is too old, and against one that may have run and is
/// said not to have run (HOME).
#[rstest]
#[case::lost(Ending::Lost, Bound::ByClass, true)]
#[case::lost_of_account(Ending::Lost, Bound::ByAccount, true)]
#[case::shed(Ending::Shed, Bound::ByClass, false)]
#[case::unreachable(Ending::Unreachable, Bound::ByClass, false)]
#[case::recalled(Ending::Recalled, Bound::ByClass, false)]
#[case::lost_unbound(Ending::Lost, Bound::Nowhere, true)]
fn a_request_is_not_sent_again_by_a_policy_that_is_too_old(
    #[case] ending: Ending,
    #[case] bound: Bound,
    #[case] may_have_run: bool,
) {
    let mut engine = expiring(Moment::Sent, bound);
    engine.set_backends(servers().into_iter().chain([backend(HERE + 1, Place::Region)]).collect(), START);
    let (attempt, _) = started(&mut engine)[0];
    engine.finish(attempt, ending, LATE);
    let mut actions = engine.take_actions();
    for millis in (50..2_000).step_by(50) {
        engine.tick(LATE + Duration::from_millis(millis));
        actions.extend(engine.take_actions());
    }
    assert_eq!(is_sent(&actions), bound == Bound::Nowhere);
    if bound != Bound::Nowhere {
        let refused = refusals(&actions);
        assert_eq!(refused.len(), 1, "it is answered");
        assert_eq!(refused[0].answer().outcome != Outcome::NotRun, may_have_run, "{refused:?}");
    }
}

/// Guards against a second attempt beside a slow one by a policy that is too old (HOME).
#[rstest]
#[case::by_class(Bound::ByClass)]
#[case::by_account(Bound::ByAccount)]
#[case::unbound(Bound::Nowhere)]
fn a_hedge_is_not_sent_by_a_policy_that_is_too_old(#[case] bound: Bound) {
    let mut engine = expiring(Moment::Sent, bound);
    engine.set_backends(vec![backend(HERE, Place::Region), backend(HERE + 1, Place::Region)], START);
    assert_eq!(started(&mut engine).len(), 1);
    engine.set_policy_expiry(START);
    let mut now = START;
    while now < START + Duration::from_millis(900) {
        now = now + Duration::from_millis(50);
        engine.tick(now);
    }
    assert_eq!(!sent(&mut engine).is_empty(), bound == Bound::Nowhere);
}

/// Guards against an attempt that is written by a policy that became too old after the choice of its server (HOME), and against one that
/// is not though the policy was confirmed since.
#[rstest]
#[case::in_time(Bound::ByClass, EXPIRY, EXPIRY, true)]
#[case::late(Bound::ByClass, EXPIRY, LATE, false)]
#[case::late_of_account(Bound::ByAccount, EXPIRY, LATE, false)]
#[case::late_unbound(Bound::Nowhere, EXPIRY, LATE, true)]
#[case::confirmed_since(Bound::ByClass, LATE, LATE, true)]
fn an_attempt_is_written_only_by_a_policy_that_is_recent(
    #[case] bound: Bound,
    #[case] expiry: Time,
    #[case] now: Time,
    #[case] may_send: bool,
) {
    let mut engine = expiring(Moment::Sent, bound);
    let (attempt, backend) = started(&mut engine)[0];
    engine.set_policy_expiry(expiry);
    assert_eq!(engine.may_send(attempt, backend, now), may_send);
}
