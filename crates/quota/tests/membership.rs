//! Shares of daemons that are out of touch with some of the others.

use std::time::Duration;

use quota::membership::Contact;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// Load: a cut splits a fleet for as long as it likes; the store is on one side, or on neither. Guards against a share that one side
/// takes over while the daemon that had it still uses it. Each side notices the cut up to half a minute late.
#[rstest]
fn no_share_is_taken_over_while_its_daemon_uses_it(
    #[values(7, 34, 125)] listed: usize,
    #[values(0, 30)] taker_late: u32,
    #[values(0, 30)] user_late: u32,
) {
    for cut_off in 1..listed {
        for second in 0..2_400 {
            let since_cut = SECOND * second;
            let seen = |late: u32, side: usize| if second < late { listed } else { side };
            let taker = Contact { age: Some(Duration::ZERO), listed, live: seen(taker_late, listed - cut_off) };
            let gone = since_cut.saturating_sub(SECOND * taker_late);
            let user = Contact { age: Some(since_cut), listed, live: seen(user_late, cut_off) };
            let taken = taker.may_remove(gone) && second >= taker_late;
            assert!(!(taken && user.may_use_share()), "{cut_off} of {listed} cut off, {second} s ago");
        }
    }
}

/// Guards against accounts that are refused for as long as the store is down.
#[rstest]
fn all_use_their_shares_while_only_the_store_is_away(#[values(1, 7, 34, 125)] listed: usize) {
    let contact = Contact { age: Some(SECOND * 7_200), listed, live: listed };
    assert!(contact.may_use_share());
    assert!(Contact { age: None, ..contact }.may_use_share());
}

/// Guards against names of removed daemons that keep their share for ever.
#[test]
fn the_share_of_a_daemon_that_is_gone_is_taken_over_in_the_end() {
    let contact = Contact { age: Some(SECOND), listed: 7, live: 6 };
    assert!(!contact.may_remove(SECOND * 599));
    assert!(contact.may_remove(SECOND * 600));
    assert!(!Contact { live: 3, ..contact }.may_remove(SECOND * 6_000), "a minority takes nothing over");
}
