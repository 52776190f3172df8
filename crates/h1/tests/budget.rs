//! Memory budget for answers that are being read.

use h1::Budget;
use h1::budget::Reservation;

const BYTES: usize = 1_000_000;

/// Load: 50 servers send endless answers at the same time, in pieces of 4 KB; after each round an answer of half an
/// equal share arrives.
#[test]
fn answers_without_an_end_use_bounded_memory_and_usual_ones_complete() {
    let budget = Budget::new(BYTES);
    let mut endless: Vec<Reservation<'_>> = (0..50).map(|_| budget.reserve()).collect();
    let mut peak = 0;
    for _ in 0..1_000 {
        for reservation in &mut endless {
            reservation.grow(4_096);
        }
        let mut usual = budget.reserve();
        assert!((0..5).all(|_| usual.grow(BYTES / 500)), "{} bytes reserved", budget.reserved());
        peak = peak.max(budget.reserved());
    }
    assert!(peak <= BYTES + 20_000, "{peak} bytes reserved");
    drop(endless);
    assert_eq!(budget.reserved(), 0, "all of it is released");
}

#[test]
fn one_answer_may_use_the_whole_budget_while_there_is_no_other() {
    let budget = Budget::new(BYTES);
    let mut reservation = budget.reserve();
    assert!(reservation.grow(BYTES));
    assert!(!reservation.grow(1));
    let mut other = budget.reserve();
    assert!(other.grow(BYTES / 2) && !other.grow(1));
}
