//! The audit of refusals that tell callers that their requests are wrong, and of the regions that requests are sent to.

use std::time::Duration;

use ctl::audit::regions::{Receiver, Verdict as RegionVerdict};
use ctl::audit::report::Report;
use ctl::audit::{Verdict, Version};
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
        let class = if kind == "added" { format!(" class={}", prefix.replace('/', "")) } else { String::new() };
        let text = format!("policy: route {kind} version={version} replaces={replaces} host=h prefix={prefix}{class}");
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

const ZERO: &str = "00000000.0.0";
const ONE: &str = "00000001.0.1";
const TWO: &str = "00000002.0.5";

/// The lines of a policy that comes into force with the routes `/a/` and `/a/b/` and changes `regions`.
fn with_regions(instance: &str, at_ms: u64, version: [&str; 2], regions: &[&str]) -> Vec<Line> {
    let added: &[&str] = if version[0] == ZERO { &["/a/", "/a/b/"] } else { &[] };
    let mut lines = policy(instance, at_ms, version, added, &[], 2);
    let in_force = lines.pop().expect("the last line says that it is in force");
    let [replaces, version] = version;
    lines.extend(regions.iter().map(|regions| {
        let kind = regions.split('=').next().expect("it has a name");
        line(instance, at_ms, &format!("policy: {kind} regions version={version} replaces={replaces} {regions}"))
    }));
    lines.push(Line { text: format!("{} moved={}", in_force.text, regions.len()), ..in_force });
    lines
}

/// Two instances: class `a` moves from `k` to `v` with version 2, at second 10 and, at `e2`, a second later; class `ab` stays in
/// `l`, and the account `acc` in `k` and `v`.
fn moving() -> Vec<Line> {
    let first = ["class=a allowed=k", "class=ab allowed=l", "account=acc allowed=k,v"];
    [
        with_regions("e1", 1_000, [ZERO, ONE], &first),
        with_regions("e2", 1_200, [ZERO, ONE], &first),
        with_regions("e1", 10_000, [ONE, TWO], &["class=a allowed=v"]),
        with_regions("e2", 11_000, [ONE, TWO], &["class=a allowed=v"]),
    ]
    .concat()
}

/// A request that `instance` sends to a server in `region`.
fn sent(instance: &str, at_ms: u64, region: &str, version: &str, request: &str) -> Line {
    let text =
        format!("dispatch: sent request=r1 server=s region={region} version={version} allowed=- host=h {request}");
    line(instance, at_ms, &text)
}

fn report(lines: Vec<Line>) -> Report {
    Report::new([moving(), lines].concat().iter(), APPLY)
}

/// Guards against requests that run where no policy that may be in force allows it, or where the instance's own does not (HOME),
/// and against an audit that reports those that run where they may.
#[rstest]
#[case::where_it_may(5_000, "k", ONE, "class=a account=- path=/a/x", RegionVerdict::Allowed)]
#[case::elsewhere(5_000, "l", ONE, "class=a account=- path=/a/x", RegionVerdict::Foreign)]
#[case::where_it_will_be_allowed(5_000, "v", ONE, "class=a account=- path=/a/x", RegionVerdict::Foreign)]
#[case::the_newer_version_is_elsewhere(10_500, "k", ONE, "class=a account=- path=/a/x", RegionVerdict::Allowed)]
#[case::the_newer_version_is_here(10_500, "k", TWO, "class=a account=- path=/a/x", RegionVerdict::OutdatedRegions)]
#[case::the_newer_version_is_everywhere(13_400, "k", TWO, "class=a account=- path=/a/x", RegionVerdict::Foreign)]
#[case::an_instance_that_missed_it(13_400, "k", ONE, "class=a account=- path=/a/x", RegionVerdict::Foreign)]
#[case::the_account_binds_too(5_000, "l", ONE, "class=ab account=acc path=/a/b/x", RegionVerdict::Foreign)]
#[case::account_without_regions(5_000, "l", ONE, "class=ab account=other path=/a/b/x", RegionVerdict::Allowed)]
#[case::taken_for_a_shorter_prefix(5_000, "k", ONE, "class=a account=- path=/a/b/x", RegionVerdict::Foreign)]
#[case::class_without_a_path(5_000, "l", ONE, "class=a account=-", RegionVerdict::Foreign)]
#[case::no_route(5_000, "l", ONE, "class=a account=- path=/other/", RegionVerdict::NoRoute)]
fn the_region_of_an_attempt_is_judged_by_the_policies_that_may_be_in_force(
    #[case] at_ms: u64,
    #[case] region: &str,
    #[case] version: &str,
    #[case] request: &str,
    #[case] expected: RegionVerdict,
) {
    let report = report(vec![sent("e1", at_ms, region, version, request)]);
    assert_eq!(report.sent.into_iter().collect::<Vec<_>>(), [((Receiver::Server, expected), 1)]);
    assert_eq!(report.misplaced.len(), usize::from(expected.is_fault()));
}

