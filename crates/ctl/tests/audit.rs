//! The audit of refusals that tell callers that their requests are wrong, and of the regions that requests are sent to.

use std::time::Duration;

use ctl::audit::regions::{Receiver, Verdict as RegionVerdict};
use ctl::audit::report::{Report, Unjudged};
use ctl::audit::{Verdict, Version};
use ctl::logs::{Clock, Line};
use rstest::rstest;

/// Time in which every instance learns of a new policy.
const APPLY: Duration = Duration::from_secs(3);

/// Guards against a slow daemon whose lines arrive late, and whose attempts are then taken to be as late.
#[test]
fn a_line_that_is_collected_late_tells_by_how_much() {
    let mut clock = Clock::default();
    let texts = ["1.0000 e1 51.000", "1.5000 e2 7.000", "2.0100 e1 52.000", "5.8000 e1 54.000", "6.0000 e2 11.500"];
    let line = |text: &str| clock.parse(&format!("{text} INFO  instance={} life: ready", &text[7..9]));
    let delays: Vec<Option<u64>> = texts.into_iter().map(line).map(|line| line.map(|line| line.delay_ms)).collect();
    assert_eq!(delays, [0, 0, 10, 1_800, 0].map(Some));
}

const ZERO: &str = "00000000.0.0";
const ONE: &str = "00000001.0.1";
const TWO: &str = "00000002.0.5";
const THREE: &str = "00000003.0.9";

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
    [
        policy("e1", 1_000, [ZERO, ONE], &["/a/", "/old/"], &[], 2),
        policy("e2", 1_200, [ZERO, ONE], &["/a/", "/old/"], &[], 2),
        policy("e1", 10_000, [ONE, TWO], &["/new/"], &["/old/"], 2),
        policy("e2", 10_900, [ONE, TWO], &["/new/"], &["/old/"], 2),
    ]
    .concat()
}

fn audit(lines: &[Vec<Line>]) -> Report {
    Report::new(lines.concat().iter(), APPLY)
}

fn verdict(line: Line) -> Verdict {
    audit(&[history(), vec![line]]).judged[0].1
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
    let again = policy("e1", 20_000, [ZERO, THREE], &["/a/"], &[], 1);
    let report = audit(&[history(), again, vec![not_found("e1", 24_000, "h", "/new/x")]]);
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
    let mut lines = policy("e1", 20_000, [TWO, THREE], &["/b/"], &["/a/"], 2);
    lines.drain(..2);
    let report = audit(&[history(), lines]);
    assert_eq!(report.incomplete.len(), 1);
}

/// Guards against a policy with missing lines that explains every refusal.
#[test]
fn a_policy_whose_routes_are_not_all_told_is_reported() {
    let incomplete = policy("e1", 20_000, [TWO, THREE], &["/b/"], &[], 4);
    let report = audit(&[history(), incomplete]);
    assert_eq!(report.incomplete.len(), 1);
    assert_eq!(report.versions, 2);
}

