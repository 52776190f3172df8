//! Rate limits as backend servers state them in headers.

use daemon::backends::announcement::{Unreadable, parse_rate_limit};
use rstest::rstest;

/// Guards against a value that stops service, or lifts a limit, because it cannot be read.
#[rstest]
#[case::absent(&[], Ok(None))]
#[case::whole(&["3"], Ok(Some(3.0)))]
#[case::fraction(&[" 1.5 "], Ok(Some(1.5)))]
#[case::zero(&["0"], Ok(Some(0.0)))]
#[case::large(&["1e9"], Ok(Some(1e9)))]
#[case::the_lower_of_two(&["4", "2.5"], Ok(Some(2.5)))]
#[case::one_of_two_is_readable(&["many", "2.5"], Ok(Some(2.5)))]
#[case::empty(&[""], Err(Unreadable))]
#[case::negative(&["-1"], Err(Unreadable))]
#[case::not_a_number(&["NaN"], Err(Unreadable))]
#[case::infinite(&["inf"], Err(Unreadable))]
#[case::a_list(&["1, 2"], Err(Unreadable))]
fn a_limit_is_a_number_of_zero_or_more(
    #[case] values: &[&str],
    #[case] expected: std::result::Result<Option<f64>, Unreadable>,
) {
    assert_eq!(parse_rate_limit(values.iter().map(|value| value.as_bytes())), expected);
}
