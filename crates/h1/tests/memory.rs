//! The memory budget of callers' connections.

use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use h1::memory::{Hold, Usage};
use h1::{Memory, Payload};

const BYTES: usize = 1_000_000;
const NOW: Time = Time::from_millis(5_000);

fn partial(bytes: usize) -> Usage {
    Usage { bytes, answers: 0, moved: bytes as u64, unfinished: true }
}

fn complete(bytes: usize) -> Usage {
    Usage { unfinished: false, ..partial(bytes) }
}

fn later(ms: u64) -> Time {
    NOW + Duration::from_millis(ms)
}

/// Whether a connection was told to give way; waits for nothing.
fn gives_way(hold: &Hold) -> bool {
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    std::pin::pin!(hold.gives_way()).poll(&mut context).is_ready()
}

/// Load: callers send nearly all of their bodies and stop. The one that stopped first gives way to a new request.
#[test]
fn the_longest_idle_unfinished_request_gives_way() {
    let memory = Arc::new(Memory::new(BYTES));
    let holds: Vec<Hold> = (0..10).map(|index| memory.open(later(index))).collect();
    for (index, hold) in holds.iter().enumerate() {
        assert!(hold.set(partial(BYTES / 10), later(10 * index as u64)));
    }
    let new = memory.open(later(1_000));
    assert!(new.set(partial(BYTES / 20), later(1_000)));
    let given_way: Vec<usize> =
        holds.iter().enumerate().filter(|(_, hold)| gives_way(hold)).map(|(index, _)| index).collect();
    assert_eq!(given_way, [0], "no more than are needed");
    assert!(memory.used() <= BYTES);
}

/// Guards against a request that is cut although it may have reached a server, and against one that is cut while it arrives.
#[test]
fn requests_that_run_or_progress_do_not_give_way() {
    let memory = Arc::new(Memory::new(BYTES));
    let (running, arriving) = (memory.open(NOW), memory.open(NOW));
    assert!(running.set(complete(BYTES / 2), NOW));
    for step in 1..=10 {
        assert!(arriving.set(partial(step * BYTES / 20), later(100 * step as u64)));
    }
    let new = memory.open(later(1_000));
    assert!(!new.set(partial(1), later(1_050)), "there is no room");
    assert!(!gives_way(&running) && !gives_way(&arriving));
    assert!(new.set(partial(1), later(1_500)), "the other no longer progresses");
    assert!(!gives_way(&running) && gives_way(&arriving));
}

/// Load: callers send a byte now and then, so that they are never silent. They give way like silent ones.
#[test]
fn single_bytes_are_no_progress() {
    let memory = Arc::new(Memory::new(BYTES));
    let slow = memory.open(NOW);
    for step in 0..100 {
        assert!(slow.set(partial(BYTES - 100 + step), later(10 * step as u64)));
    }
    assert!(memory.open(later(1_000)).set(partial(1_000), later(1_000)));
    assert!(gives_way(&slow));
}

/// Guards against memory that is never given back.
#[test]
fn nothing_is_used_once_all_connections_are_closed() {
    let memory = Arc::new(Memory::new(BYTES));
    let mut rng = fastrand::Rng::with_seed(4);
    let mut holds: Vec<Hold> = (0..50).map(|_| memory.open(NOW)).collect();
    for step in 0..20_000 {
        let index = rng.usize(..holds.len());
        let bytes = rng.usize(..BYTES / 10);
        let usage = Usage { bytes, answers: 0, moved: rng.u64(..1 << 30), unfinished: rng.bool() };
        holds[index].set(usage, later(step));
        assert!(memory.used() <= BYTES, "{} bytes in use", memory.used());
        if rng.u32(..20) == 0 {
            holds[index] = memory.open(later(step));
        }
    }
    drop(holds);
    assert_eq!(memory.used(), 0);
}

/// Returns a connection that must give way, and the one that it must give way to.
fn one_gives_way(memory: &Arc<Memory>) -> (Hold, Hold) {
    let (one, other) = (memory.open(NOW), memory.open(NOW));
    assert!(one.set(partial(BYTES * 6 / 10), NOW));
    assert!(other.set(partial(BYTES / 2), later(1_000)));
    assert!(one.must_give_way());
    (one, other)
}

