//! The audit of refusals that tell callers that their requests are wrong.

use std::time::Duration;

use ctl::audit::Verdict;
use ctl::audit::report::Report;
use ctl::logs::{Clock, Line};
use rstest::rstest;

/// Time in which every instance learns of a new policy.
const APPLY: Duration = Duration::from_secs(3);

/// A log line of `instance` at `at_ms`.
fn line(instance: &str, at_ms: u64, text: &str) -> Line {
    let text = format!("{}.{:03} INFO  instance={instance} {text}", at_ms / 1_000, at_ms % 1_000);
    Line::parse(&text).expect("it is a line of a daemon")
}

/// The lines of a policy that comes into force: `added` and `removed` routes under the host `h`, and how many there are then.
fn policy(
    instance: &str,
    at_ms: u64,
    version: [&str; 2],
    added: &[&str],
    removed: &[&str],
    routes: usize,
) -> Vec<Line> {
    let [replaces, version] = version;
    let change = |kind: &str, prefix: &&str| {
        let text = format!("policy: route {kind} version={version} replaces={replaces} host=h prefix={prefix}");
        line(instance, at_ms, &text)
    };
    let mut lines: Vec<Line> = added.iter().map(|prefix| change("added", prefix)).collect();
    lines.extend(removed.iter().map(|prefix| change("removed", prefix)));
    let text = format!(
        "policy: in force version={version} source=store replaces={replaces} routes={routes} added={} removed={} accounts=-",
        added.len(),
        removed.len()
    );
    lines.push(line(instance, at_ms, &text));
    lines
}

/// A rejection by `instance`.
fn rejected(instance: &str, at_ms: u64, fields: &str) -> Line {
    let text = format!("callers: rejected request=r1 {fields} version=00000001.0.1");
    line(instance, at_ms, &text)
}

/// A 404 of `instance` for a path of a host.
fn not_found(instance: &str, at_ms: u64, host: &str, path: &str) -> Line {
    let kind = "address=requests source=error kind=unknown-route status=404 signed=no";
    rejected(instance, at_ms, &format!("{kind} host={host} path={path}"))
}

/// Two instances: version 1 has `/a/` and `/old/`; version 2, from second 10 on, has `/new/` in place of `/old/`.
fn history() -> Vec<Line> {
    let zero = "00000000.0.0";
    let (one, two) = ("00000001.0.1", "00000002.0.5");
    [
        policy("e1", 1_000, [zero, one], &["/a/", "/old/"], &[], 2),
        policy("e2", 1_200, [zero, one], &["/a/", "/old/"], &[], 2),
        policy("e1", 10_000, [one, two], &["/new/"], &["/old/"], 2),
        policy("e2", 10_900, [one, two], &["/new/"], &["/old/"], 2),
    ]
    .concat()
}

fn verdict(line: Line) -> Verdict {
    let lines = [history(), vec![line]].concat();
    Report::new(lines.iter(), APPLY).judged[0].1
}

/// Guards against an audit that misses a refusal which no policy explains (DENIED), or that reports one which a policy does.
#[rstest]
#[case::route_of_every_version("e1", 5_000, "h", "/a/x", Verdict::Unfounded)]
#[case::route_of_every_version_in_the_first_second("e1", 1_001, "h", "/a/x", Verdict::Unfounded)]
#[case::same_path_of_another_host("e1", 5_000, "other", "/a/x", Verdict::Right)]
#[case::path_of_no_route("e1", 5_000, "h", "/a", Verdict::Right)]
#[case::added_later("e2", 5_000, "h", "/new/x", Verdict::Right)]
#[case::added_lately("e2", 12_900, "h", "/new/x", Verdict::Right)]
#[case::added_long_ago("e2", 13_400, "h", "/new/x", Verdict::Outdated)]
#[case::removed("e1", 10_000, "h", "/old/x", Verdict::Right)]
#[case::not_removed_yet("e1", 9_000, "h", "/old/x", Verdict::Outdated)]
fn a_404_is_judged_by_the_policies_that_may_be_in_force(
    #[case] instance: &str,
    #[case] at_ms: u64,
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Verdict,
) {
    assert_eq!(verdict(not_found(instance, at_ms, host, path)), expected);
}

