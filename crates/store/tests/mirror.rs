//! The mirror of the store's keys.

use std::time::Duration;

use base::time::Time;
use store::pages::Gap;
use store::{Entry, Event, Mirror};

const START: Time = Time::from_millis(10_000);

fn entry(key: &str, value: &str, revision: u64) -> Entry {
    Entry { key: key.to_owned(), value: value.as_bytes().to_vec(), revision }
}

/// Returns a mirror of two keys at revision 5.
fn mirror() -> Mirror {
    let mut mirror = Mirror::new();
    mirror.record_answer(START, START);
    mirror.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5)], 5, START);
    mirror
}

#[test]
fn changes_are_applied_once_and_in_order() {
    let mut mirror = mirror();
    assert!(mirror.apply(vec![Event::Put(entry("a/1", "z", 7)), Event::Delete("b/1".to_owned(), 8)], 8, START));
    assert_eq!(mirror.revision(), 8);
    assert!(!mirror.apply(vec![Event::Put(entry("a/1", "x", 3))], 8, START), "an older change changes nothing");
    assert_eq!(mirror.get("a/1").map(|record| record.value.as_slice()), Some(b"z".as_slice()));
    assert!(mirror.get("b/1").is_none());
    assert_eq!((mirror.latest_revision("a"), mirror.latest_revision("b")), (7, 8));
    assert!(!mirror.apply(vec![Event::Put(entry("a/1", "z", 9))], 9, START), "the same value is not a change");
}

#[test]
fn a_list_does_not_undo_newer_changes() {
    let mut mirror = mirror();
    mirror.apply(vec![Event::Put(entry("c/1", "new", 9))], 9, START);
    mirror.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5)], 6, START);
    assert!(mirror.get("c/1").is_some());
    assert!(mirror.replace(vec![entry("a/1", "x", 3)], 10, START));
    assert!(mirror.get("b/1").is_none() && mirror.get("c/1").is_none());
}

/// Fault: leases expire during an outage of the store. Writers that are alive write their keys again within about two
/// seconds of its end; other keys must be removed before a daemon that was itself partitioned counts as connected again
/// (three seconds).
#[test]
fn a_key_missing_after_an_outage_is_kept_for_the_grace_period() {
    let mut mirror = mirror();
    let back = START + Duration::from_secs(5);
    mirror.record_failure(START + Duration::from_secs(1));
    assert!(mirror.record_answer(back, back));
    assert!(!mirror.replace(vec![entry("a/1", "x", 3)], 9, back));
    assert!(mirror.get("b/1").is_some(), "its writer may write it again");
    let later = back + Duration::from_millis(1_900);
    assert!(!mirror.remove_expired(later));
    assert!(!mirror.apply(vec![Event::Put(entry("b/1", "y", 11))], 11, later), "it is the same as before");
    assert!(!mirror.remove_expired(back + Duration::from_secs(9)));
    assert!(mirror.get("b/1").is_some());

    let mut silent = self::mirror();
    silent.record_failure(START);
    silent.record_answer(back, back);
    silent.apply(vec![Event::Delete("b/1".to_owned(), 9)], 9, back);
    assert!(silent.remove_expired(back + Duration::from_millis(2_200)));
    assert!(silent.get("b/1").is_none() && silent.latest_revision("b") >= 9);
}

#[test]
fn a_key_deleted_while_the_store_answers_is_removed_at_once() {
    let mut mirror = mirror();
    let soon = START + Duration::from_millis(500);
    assert!(!mirror.record_answer(soon, soon));
    assert!(mirror.apply(vec![Event::Delete("a/1".to_owned(), 6)], 6, soon));
    assert!(mirror.get("a/1").is_none());
}

/// No outage of the store: the daemon's process was paused, or a connection was lost. Deleted keys are removed at once.
#[test]
fn a_pause_of_the_daemon_keeps_no_deleted_key() {
    let mut mirror = mirror();
    let resumed = START + Duration::from_secs(9);
    assert!(!mirror.record_answer(resumed, resumed));
    mirror.record_failure(resumed);
    let again = resumed + Duration::from_millis(60);
    assert!(!mirror.record_answer(again, again));
    assert!(mirror.apply(vec![Event::Delete("a/1".to_owned(), 6)], 6, again));
    assert!(mirror.get("a/1").is_none());
}