/// Guards against a connection whose request completes just as it is told to give way: it must not be refused, and what it holds must
/// count again, or its later requests would be free.
#[test]
fn a_request_that_completes_in_time_does_not_give_way() {
    let memory = Arc::new(Memory::new(BYTES));
    let (one, other) = one_gives_way(&memory);
    assert!(one.set(complete(BYTES * 6 / 10), later(1_001)));
    assert!(!one.must_give_way());
    assert!(!one.set(partial(BYTES * 7 / 10), later(1_002)), "there is no room for more");
    assert!(one.set(complete(0), later(1_003)));
    assert!(one.set(partial(BYTES / 4), later(1_004)));
    assert_eq!(memory.used(), BYTES * 3 / 4, "its next request counts");
    assert!(!one.must_give_way());
    drop((one, other));
    assert_eq!(memory.used(), 0);
}

/// Guards against the answer to an order that has run and is dropped: its connection was told to give way just as the order became
/// complete, and stays marked although there is room again.
#[test]
fn an_answer_of_a_connection_that_was_to_give_way_has_room() {
    let memory = Arc::new(Memory::new(BYTES));
    let (one, other) = one_gives_way(&memory);
    assert!(one.set(complete(BYTES * 6 / 10), later(1_001)));
    drop(other);
    let unread = Usage { answers: BYTES / 10, unfinished: true, ..complete(BYTES / 10) };
    assert!(one.set(unread, later(1_002)));
    assert!(!one.must_give_way());
    assert_eq!(memory.used(), BYTES / 10);
    assert!(memory.open(NOW).set(partial(BYTES), later(2_000)), "an answer that is not read gives way like any other");
    assert!(one.must_give_way());
}

/// Guards against bodies that nobody counts: a body that was handed on counts until its last holder drops it, also after its
/// connection has ended.
#[test]
fn a_body_counts_until_its_last_holder_drops_it() {
    let memory = Arc::new(Memory::new(BYTES));
    let hold = memory.open(NOW);
    assert!(hold.set(partial(BYTES * 6 / 10), NOW));
    let body = Payload::default().with_place(hold.hand_on(BYTES / 2));
    assert!(hold.set(complete(BYTES / 10), NOW));
    assert_eq!(memory.used(), BYTES * 6 / 10, "it counts once");
    drop(hold);
    let attempt = body.clone();
    drop(body);
    assert_eq!(memory.used(), BYTES / 2);
    assert!(!memory.open(NOW).set(partial(BYTES * 6 / 10), later(1_000)), "there is no room beside it");
    drop(attempt);
    assert_eq!(memory.used(), 0);
}

/// Guards against a budget that is wrong for good after a connection gave way just as its request became complete.
#[test]
fn a_body_that_is_handed_on_while_its_connection_gives_way_counts_once() {
    let memory = Arc::new(Memory::new(BYTES));
    let (one, other) = one_gives_way(&memory);
    let place = one.hand_on(BYTES * 7 / 10);
    assert_eq!(memory.used(), BYTES * 12 / 10, "what is in memory counts, whether there is room or not");
    assert!(one.set(complete(0), later(1_001)));
    drop((one, other));
    assert_eq!(memory.used(), BYTES * 7 / 10);
    drop(place);
    assert_eq!(memory.used(), 0);
}

/// Guards against ordinary requests that are refused, and answers that are dropped, while large bodies use the budget up.
#[test]
fn large_bodies_leave_room_for_small_requests_and_answers() {
    let memory = Arc::new(Memory::new(BYTES).with_small(BYTES * 12 / 10));
    let (large, other) = (memory.open(NOW), memory.open(NOW));
    assert!(large.set(complete(BYTES), NOW));
    assert!(!other.set(partial(BYTES / 10), NOW), "a large body does not fit");
    assert!(other.set(complete(400), NOW), "a small request does");
    let answer = Usage { answers: BYTES / 10, ..complete(BYTES / 10 + 400) };
    assert!(other.set(answer, NOW), "and so does its answer");
    let more: Vec<Hold> = (0..1_000).map(|_| memory.open(NOW)).collect();
    assert!(!more.iter().all(|hold| hold.set(complete(400), NOW)), "they have a bound of their own");
    assert!(memory.used() <= BYTES * 12 / 10, "{} bytes in use", memory.used());
}
