//! Copies of the store that learn from each other.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;
use rstest::rstest;
use store::changes::{Changes, Item};
use store::{Entry, Event, Mirror};

const START: Time = Time::from_millis(10_000);
/// Copies in one schedule: the first learns from the store, each other one from one before it.
const COPIES: usize = 4;
const KEYS: u64 = 12;

fn entry(key: &str, value: &str, revision: u64) -> Entry {
    Entry { key: key.to_owned(), value: value.as_bytes().to_vec(), revision }
}

/// All pages of what `from` passes on to a copy at revision `after`.
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

fn pass_on(from: &Mirror, to: &mut Mirror, now: Time) -> bool {
    let Some((changes, items)) = pages(from, to.revision(), now) else { return false };
    to.merge(&changes, items, now, now)
}

fn keys(mirror: &Mirror) -> BTreeMap<String, (Vec<u8>, u64)> {
    mirror.range("").map(|(key, held)| (key.to_owned(), (held.value.clone(), held.revision))).collect()
}

/// The store with all that it ever was.
struct Store {
    now: BTreeMap<String, (Vec<u8>, u64)>,
    events: Vec<Event>,
    revision: u64,
    /// States after each revision.
    states: Vec<BTreeMap<String, (Vec<u8>, u64)>>,
    /// Changes before this revision are forgotten.
    forgotten: u64,
}

impl Store {
    fn new() -> Self {
        Self { now: BTreeMap::new(), events: Vec::new(), revision: 0, states: vec![BTreeMap::new()], forgotten: 0 }
    }

    fn change(&mut self, rng: &mut fastrand::Rng) {
        self.revision += 1;
        let key = format!("servers/{}", rng.u64(0..KEYS));
        if self.now.contains_key(&key) && rng.u32(0..3) == 0 {
            self.now.remove(&key);
            self.events.push(Event::Delete(key, self.revision));
        } else {
            let value = format!("value {}", rng.u32(0..4));
            self.now.insert(key.clone(), (value.clone().into_bytes(), self.revision));
            self.events.push(Event::Put(entry(&key, &value, self.revision)));
        }
        self.states.push(self.now.clone());
    }

    /// Tells `copy` what is new, as a watch does, or all of it if that is forgotten.
    fn tell(&self, copy: &mut Mirror, now: Time) {
        let after = copy.revision();
        if after == 0 || after < self.forgotten {
            let list = |(key, (value, revision)): (&String, &(Vec<u8>, u64))| Entry {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            };
            copy.replace(self.now.iter().map(list).collect(), self.revision, now);
        } else {
            copy.apply(self.events[after as usize..].to_vec(), self.revision, now);
        }
        copy.confirm(now);
    }
}

/// Values of keys, without revisions: a value that is written again unchanged is no change.
fn values(state: &BTreeMap<String, (Vec<u8>, u64)>) -> BTreeMap<&String, &Vec<u8>> {
    state.iter().map(|(key, (value, _))| (key, value)).collect()
}

/// Words come late, twice or from a copy that is behind, copies start anew, histories are forgotten: a copy is always
/// what the store was at some revision, never goes back, and what it calls confirmed was all there was then.
#[test]
fn copies_never_go_back_and_never_claim_what_they_do_not_know() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store = Store::new();
        let mut copies: Vec<Mirror> = (0..COPIES).map(|_| Mirror::new()).collect();
        let mut late: Vec<(usize, Changes, Vec<Item>, Time)> = Vec::new();
        let mut revision_at: Vec<(Time, u64)> = Vec::new();
        for step in 0..120_u64 {
            let now = START + Duration::from_millis(step * 50);
            revision_at.push((now, store.revision));
            match rng.u32(0..10) {
                0..4 => store.change(&mut rng),
                4 => store.tell(&mut copies[0], now),
                5 => store.forgotten = store.revision,
                6 if rng.u32(0..4) == 0 => copies[rng.usize(0..COPIES)] = Mirror::new(),
                _ => {
                    let to = rng.usize(1..COPIES);
                    let from = rng.usize(0..COPIES);
                    if let Some((changes, items)) = pages(&copies[from], copies[to].revision(), now) {
                        late.push((to, changes, items, now));
                    }
                }
            }
            while !late.is_empty() && rng.u32(0..3) > 0 {
                let index = rng.usize(0..late.len());
                let (to, changes, items, sent) = if rng.bool() { late.swap_remove(index) } else { late[index].clone() };
                let before = copies[to].revision();
                copies[to].merge(&changes, items, sent, now);
                assert!(copies[to].revision() >= before, "seed {seed}: a copy went back");
            }
            for copy in &copies {
                let state = &store.states[copy.revision() as usize];
                assert_eq!(values(&keys(copy)), values(state), "seed {seed}, step {step}: at {}", copy.revision());
                let Some(as_of) = copy.age(now).map(|age| now - age) else { continue };
                let known = revision_at.iter().rev().find(|(at, _)| *at <= as_of).map_or(0, |(_, revision)| *revision);
                assert!(
                    copy.revision() >= known,
                    "seed {seed}, step {step}: {} does not hold {known}",
                    copy.revision()
                );
            }
        }
    }
}

#[test]
fn a_list_that_lost_a_key_leaves_room_for_the_next_change() {
    let mut mirror = Mirror::new();
    mirror.replace(vec![entry("op/config", "{}", 3), entry("op/drain/a", "{}", 5)], 5, START);
    mirror.replace(vec![entry("op/config", "{}", 3)], 9, START);
    let before = mirror.latest_revision("op");
    assert!(mirror.apply(vec![Event::Put(entry("op/config", "{1}", 10))], 10, START));
    assert!(mirror.latest_revision("op") > before, "the change is newer than all before");
}

