//! Memory for answers that are being read.

use h1::Budget;
use h1::budget::Reservation;

const BYTES: usize = 1_000_000;

/// Load: 50 servers send without end, all at once, in pieces of 4 KB; after each round an answer of half an even
/// part comes.
#[test]
fn answers_without_an_end_take_bounded_room_and_usual_ones_come_through() {
    let budget = Budget::new(BYTES);
    let mut endless: Vec<Reservation<'_>> = (0..50).map(|_| budget.reserve()).collect();
    let mut most = 0;
    for _ in 0..1_000 {
        for part in &mut endless {
            part.grow(4_096);
        }
        let mut usual = budget.reserve();
        assert!((0..5).all(|_| usual.grow(BYTES / 500)), "{} held", budget.reserved());
        most = most.max(budget.reserved());
    }
    assert!(most <= BYTES + 20_000, "{most} bytes held");
    drop(endless);
    assert_eq!(budget.reserved(), 0, "all of it is given back");
}

#[test]
fn one_answer_may_have_all_the_room_while_nobody_else_wants_it() {
    let budget = Budget::new(BYTES);
    let mut part = budget.reserve();
    assert!(part.grow(BYTES));
    assert!(!part.grow(1));
    let mut other = budget.reserve();
    assert!(other.grow(BYTES / 2) && !other.grow(1));
}
