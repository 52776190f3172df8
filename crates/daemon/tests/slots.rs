//! Which connection gives way to a new one once all connections of an address are open.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use daemon::callers::slots::{Activity, Slot, Slots};
use rstest::rstest;

const CAPACITY: usize = 16;
const NEWCOMER: u8 = 200;

fn at(ms: u64) -> Time {
    Time::from_millis(5_000) + Duration::from_millis(ms)
}

fn address(number: u8) -> IpAddr {
    IpAddr::from([192, 0, 2, number])
}

/// Slots that are all taken, each at its own millisecond: by addresses of their own, or all by one.
fn full(is_one_address: bool) -> (Arc<Slots>, Vec<Slot>) {
    let slots = Arc::new(Slots::new(CAPACITY));
    let taken = (0..CAPACITY as u8).map(|number| {
        let caller = address(if is_one_address { 0 } else { number });
        slots.take(caller, at(number.into())).expect("a slot is free")
    });
    let taken = taken.collect();
    (slots, taken)
}

/// Returns the positions of those that must give way once a new connection has asked for a slot.
fn asked(slots: &Arc<Slots>, taken: &[Slot], now: Time) -> Vec<usize> {
    assert!(slots.take(address(NEWCOMER), now).is_none(), "all are taken");
    taken.iter().enumerate().filter(|(_, slot)| slot.must_give_way()).map(|(index, _)| index).collect()
}

/// Guards against a crowd of stalled connections that shuts out all others, and against one new connection that ends several.
#[test]
fn the_connection_that_stalled_first_gives_way_and_no_other() {
    let (slots, mut taken) = full(false);
    taken[0].set(Activity::Receiving, 5_000, at(100));
    assert_eq!(asked(&slots, &taken, at(1_000)), [1]);
    assert_eq!(asked(&slots, &taken, at(1_001)), [1], "it has not ended yet");
    drop(taken.remove(1));
    let _new = slots.take(address(NEWCOMER), at(1_002)).expect("its slot is free");
    assert_eq!(asked(&slots, &taken, at(1_003)).len(), 1, "the next one asks again");
}

/// Guards against a connection that is closed before its caller could send, and against one that waits for good.
#[test]
fn a_connection_gives_way_only_after_it_has_stalled() {
    let (slots, taken) = full(false);
    assert!(asked(&slots, &taken, at(199)).is_empty());
    assert_eq!(asked(&slots, &taken, at(200)), [0]);
}

/// Guards against a request that is cut although it runs, may have run, or its answer is on the way.
#[test]
fn a_connection_with_a_complete_request_never_gives_way() {
    let (slots, taken) = full(false);
    for slot in &taken[1..] {
        slot.set(Activity::Busy, 100, at(20));
    }
    assert_eq!(asked(&slots, &taken, at(60_000)), [0]);
    taken[0].set(Activity::Busy, 200, at(60_001));
    assert!(!taken[0].must_give_way(), "its request became complete in the meantime");
    assert!(asked(&slots, &taken, at(120_000)).is_empty());
    taken[7].set(Activity::Idle, 300, at(120_001));
    assert_eq!(asked(&slots, &taken, at(120_201)), [7]);
}

/// Guards against kept connections that are closed while connections without any answer stay, however short these have stalled.
#[rstest]
#[case::ending_before_all(Activity::Ending, Activity::Receiving)]
#[case::receiving_before_idle(Activity::Receiving, Activity::Idle)]
fn a_kept_connection_gives_way_last(#[case] first: Activity, #[case] later: Activity) {
    let (slots, taken) = full(false);
    for slot in &taken {
        slot.set(later, 10, at(20));
    }
    taken[9].set(first, 10, at(50_000));
    assert_eq!(asked(&slots, &taken, at(50_200)), [9]);
}

/// Guards against a body that is refused while it arrives, and against callers that keep their places with a byte now and then.
#[rstest]
#[case::progress(1_024, 1)]
#[case::trickle(1_023, 0)]
fn only_progress_keeps_a_place(#[case] bytes: u64, #[case] expected: usize) {
    let (slots, taken) = full(false);
    taken[0].set(Activity::Receiving, bytes, at(900));
    assert_eq!(asked(&slots, &taken, at(1_000)), [expected]);
}

/// Load: one address holds nearly all connections, and its callers come back as soon as they are turned away. A caller of another
/// address that has been slow for longer keeps its place.
#[rstest]
#[case::receiving(Activity::Receiving)]
#[case::idle(Activity::Idle)]
fn an_address_with_many_connections_gives_way_before_others(#[case] activity: Activity) {
    let slots = Arc::new(Slots::new(CAPACITY));
    let ordinary = slots.take(address(1), at(0)).expect("a slot is free");
    let crowd: Vec<Slot> =
        (1..CAPACITY as u64).map(|ms| slots.take(address(0), at(ms)).expect("a slot is free")).collect();
    ordinary.set(activity, 10, at(20));
    crowd.iter().for_each(|slot| slot.set(activity, 10, at(5_000)));
    assert_eq!(asked(&slots, &crowd, at(6_000)), [0]);
    assert!(!ordinary.must_give_way());
}

/// Guards against callers behind one address whose kept connections are closed for those that send nothing.
#[test]
fn kept_connections_of_a_large_address_give_way_after_stalled_ones_of_others() {
    let (slots, mut taken) = full(true);
    drop(taken.pop());
    taken.iter().for_each(|slot| slot.set(Activity::Idle, 10, at(20)));
    let stalled = slots.take(address(1), at(5_000)).expect("a slot is free");
    assert!(asked(&slots, &taken, at(6_000)).is_empty());
    assert!(stalled.must_give_way());
}
