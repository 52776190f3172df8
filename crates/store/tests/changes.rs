//! Mirrors of the store that receive changes from each other.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;
use rstest::rstest;
use store::changes::{Changes, Item};
use store::pages::Gap;
use store::{Entry, Event, Mirror};

const START: Time = Time::from_millis(10_000);
/// Mirrors in one schedule: the first reads from the store, the others from any mirror.
const MIRRORS: usize = 4;
const KEYS: u64 = 12;

fn entry(key: &str, value: &str, revision: u64) -> Entry {
    Entry { key: key.to_owned(), value: value.as_bytes().to_vec(), revision }
}

/// Returns the first message that `from` sends to a mirror at revision `after`, and the items of all its pages.
fn pages(from: &Mirror, after: u64, now: Time) -> Option<(Changes, Vec<Item>)> {
    let first = from.changes(after, "", now)?;
    let mut items = first.items.clone();
    let mut more = first.more;
    while more {
        let page = from.changes(0, &items.last()?.key, now)?;
        more = page.more;
        items.extend(page.items);
    }
    Some((first, items))
}

fn sync(from: &Mirror, to: &mut Mirror, now: Time) -> bool {
    let Some((changes, items)) = pages(from, to.revision(), now) else { return false };
    to.merge(&changes, items, now, now)
}

fn keys(mirror: &Mirror) -> BTreeMap<String, (Vec<u8>, u64)> {
    mirror.range("").map(|(key, record)| (key.to_owned(), (record.value.clone(), record.revision))).collect()
}

/// A store that remembers its state at every revision.
struct Store {
    current: BTreeMap<String, (Vec<u8>, u64)>,
    events: Vec<Event>,
    revision: u64,
    /// States after each revision.
    states: Vec<BTreeMap<String, (Vec<u8>, u64)>>,
    /// Changes before this revision are no longer available to a watch.
    compacted: u64,
}

impl Store {
    fn new() -> Self {
        Self { current: BTreeMap::new(), events: Vec::new(), revision: 0, states: vec![BTreeMap::new()], compacted: 0 }
    }

    fn change(&mut self, rng: &mut fastrand::Rng) {
        self.revision += 1;
        let key = format!("servers/{}", rng.u64(0..KEYS));
        if self.current.contains_key(&key) && rng.u32(0..3) == 0 {
            self.current.remove(&key);
            self.events.push(Event::Delete(key, self.revision));
        } else {
            let value = format!("value {}", rng.u32(0..4));
            self.current.insert(key.clone(), (value.clone().into_bytes(), self.revision));
            self.events.push(Event::Put(entry(&key, &value, self.revision)));
        }
        self.states.push(self.current.clone());
    }

    /// Sends the changes to `mirror`, as a watch does, or the list of all keys if the changes were compacted.
    fn update(&self, mirror: &mut Mirror, now: Time) {
        let after = mirror.revision();
        if after == 0 || after < self.compacted {
            let list = |(key, (value, revision)): (&String, &(Vec<u8>, u64))| Entry {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            };
            mirror.replace(self.current.iter().map(list).collect(), self.revision, now);
        } else {
            mirror.apply(self.events[after as usize..].to_vec(), self.revision, now);
        }
        mirror.confirm(now);
    }
}

/// Returns the values without their revisions: writing the same value again is not a change.
fn values(state: &BTreeMap<String, (Vec<u8>, u64)>) -> BTreeMap<&String, &Vec<u8>> {
    state.iter().map(|(key, (value, _))| (key, value)).collect()
}

/// Returns a mirror at revision 400 with 350 servers and a policy, and the list of its store at revision 403: one server was
/// deleted and the policy changed.
fn listed_again() -> (Mirror, Vec<Entry>) {
    let server = |number: u64| entry(&format!("servers/{number:03}"), &"x".repeat(200), number + 1);
    let mut mirror = Mirror::new();
    let servers: Vec<Entry> = (0..350).map(server).collect();
    let with_policy = |policy: Entry| servers.iter().cloned().chain([policy]).collect::<Vec<Entry>>();
    mirror.replace(with_policy(entry("policy", "before", 400)), 400, START);
    let mut list = with_policy(entry("policy", "after", 403));
    list.remove(7);
    (mirror, list)
}