#[test]
fn a_large_copy_is_passed_on_in_pages() {
    let value = "x".repeat(1_000);
    let entries: Vec<Entry> = (0..2_000).map(|number| entry(&format!("k/{number:05}"), &value, number + 1)).collect();
    let mut one = Mirror::new();
    one.replace(entries, 2_000, START);
    assert!(one.changes(0, "", START).is_some_and(|first| first.more && first.items.len() < 2_000));
    let mut other = Mirror::new();
    assert!(pass_on(&one, &mut other, START));
    assert_eq!(keys(&one), keys(&other));
    assert_eq!(other.revision(), 2_000);
}

/// Fault: the store was away and leases lapsed; a daemon that starts in the moment after learns from a peer.
#[test]
fn keys_whose_writers_may_come_back_are_passed_on_with_the_time_they_have() {
    let mut one = Mirror::new();
    one.record_answer(START, START);
    one.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5)], 5, START);
    let back = START + Duration::from_secs(5);
    one.record_failure(START + Duration::from_secs(1));
    assert!(one.record_answer(back, back));
    one.apply(vec![Event::Delete("b/1".to_owned(), 9)], 9, back);
    let soon = back + Duration::from_millis(500);
    let mut started = Mirror::new();
    pass_on(&one, &mut started, soon);
    let mut followed = Mirror::new();
    followed.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5)], 5, START);
    pass_on(&one, &mut followed, soon);
    // One that missed so much that it is told all there is.
    let mut behind = Mirror::new();
    behind.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5)], 5, START);
    let mut listed = one.clone();
    listed.replace(vec![entry("a/1", "x", 3)], 20, back);
    pass_on(&listed, &mut behind, soon);
    for copy in [&mut started, &mut followed, &mut behind] {
        assert!(copy.get("b/1").is_some(), "its writer may come back");
        copy.remove_expired(back + Duration::from_millis(2_100));
        assert!(copy.get("b/1").is_none(), "it did not");
    }
}

/// Fault: a daemon was cut off from the store for a while and takes that for an outage, so it keeps what it finds missing;
/// the others have known for long that it is gone.
#[test]
fn a_key_that_another_copy_only_keeps_is_not_brought_back() {
    let all = || vec![entry("a/1", "x", 3), entry("b/1", "y", 5)];
    let mut cut_off = Mirror::new();
    cut_off.record_answer(START, START);
    cut_off.replace(all(), 5, START);
    let mut knowing = Mirror::new();
    knowing.replace(all(), 5, START);
    knowing.apply(vec![Event::Delete("b/1".to_owned(), 9)], 9, START);
    let back = START + Duration::from_secs(5);
    cut_off.record_failure(START + Duration::from_secs(1));
    assert!(cut_off.record_answer(back, back));
    cut_off.replace(vec![entry("a/1", "x", 3)], 20, back);
    assert!(cut_off.get("b/1").is_some());
    pass_on(&cut_off, &mut knowing, back);
    assert!(knowing.get("b/1").is_none(), "it left");
    assert_eq!(knowing.revision(), 20);
}

/// Fault: a daemon's own link is choked for a while, so that its calls fail; the store was there for all others.
#[test]
fn a_copy_that_takes_its_own_trouble_for_an_outage_is_corrected() {
    let mut choked = Mirror::new();
    choked.record_answer(START, START);
    choked.replace(vec![entry("a/1", "x", 3), entry("b/1", "y", 5)], 5, START);
    let mut knowing = choked.clone();
    knowing.apply(vec![Event::Delete("b/1".to_owned(), 9)], 9, START);
    let back = START + Duration::from_secs(2);
    choked.record_failure(START + Duration::from_millis(500));
    assert!(choked.record_answer(back, back));
    choked.apply(vec![Event::Delete("b/1".to_owned(), 9)], 9, back);
    assert!(choked.get("b/1").is_some(), "it may come back, if the store was away");
    knowing.confirm(back);
    pass_on(&knowing, &mut choked, back);
    choked.remove_expired(back);
    assert!(choked.get("b/1").is_none(), "the store was not away");
}

#[rstest]
#[case::at_once(0, 20, 400, 420)]
#[case::kept_waiting(900, 930, 10, 40)]
#[case::stood_still_with_it(0, 5_000, 0, 5_000)]
fn knowledge_is_as_old_as_the_way_and_the_teller_make_it(
    #[case] waited_ms: u64,
    #[case] took_ms: u64,
    #[case] age_ms: u64,
    #[case] old_ms: u64,
) {
    let mut one = Mirror::new();
    one.replace(vec![entry("a/1", "x", 3)], 5, START);
    one.confirm(START);
    let told = one.changes(0, "", START + Duration::from_millis(age_ms)).expect("there is a copy");
    let told = Changes { waited_ms, ..told };
    assert_eq!(told.age(Duration::from_millis(took_ms)), Some(Duration::from_millis(old_ms)));
}

#[test]
fn values_of_any_bytes_survive_the_way() {
    let mut one = Mirror::new();
    let odd = Entry { key: "k/odd".to_owned(), value: vec![0, 159, 146, 150, 255], revision: 2 };
    one.replace(vec![entry("k/text", "{\"a\":\"\u{e9}\"}", 1), odd], 2, START);
    let text = serde_json::to_string(&one.changes(0, "", START)).expect("it can be written");
    let told: Option<Changes> = serde_json::from_str(&text).expect("it can be read");
    let told = told.expect("there is a copy");
    let mut other = Mirror::new();
    other.merge(&told, told.items.clone(), START, START);
    assert_eq!(keys(&one), keys(&other));
}