/// Guards against an age of the older version that is counted from its own start, or from another instance's change.
#[test]
fn an_attempt_is_late_from_the_version_that_forbids_it() {
    let report = report(vec![sent("e2", 11_700, "k", TWO, "class=a account=- path=/a/x")]);
    assert_eq!((report.misplaced[0].late_ms, report.misplaced[0].late_anywhere_ms), (700, 1_700));
}

/// Guards against a request that was passed on before a version came into force and is judged by it, as its line comes last.
#[rstest]
#[case::before(10_100, 300, RegionVerdict::Allowed)]
#[case::after(10_500, 300, RegionVerdict::OutdatedRegions)]
fn a_request_that_is_passed_on_is_judged_as_of_its_start(
    #[case] at_ms: u64,
    #[case] took_ms: u64,
    #[case] expected: RegionVerdict,
) {
    let fields = "result=answered region=k class=a account=- allowed=v host=h path=/a/x";
    let text = format!("relay: passed on request=r1 peer=e3 ms={took_ms} version={TWO} {fields}");
    let report = report(vec![line("e1", at_ms, &text)]);
    assert_eq!(report.sent.into_iter().collect::<Vec<_>>(), [((Receiver::Instance, expected), 1)]);
}

/// Guards against a version that allows more than it does, as a line about its regions was left out or an instance read others.
#[test]
fn a_version_whose_regions_are_not_known_is_reported() {
    let three = "00000003.0.9";
    let mut lacking = with_regions("e1", 20_000, [TWO, three], &["class=a allowed=l"]);
    lacking.remove(0);
    let other = with_regions("e3", 900, [ZERO, ONE], &["class=a allowed=k"]);
    let report = report([lacking, other].concat());
    assert_eq!(report.incomplete.into_iter().collect::<Vec<_>>(), [Version(3, 0, 9)]);
    assert_eq!(report.different.into_iter().collect::<Vec<_>>(), [Version(1, 0, 1)]);
}

/// Guards against look-ups that lead callers to another region while instances of their own one serve.
#[rstest]
#[case::own_instances_serve("good=1 doubtful=0 out=2", "false", "own-good", true)]
#[case::an_instance_that_stops("good=0 doubtful=1 out=2", "true", "stopping", false)]
#[case::own_instances_may_be_dead("good=0 doubtful=1 out=2", "false", "doubtful", false)]
#[case::own_instances_are_out("good=0 doubtful=0 out=2", "false", "out", false)]
#[case::no_own_instance("good=0 doubtful=0 out=0", "false", "none", false)]
fn a_look_up_that_names_other_regions_is_judged(
    #[case] standing: &str,
    #[case] stopping: &str,
    #[case] reason: &str,
    #[case] is_fault: bool,
) {
    let text = format!("callers: look-up names other regions region=k {standing} named=3 stopping={stopping}");
    let look_ups = report(vec![line("e1", 5_000, &text)]).look_ups;
    assert_eq!((look_ups.len(), look_ups[0].reason(), look_ups[0].is_fault()), (1, reason, is_fault));
}