/// Fault: a list lacks a part of the keys, since the store returns no page of them. They stay as they are.
#[test]
fn a_list_removes_no_key_of_which_it_says_nothing() {
    let mut mirror = mirror();
    let gap = Gap { after: "a/1".to_owned(), to: Some("b/1".to_owned()) };
    assert!(!mirror.replace_except(vec![entry("a/1", "x", 3)], vec![gap], 9, START));
    assert!(mirror.get("b/1").is_some());
    assert_eq!(mirror.revision(), 9);
    let second = Duration::from_secs(1);
    assert!(mirror.lacks_keys(second, START + second) && !mirror.lacks_keys(second, START));
    let before = Gap { after: "a/0".to_owned(), to: Some("a/9".to_owned()) };
    assert!(mirror.replace_except(Vec::new(), vec![before], 10, START));
    assert!(mirror.get("a/1").is_some() && mirror.get("b/1").is_none());
    mirror.replace(Vec::new(), 11, START);
    assert!(
        mirror.get("a/1").is_none() && !mirror.lacks_keys(second, START + second),
        "a list without a gap is complete"
    );
}

/// Guards against deleted keys that come back: two calls are under way, and the answer that shows less of the history comes last.
/// A server that has left, or an evacuation that was ended, would stay in use until the next list.
#[test]
fn an_earlier_answer_that_comes_late_restores_no_deleted_key() {
    let earlier_events: fn(&mut Mirror) -> bool =
        |mirror| mirror.apply(vec![Event::Put(entry("c/1", "z", 7))], 7, START);
    let earlier_list: fn(&mut Mirror) -> bool =
        |mirror| mirror.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5), entry("c/1", "z", 7)], 7, START);
    for earlier in [earlier_events, earlier_list] {
        let mut mirror = mirror();
        let events = vec![Event::Put(entry("c/1", "z", 7)), Event::Delete("c/1".to_owned(), 8)];
        mirror.apply(events, 8, START);
        assert!(!earlier(&mut mirror));
        assert!(mirror.get("c/1").is_none() && mirror.get("b/1").is_some());
        assert_eq!(mirror.revision(), 8);
    }
}

/// Guards against keys that are lost: a page of a list shows a key that was written after what the mirror knows.
#[test]
fn a_list_that_began_earlier_still_brings_newer_keys() {
    let mut mirror = mirror();
    mirror.apply(vec![Event::Put(entry("c/1", "z", 7))], 8, START);
    mirror.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5), entry("d/1", "v", 9)], 6, START);
    assert!(mirror.get("d/1").is_some() && mirror.get("c/1").is_some());
}

/// Guards against an old value, or a deleted key, that is left where the events of one answer come twice or out of order.
#[test]
fn the_order_of_events_in_an_answer_does_not_matter() {
    let mut mirror = mirror();
    let (written, deleted) = (Event::Put(entry("c/1", "z", 6)), Event::Delete("c/1".to_owned(), 8));
    let newest = Event::Put(entry("a/1", "new", 9));
    let older = Event::Put(entry("a/1", "old", 7));
    mirror.apply(vec![newest.clone(), deleted, older, written, newest], 9, START);
    assert_eq!(mirror.get("a/1").map(|record| record.value.as_slice()), Some(b"new".as_slice()));
    assert!(mirror.get("c/1").is_none(), "it was deleted");
}

/// Guards against changes that are lost where a revision is ahead of, or behind, the events that come with it.
#[test]
fn later_events_count_whatever_revision_comes_with_them() {
    let mut mirror = mirror();
    mirror.apply(Vec::new(), 9, START);
    assert!(mirror.apply(vec![Event::Put(entry("c/1", "v", 7))], 10, START), "the answer before did not bring it");
    assert!(mirror.apply(vec![Event::Put(entry("d/1", "v", 12))], 8, START));
    assert_eq!(mirror.revision(), 10);
}