/// Guards against followers that get all keys in place of the changes after their source has listed all keys, because the
/// store no longer had its history: on a narrow link that took longer than a policy may be old.
#[test]
fn followers_get_changes_after_their_source_has_listed_all_keys() {
    let (mut leader, list) = listed_again();
    let mut follower = leader.clone();
    leader.replace(list, 403, START);
    let (changes, items) = pages(&leader, 400, START).expect("the leader has keys");
    let bytes = serde_json::to_string(&changes).expect("it can be written").len();
    assert!(!changes.full && bytes < 300, "full: {}, {bytes} bytes", changes.full);
    assert!(follower.merge(&changes, items, START, START));
    assert_eq!(keys(&follower), keys(&leader));
    assert_eq!(follower.get("servers/007"), None);
    assert_eq!(follower.revision(), 403);
}

/// Guards against a follower that keeps a key which was written and deleted while its source had no history, or one that its
/// source never knew: both are told by a full list only.
#[rstest]
#[case::between_the_revisions(401, vec![], vec![])]
#[case::before_the_first_list(399, vec![], vec![])]
#[case::the_list_lacks_keys(400, vec![], vec![Gap { after: "t".to_owned(), to: None }])]
#[case::the_list_before_lacked_keys(400, vec![Gap { after: "t".to_owned(), to: None }], vec![])]
fn a_follower_that_may_hold_unknown_keys_gets_no_changes(
    #[case] revision: u64,
    #[case] gaps_before: Vec<Gap>,
    #[case] gaps: Vec<Gap>,
) {
    let (mut leader, list) = listed_again();
    leader.replace_except(list.clone(), gaps_before, 400, START);
    leader.replace_except(list, gaps, 403, START);
    assert!(leader.changes(revision, "", START).is_none_or(|changes| changes.full));
}

/// Fault: messages arrive late, twice or from a mirror that is behind, mirrors restart empty, and the store compacts
/// its history. A mirror must always equal the store's state at some revision, never go back to an earlier one, and
/// never confirm a time at which the store had changes that it does not hold.
#[test]
fn mirrors_never_go_back_and_confirm_only_what_they_hold() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store = Store::new();
        let mut mirrors: Vec<Mirror> = (0..MIRRORS).map(|_| Mirror::new()).collect();
        let mut in_transit: Vec<(usize, Changes, Vec<Item>, Time)> = Vec::new();
        let mut revision_at: Vec<(Time, u64)> = Vec::new();
        for step in 0..120_u64 {
            let now = START + Duration::from_millis(step * 50);
            revision_at.push((now, store.revision));
            match rng.u32(0..10) {
                0..4 => store.change(&mut rng),
                4 => store.update(&mut mirrors[0], now),
                5 => store.compacted = store.revision,
                6 if rng.u32(0..4) == 0 => mirrors[rng.usize(0..MIRRORS)] = Mirror::new(),
                _ => {
                    let to = rng.usize(1..MIRRORS);
                    let from = rng.usize(0..MIRRORS);
                    if let Some((changes, items)) = pages(&mirrors[from], mirrors[to].revision(), now) {
                        in_transit.push((to, changes, items, now));
                    }
                }
            }
            while !in_transit.is_empty() && rng.u32(0..3) > 0 {
                let index = rng.usize(0..in_transit.len());
                let (to, changes, items, sent) =
                    if rng.bool() { in_transit.swap_remove(index) } else { in_transit[index].clone() };
                let before = mirrors[to].revision();
                mirrors[to].merge(&changes, items, sent, now);
                assert!(mirrors[to].revision() >= before, "seed {seed}: a mirror went back");
            }
            for mirror in &mirrors {
                let state = &store.states[mirror.revision() as usize];
                assert_eq!(values(&keys(mirror)), values(state), "seed {seed}, step {step}: at {}", mirror.revision());
                let Some(as_of) = mirror.age(now).map(|age| now - age) else { continue };
                let known = revision_at.iter().rev().find(|(at, _)| *at <= as_of).map_or(0, |(_, revision)| *revision);
                assert!(
                    mirror.revision() >= known,
                    "seed {seed}, step {step}: {} does not hold {known}",
                    mirror.revision()
                );
            }
        }
    }
}

/// A key that is removed because a list lacks it must not raise the folder's revision to that of the next change, which
/// would then go unnoticed.
#[test]
fn a_change_after_a_list_without_a_key_raises_the_folders_revision() {
    let mut mirror = Mirror::new();
    mirror.replace(vec![entry("op/config", "{}", 3), entry("op/drain/a", "{}", 5)], 5, START);
    mirror.replace(vec![entry("op/config", "{}", 3)], 9, START);
    let before = mirror.latest_revision("op");
    assert!(mirror.apply(vec![Event::Put(entry("op/config", "{1}", 10))], 10, START));
    assert!(mirror.latest_revision("op") > before, "the change is newer than all before");
}