/// Guards against refusals that have nothing to do with routes and pass unseen.
#[rstest]
#[case::form("requests", "error", "malformed", "400", "no", Verdict::Form)]
#[case::size("requests", "error", "body-too-large", "413", "no", Verdict::Form)]
#[case::slow("requests", "error", "slow-sender", "408", "no", Verdict::Retried)]
#[case::quota("requests", "error", "over-quota", "429", "no", Verdict::Retried)]
#[case::key_where_no_policy_has_accounts("requests", "error", "unknown-key", "401", "no", Verdict::Unfounded)]
#[case::work_at_the_address_for_look_ups("look-ups", "error", "unknown-path", "404", "no", Verdict::WrongAddress)]
#[case::server("requests", "server", "-", "404", "yes", Verdict::Right)]
#[case::unsigned("requests", "server", "-", "404", "no", Verdict::Unsigned)]
fn other_refusals_are_judged_by_their_kind(
    #[case] address: &str,
    #[case] source: &str,
    #[case] kind: &str,
    #[case] status: &str,
    #[case] signed: &str,
    #[case] expected: Verdict,
) {
    let fields =
        format!("address={address} source={source} kind={kind} status={status} signed={signed} host=h path=/a/x");
    assert_eq!(verdict(rejected("e1", 5_000, &fields)), expected);
}

/// Guards against a process that starts again and is judged by the routes that the one before it told.
#[test]
fn a_process_that_starts_again_tells_all_its_routes() {
    let again = policy("e1", 20_000, ["00000000.0.0", "00000003.0.9"], &["/a/"], &[], 1);
    let lines = [history(), again, vec![not_found("e1", 24_000, "h", "/new/x")]].concat();
    let report = Report::new(lines.iter(), APPLY);
    assert_eq!(report.judged[0].1, Verdict::Right);
    assert!(report.incomplete.is_empty());
}

/// Guards against refusals that only another instance gets, which sends the request elsewhere, and that are reported as a caller's.
#[test]
fn what_a_peer_is_told_reaches_no_caller() {
    let fields = "address=relayed source=error kind=unknown-route status=404 signed=no host=h path=/a/x";
    assert_eq!(verdict(rejected("e1", 5_000, fields)), Verdict::Retried);
}

/// Guards against a lost line about an added route beside a lost one about a removed route: the number of routes is right then.
#[test]
fn a_policy_with_as_many_routes_as_told_is_not_taken_for_complete() {
    let mut lines = policy("e1", 20_000, ["00000002.0.5", "00000003.0.9"], &["/b/"], &["/a/"], 2);
    lines.drain(..2);
    let report = Report::new([history(), lines].concat().iter(), APPLY);
    assert_eq!(report.incomplete.len(), 1);
}

/// Guards against a policy with missing lines that explains every refusal.
#[test]
fn a_policy_whose_routes_are_not_all_told_is_reported() {
    let incomplete = policy("e1", 20_000, ["00000002.0.5", "00000003.0.9"], &["/b/"], &[], 4);
    let lines = [history(), incomplete].concat();
    let report = Report::new(lines.iter(), APPLY);
    assert_eq!(report.incomplete.len(), 1);
    assert_eq!(report.versions, 2);
}

/// Guards against an instance that passes a route over, and whose policy then explains every refusal of that route.
#[test]
fn a_version_that_instances_tell_differently_is_reported() {
    let lacking = policy("e3", 500, ["00000000.0.0", "00000001.0.1"], &["/a/"], &[], 1);
    let report = Report::new([lacking, history()].concat().iter(), APPLY);
    assert_eq!(report.different.len(), 1);
    assert!(report.incomplete.is_empty());
}

/// Guards against a machine whose clock is wrong, and whose right refusals are reported as faults, or faults as right.
#[rstest]
#[case::clocks_agree("-4.5000 e1 ", "5.500", 5_500)]
#[case::clock_ahead("-4.5000 e1 ", "15.500", 5_500)]
#[case::clock_behind("2.2500 e1 ", "5.500", 12_250)]
#[case::no_time_of_a_collector("e1 | ", "15.500", 15_500)]
#[case::no_collector("", "15.500", 15_500)]
fn a_line_has_the_time_of_the_collector_if_it_has_one(#[case] head: &str, #[case] own: &str, #[case] expected: u64) {
    let mut clock = Clock::default();
    let first = clock.parse("-9.0000 e1 1.000 INFO  instance=e1 life: started").expect("it is a line of a daemon");
    let line = clock.parse(&format!("{head}{own} INFO  instance=e1 life: ready")).expect("it is a line of a daemon");
    assert_eq!((first.at_ms, line.at_ms), (1_000, expected));
}
