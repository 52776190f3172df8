//! Burn rates, alerts, merging and the page.

use std::time::Duration;

use base::time::Time;
use burn::report::{Line, RULES, Report};
use burn::{Series, page};
use rstest::rstest;

const START: Time = Time::from_millis(1_000_000_000);

/// A series that got one answer a second for `seconds`, of which one in `bad` was bad.
fn series(seconds: u64, bad: u64) -> (Series, Time) {
    let mut series = Series::new();
    let mut now = START;
    for second in 0..seconds {
        now = START + Duration::from_secs(second);
        series.record(second % bad != 0, now);
    }
    (series, now)
}

fn line(series: &mut Series, now: Time) -> Line {
    Line::new("lookup", "r", 0.999, series, now)
}

#[rstest]
#[case::healthy(3_600, u64::MAX, &[])]
#[case::fast(3_600, 50, &["page-fast", "page-slow", "ticket"])]
#[case::slow(21_600, 125, &["page-slow", "ticket"])]
#[case::creeping(259_200, 800, &["ticket"])]
fn alerts_fire_by_their_windows(#[case] seconds: u64, #[case] bad: u64, #[case] alerts: &[&str]) {
    let (mut series, now) = series(seconds, bad);
    // The first answer counts as bad in every series; it is long past in the short windows.
    let fired = line(&mut series, now).alerts();
    assert_eq!(fired, alerts);
    assert!(fired.len() <= RULES.len());
}

#[test]
fn what_is_over_is_forgotten_by_the_short_window() {
    let (mut series, now) = series(3_600, 10);
    let later = now + Duration::from_mins(10);
    assert!(!line(&mut series, later).alerts().contains(&"page-fast"));
}

#[test]
fn daemons_add_up() {
    let (mut one, now) = series(600, 10);
    let (mut other, _) = series(300, 10);
    let (one, other) = (line(&mut one, now), line(&mut other, now));
    let sum = one.windows[4].total + other.windows[4].total;
    let report = |line| Report { lines: vec![line] };
    let merged = Report::merge([&report(one), &report(other)]);
    assert_eq!(merged.lines.len(), 1);
    assert_eq!(merged.lines[0].windows[4].total, sum);
    assert!(merged.to_text().contains("lookup"));
}

#[test]
fn the_page_stands_alone_and_escapes_names() {
    let (mut series, now) = series(600, 10);
    let line = Line::new("<b>", "r&d", 0.999, &mut series, now);
    let page = page::render(&Report { lines: vec![line] });
    assert!(page.contains("&lt;b&gt;") && page.contains("r&amp;d") && !page.contains("<b>"));
    assert!(page.contains("<svg") && !page.contains("http://") && !page.contains("src="));
}