#[test]
fn a_large_mirror_is_sent_in_pages() {
    let value = "x".repeat(1_000);
    let entries: Vec<Entry> = (0..2_000).map(|number| entry(&format!("k/{number:05}"), &value, number + 1)).collect();
    let mut one = Mirror::new();
    one.replace(entries, 2_000, START);
    assert!(one.changes(0, "", START).is_some_and(|first| first.more && first.items.len() < 2_000));
    let mut other = Mirror::new();
    assert!(sync(&one, &mut other, START));
    assert_eq!(keys(&one), keys(&other));
    assert_eq!(other.revision(), 2_000);
}

/// Fault: leases expired in an outage of the store, and a daemon that starts in the grace period after it reads from a
/// peer.
#[test]
fn missing_keys_are_sent_with_their_remaining_grace_period() {
    let mut one = Mirror::new();
    one.record_answer(START, START);
    one.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5)], 5, START);
    let back = START + Duration::from_secs(5);
    one.record_failure(START + Duration::from_secs(1));
    assert!(one.record_answer(back, back));
    one.apply(vec![Event::Delete("b/1".to_owned(), 9)], 9, back);
    let soon = back + Duration::from_millis(500);
    let mut started = Mirror::new();
    sync(&one, &mut started, soon);
    let mut followed = Mirror::new();
    followed.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5)], 5, START);
    sync(&one, &mut followed, soon);
    // Misses so many changes that it receives the full list.
    let mut behind = Mirror::new();
    behind.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5)], 5, START);
    let mut listed = one.clone();
    listed.replace(vec![entry("a/1", "x", 3)], 20, back);
    sync(&listed, &mut behind, soon);
    for mirror in [&mut started, &mut followed, &mut behind] {
        assert!(mirror.get("b/1").is_some(), "its writer may write it again");
        mirror.remove_expired(back + Duration::from_millis(2_100));
        assert!(mirror.get("b/1").is_none(), "it did not");
    }
}

/// Fault: a daemon was partitioned from the store and takes that for an outage, so it keeps the missing keys for the
/// grace period. The other daemons saw the deletion long ago and must not restore the key from its mirror.
#[test]
fn a_key_that_another_mirror_keeps_for_its_grace_period_is_not_restored() {
    let all = || vec![entry("a/1", "x", 3), entry("b/1", "y", 5)];
    let mut partitioned = Mirror::new();
    partitioned.record_answer(START, START);
    partitioned.replace(all(), 5, START);
    let mut current = Mirror::new();
    current.replace(all(), 5, START);
    current.apply(vec![Event::Delete("b/1".to_owned(), 9)], 9, START);
    let back = START + Duration::from_secs(5);
    partitioned.record_failure(START + Duration::from_secs(1));
    assert!(partitioned.record_answer(back, back));
    partitioned.replace(vec![entry("a/1", "x", 3)], 20, back);
    assert!(partitioned.get("b/1").is_some());
    sync(&partitioned, &mut current, back);
    assert!(current.get("b/1").is_none(), "it was deleted");
    assert_eq!(current.revision(), 20);
}

/// Fault: a daemon's own link is congested for a while, so that its calls fail, while all others reach the store.
#[test]
fn a_mirror_that_takes_its_own_link_failure_for_an_outage_is_corrected() {
    let mut congested = Mirror::new();
    congested.record_answer(START, START);
    congested.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5)], 5, START);
    let mut current = congested.clone();
    current.apply(vec![Event::Delete("b/1".to_owned(), 9)], 9, START);
    let back = START + Duration::from_secs(2);
    congested.record_failure(START + Duration::from_millis(500));
    assert!(congested.record_answer(back, back));
    congested.apply(vec![Event::Delete("b/1".to_owned(), 9)], 9, back);
    assert!(congested.get("b/1").is_some(), "it may be written again, if there was an outage");
    current.confirm(back);
    sync(&current, &mut congested, back);
    congested.remove_expired(back);
    assert!(congested.get("b/1").is_none(), "there was no outage");
}

#[rstest]
#[case::at_once(0, 20, 400, 420)]
#[case::long_poll(900, 930, 10, 40)]
#[case::process_was_stopped(0, 5_000, 0, 5_000)]
fn the_age_of_received_changes_includes_transit_but_not_waiting(
    #[case] waited_ms: u64,
    #[case] elapsed_ms: u64,
    #[case] age_ms: u64,
    #[case] expected_ms: u64,
) {
    let mut one = Mirror::new();
    one.replace(vec![entry("a/1", "x", 3)], 5, START);
    one.confirm(START);
    let changes = one.changes(0, "", START + Duration::from_millis(age_ms)).expect("the mirror is not empty");
    let changes = Changes { waited_ms, ..changes };
    assert_eq!(changes.age(Duration::from_millis(elapsed_ms)), Some(Duration::from_millis(expected_ms)));
}