/// Guards against an instance that passes a route over, and whose policy then explains every refusal of that route.
#[test]
fn a_version_that_instances_tell_differently_is_reported() {
    let lacking = policy("e3", 500, [ZERO, ONE], &["/a/"], &[], 1);
    let report = audit(&[lacking, history()]);
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

/// A request with the regions of the class `a` that `instance` sends where its version lets it.
fn sent_by(instance: &str, at_ms: u64, version: &str, fields: &str) -> Line {
    let region = if version == ONE { "k" } else { "v" };
    sent(instance, at_ms, region, version, &format!("class=a account=- path=/a/x {fields}"))
}

/// A request that `instance` sends to a server in `region`.
fn sent(instance: &str, at_ms: u64, region: &str, version: &str, request: &str) -> Line {
    let text =
        format!("dispatch: sent request=r1 server=s region={region} version={version} allowed=- host=h {request}");
    line(instance, at_ms, &text)
}

fn report(lines: Vec<Line>) -> Report {
    audit(&[moving(), lines])
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
    let mut lacking = with_regions("e1", 20_000, [TWO, THREE], &["class=a allowed=l"]);
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

/// Guards against requests that run by the regions of a policy whose age is too great or not known (HOME), and against an audit that
/// reports those without regions, those that are recent enough, or those of earlier builds.
#[rstest]
#[case::recent("class=a account=- path=/a/x policy_ms=3000", 0)]
#[case::too_old("class=a account=- path=/a/x policy_ms=3001", 1)]
#[case::of_unknown_age("class=a account=- path=/a/x policy_ms=-1", 1)]
#[case::not_told("class=a account=- path=/a/x", 0)]
#[case::without_regions("class=a account=- path=/other/ policy_ms=-1", 0)]
#[case::regions_of_the_account("class=a account=acc path=/a/x policy_ms=9000", 1)]
#[case::others_agreed("class=a account=- path=/a/x policy_ms=9000 agreed_ms=1400", 0)]
#[case::others_agreed_long_ago("class=a account=- path=/a/x policy_ms=-1 agreed_ms=3001", 1)]
#[case::others_did_not_agree("class=a account=- path=/a/x policy_ms=9000 agreed_ms=-1", 1)]
fn a_request_with_regions_needs_a_policy_that_is_recent(#[case] request: &str, #[case] aged: usize) {
    let passed_on = format!("relay: passed on request=r1 peer=e3 ms=0 region=k version={ONE} host=h {request}");
    let report = report(vec![sent("e1", 5_000, "k", ONE, request), line("e1", 5_000, &passed_on)]);
    let receivers: Vec<Receiver> = report.aged.iter().map(|attempt| attempt.receiver).collect();
    assert_eq!(receivers, [Receiver::Server, Receiver::Instance].repeat(aged));
}

/// Guards against an instance that takes its policy for recent though a later one has been in force for long, and against an audit that
/// takes an instance for one that is honest, learns in time, or whose line was collected late.
#[rstest]
#[case::wrong(13_400, "class=a account=- path=/a/x policy_ms=400", 0, 1)]
#[case::wrong_without_regions(13_400, "class=a account=- path=/other/ policy_ms=3000", 0, 1)]
#[case::wrong_agreement(13_400, "class=a account=- path=/a/x policy_ms=-1 agreed_ms=1400", 0, 1)]
#[case::honest(13_400, "class=a account=- path=/a/x policy_ms=3400", 0, 0)]
#[case::unknown(13_400, "class=a account=- path=/a/x policy_ms=-1", 0, 0)]
#[case::not_told(13_400, "class=a account=- path=/a/x", 0, 0)]
#[case::in_time(13_200, "class=a account=- path=/a/x policy_ms=400", 0, 0)]
#[case::collected_late(13_400, "class=a account=- path=/a/x policy_ms=2900", 300, 0)]
#[case::collected_late_and_wrong(13_600, "class=a account=- path=/a/x policy_ms=2900", 300, 1)]
fn an_outdated_policy_is_not_recent(
    #[case] at_ms: u64,
    #[case] request: &str,
    #[case] delay_ms: u64,
    #[case] misdated: usize,
) {
    let report = report(vec![Line { delay_ms, ..sent("e2", at_ms, "k", ONE, request) }]);
    assert_eq!(report.misdated.len(), misdated);
}

/// Guards against an instance that goes by an older version for long and is not noticed as what it sends happens to be allowed, and
/// against one that is reported though it learnt in time, ended, or has the same policy of a store that was restored.
#[rstest]
#[case::never_learnt(vec![], vec![("e2", 10_000, 20_000)])]
#[case::learnt_late(with_regions("e2", 14_000, [ONE, TWO], &[]), vec![("e2", 10_000, 14_000)])]
#[case::learnt_in_time(with_regions("e2", 13_000, [ONE, TWO], &[]), vec![])]
#[case::replaced_by_another_old_one(
    [with_regions("e1", 11_000, [TWO, THREE], &[]), with_regions("e2", 12_000, [ONE, TWO], &[])].concat(),
    vec![("e2", 10_000, 20_000)],
)]
#[case::started_with_it(
    [with_regions("e2", 10_500, [ONE, TWO], &[]), with_regions("e3", 12_000, [ZERO, ONE], &[])].concat(),
    vec![("e3", 12_000, 20_000)],
)]
#[case::stopped(vec![line("e2", 12_000, "life: stopped drained=true after_ms=5")], vec![])]
#[case::killed_and_started_again(
    [vec![sent_by("e2", 13_200, ONE, "")], with_regions("e2", 16_000, [ZERO, TWO], &[])].concat(),
    vec![("e2", 10_000, 13_200)],
)]
#[case::started_again_without_a_policy(
    vec![
        line("e2", 1_300, "life: started callers=a"),
        sent_by("e2", 13_400, ONE, ""),
        line("e2", 14_000, "life: started callers=a"),
        line("e2", 15_000, "callers: answered result=policy-stale"),
    ],
    vec![("e2", 10_000, 13_400)],
)]
#[case::restored(
    [with_regions("e2", 10_500, [ONE, TWO], &[]), with_regions("e2", 11_000, [TWO, "00000002.1.7"], &[])].concat(),
    vec![],
)]
fn the_time_by_an_older_version_is_told(#[case] lines: Vec<Line>, #[case] expected: Vec<(&str, u64, u64)>) {
    let first = [with_regions("e1", 1_000, [ZERO, ONE], &[]), with_regions("e2", 1_200, [ZERO, ONE], &[])];
    let change = with_regions("e1", 10_000, [ONE, TWO], &[]);
    let end = vec![line("e1", 20_000, "life: ready")];
    let report = audit(&[first.concat(), change, lines, end]);
    let spans = report.spans.iter().map(|span| (span.instance.as_str(), span.from_ms, span.to_ms));
    assert_eq!(spans.collect::<Vec<_>>(), expected);
}

/// Guards against numbers of what is sent in such a time that leave out requests that are judged no further.
#[test]
fn what_is_sent_by_an_older_version_is_counted() {
    let no_route = "class=a account=- path=/other/";
    let lines = vec![
        sent_by("e2", 9_000, ONE, "attempt=1"),
        sent_by("e2", 11_500, ONE, "attempt=3"),
        sent_by("e2", 12_500, ONE, "attempt=7"),
        sent("e2", 13_500, "l", ONE, no_route),
        sent("e1", 13_500, "l", TWO, &format!("{no_route} attempt=4")),
        sent_by("e1", 13_600, TWO, "attempt=5"),
        line("e1", 15_000, "life: ready"),
    ];
    let first = with_regions("e1", 1_000, [ZERO, ONE], &["class=a allowed=k"]);
    let other = with_regions("e2", 1_200, [ZERO, ONE], &["class=a allowed=k"]);
    let report = audit(&[first, other, with_regions("e1", 10_000, [ONE, TWO], &["class=a allowed=v"]), lines]);
    let spans: Vec<_> = report.spans.iter().map(|span| (span.attempts, span.with_regions)).collect();
    assert_eq!(spans, [(3, 2)]);
    // One attempt before the version and one of unknown time, three in the span, and three of the other instance.
    assert_eq!((report.unseen, report.in_spans), (1 + 3 + 3, Unjudged { no_route: 1, unseen: 4 }));
}
