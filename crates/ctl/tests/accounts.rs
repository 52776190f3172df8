//! `show accounts`: sums over daemons that see different parts.

use ctl::verbs::accounts::{Line, sum, table};

fn line(account: &str, lent_here: f64, ok: u64, over_quota: u64) -> Line {
    let (account, rate, burst) = (account.to_owned(), 20.0, 20.0);
    Line { account, rate, burst, lent_here, ok, over_quota, ..Line::default() }
}

/// Guards against a table that shows one daemon's part as the whole.
#[test]
fn an_account_is_the_sum_of_all_daemons() {
    let lines = [line("red", 0.6, 30, 10), line("red", 0.4, 30, 10), line("blue", 1.0, 0, 0)];
    let sums = sum(lines.iter());
    assert_eq!(sums.len(), 2);
    let red = sums.iter().find(|line| line.account == "red").expect("it is there");
    assert_eq!((red.ok, red.over_quota), (60, 20));
    assert!((red.lent_here - 1.0).abs() < 1e-9);
    let text = table(&sums);
    let red = text.lines().find(|line| line.starts_with("red")).expect("it is there");
    assert!(
        red.ends_with("0.750") && text.lines().any(|line| line.starts_with("blue") && line.ends_with('-')),
        "{text}"
    );
}