/// A message in the form that 9f3ab69 sends, which reads its ages before it waits.
const EARLIER_BUILD: &str = r#"{"v":5,"f":3,"t":40,"h":900,"w":1500,"i":[{"k":"a/1","v":"x","r":5,"a":700}]}"#;

/// Two builds run side by side in an upgrade. The age that an earlier build states may be too low by its wait, and its
/// own knowledge may be older than it believes: its changes are applied, and confirm nothing.
#[test]
fn changes_of_an_earlier_build_confirm_nothing() {
    let changes: Changes = serde_json::from_str(EARLIER_BUILD).expect("it can be read");
    let elapsed = Duration::from_millis(920);
    assert_eq!(changes.age(elapsed), None);
    assert_eq!(changes.transit(elapsed), elapsed, "what is left of a time may have been read before the wait");
    let mut mirror = Mirror::new();
    mirror.replace(vec![entry("b/1", "y", 3)], 3, START);
    mirror.confirm(START);
    let now = START + elapsed;
    assert!(mirror.merge(&changes, changes.items.clone(), START, now));
    assert_eq!((mirror.revision(), mirror.age(now)), (5, Some(elapsed)));
}

/// An earlier build ignores the field that it does not know, and takes the wait off the time to the answer.
#[test]
fn an_earlier_build_reads_the_age_of_a_later_one_as_it_is() {
    let mut one = Mirror::new();
    one.replace(vec![entry("a/1", "x", 3)], 5, START);
    one.confirm(START);
    let now = START + Duration::from_millis(940);
    let changes = one.changes(5, "", now).expect("the mirror is not empty").with_wait(START, now);
    let text = serde_json::to_value(&changes).expect("it can be written");
    assert_eq!(text, serde_json::json!({"v": 5, "f": 5, "t": 940, "h": 940, "s": true}));
}

#[test]
fn values_of_any_bytes_survive_serialization() {
    let mut one = Mirror::new();
    let odd = Entry { key: "k/odd".to_owned(), value: vec![0, 159, 146, 150, 255], revision: 2 };
    one.replace(vec![entry("k/text", "{\"a\":\"\u{e9}\"}", 1), odd], 2, START);
    let text = serde_json::to_string(&one.changes(0, "", START)).expect("it can be written");
    let changes: Option<Changes> = serde_json::from_str(&text).expect("it can be read");
    let changes = changes.expect("the mirror is not empty");
    let mut other = Mirror::new();
    other.merge(&changes, changes.items.clone(), START, START);
    assert_eq!(keys(&one), keys(&other));
}

/// Fault: a daemon whose list lacks keys, since the store returned no page of them, is asked for all keys. What it lacks must not
/// be removed elsewhere.
#[test]
fn a_mirror_that_lacks_keys_does_not_pass_on_a_full_list() {
    let all = [entry("a/1", "x", 1), entry("b/1", "y", 2), entry("c/1", "z", 3)];
    let mut to = Mirror::new();
    to.replace(all.to_vec(), 5, START);
    let mut from = Mirror::new();
    let gap = Gap { after: "a/1".to_owned(), to: Some("b/9".to_owned()) };
    from.replace_except(vec![all[0].clone(), all[2].clone()], vec![gap], 9, START);
    sync(&from, &mut to, START);
    assert_eq!(keys(&to).len(), 3, "all keys stay");
    from.apply(vec![Event::Put(entry("d/1", "new", 10))], 10, START);
    let (changes, items) = pages(&from, 9, START).expect("changes are passed on");
    assert!(!changes.full && items.len() == 1);
    // A complete list ends it, from the store or from another mirror.
    let mut complete = Mirror::new();
    complete.replace(all.to_vec(), 11, START);
    assert!(sync(&complete, &mut from, START));
    sync(&from, &mut to, START);
    assert_eq!((to.revision(), keys(&to).len()), (11, 3));
}

/// Fault: a peer answers with the same page for ever, or with empty ones, and its keys are added without an end.
#[test]
fn a_page_follows_on_the_one_before_or_is_refused() {
    let mut mirror = Mirror::new();
    mirror.replace(vec![entry("a/1", "x", 1), entry("b/1", "y", 2)], 5, START);
    let page = mirror.changes(0, "a/1", START).expect("it has keys");
    assert!(page.follows_on("a/1") && !page.follows_on("b/1") && !page.follows_on("c/1"));
    let last = Changes { items: Vec::new(), more: false, ..page.clone() };
    assert!(last.follows_on("b/1"), "keys were removed since the page before");
    assert!(!Changes { more: true, ..last }.follows_on("b/1"));
}
