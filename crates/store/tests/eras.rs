//! Mirrors of a store that was restored from an older copy: it lost changes that it had acknowledged, and gives their
//! revisions out again in a new era.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;
use rstest::rstest;
use store::changes::{Changes, Item};
use store::{Entry, Event, Mirror, Order, Version};

const START: Time = Time::from_millis(10_000);
/// Longer than any period for which a mirror keeps what a restored store says otherwise.
const LONG: Duration = Duration::from_secs(20);

/// Values are written as `START/NUMBER`, of which the order consists; other values have none.
fn order(_key: &str, value: &[u8]) -> Option<Order> {
    let (start, number) = std::str::from_utf8(value).ok()?.split_once('/')?;
    Some(Order(start.parse().ok()?, number.parse().ok()?))
}

fn entry(key: &str, value: &str, revision: u64) -> Entry {
    Entry { key: key.to_owned(), value: value.as_bytes().to_vec(), revision }
}

fn put(key: &str, value: &str, revision: u64) -> Event {
    Event::Put(entry(key, value, revision))
}

fn value<'a>(mirror: &'a Mirror, key: &str) -> Option<&'a str> {
    mirror.get(key).and_then(|record| std::str::from_utf8(&record.value).ok())
}

/// Returns a mirror in era 1 at revision 40, with a policy, an evacuation and two servers.
fn mirror() -> Mirror {
    let mut mirror = Mirror::new().with_order(order);
    let entries =
        [("policy/text", "0/5", 31), ("policy/drain/d", "{}", 33), ("servers/a", "7/3", 36), ("servers/b", "7/1", 9)];
    let entries = entries.map(|(key, value, revision)| entry(key, value, revision));
    mirror.replace(entries.to_vec(), Version::new(1, 40), START);
    mirror
}

/// Fault: the store restored a copy and numbers a later change lower than those before. It has to count all the same.
#[test]
fn a_change_of_a_later_era_counts_whatever_its_revision() {
    let mut mirror = mirror();
    let list = vec![entry("policy/text", "0/5", 12), entry("servers/a", "7/3", 13), entry("servers/b", "7/1", 9)];
    mirror.replace(list, Version::new(2, 13), START);
    assert_eq!(mirror.version(), Version::new(2, 13));
    assert!(mirror.apply(vec![put("policy/text", "0/6", 14)], Version::new(2, 14), START));
    assert_eq!((value(&mirror, "policy/text"), mirror.latest_revision("policy")), (Some("0/6"), 14));
}

/// Fault: an answer of the former era arrives after one of the new era, with a higher revision.
#[test]
fn an_answer_of_an_earlier_era_changes_nothing() {
    let mut mirror = mirror();
    mirror.replace(vec![entry("servers/b", "7/1", 9)], Version::new(2, 13), START);
    assert!(!mirror.apply(vec![put("servers/c", "7/1", 41)], Version::new(1, 41), START));
    assert!(!mirror.replace(vec![entry("servers/c", "7/1", 41)], Version::new(1, 41), START));
    assert!(mirror.get("servers/c").is_none());
    assert_eq!(mirror.version(), Version::new(2, 13));
}

/// Fault: a watch of the new era answers before all keys were listed in it. Its changes do not follow on what is known.
#[test]
fn changes_of_a_later_era_wait_for_its_list() {
    let mut mirror = mirror();
    assert!(!mirror.apply(vec![Event::Delete("servers/a".to_owned(), 14)], Version::new(2, 14), START));
    assert_eq!(mirror.version(), Version::new(1, 40));
    assert!(mirror.get("servers/a").is_some());
}

/// Fault: the copy is from before an evacuation and from before a server's registration. Both stay for the time in which
/// they are written again.
#[test]
fn keys_that_the_copy_lacks_stay_until_their_writers_had_time() {
    let mut mirror = mirror();
    mirror.replace(vec![entry("policy/text", "0/5", 12)], Version::new(2, 12), START);
    assert!(mirror.get("policy/drain/d").is_some() && mirror.get("servers/a").is_some());
    mirror.apply(vec![put("servers/a", "7/4", 13)], Version::new(2, 13), START);
    let changes = mirror.change_count("policy");
    assert!(mirror.remove_expired(START + Duration::from_millis(2_100)));
    assert!(mirror.get("policy/drain/d").is_none(), "nobody wrote it again");
    assert!(mirror.change_count("policy") > changes, "the policy is read again without it");
    assert_eq!(value(&mirror, "servers/a"), Some("7/4"));
}

/// Fault: the copy has an evacuation that was taken back, and servers that have left. They stay away while their writers
/// and leases may still remove them.
#[test]
fn keys_that_were_deleted_do_not_come_back_with_the_copy() {
    let mut mirror = mirror();
    let deleted = ["policy/drain/d", "servers/a", "servers/b"].map(|key| Event::Delete(key.to_owned(), 41));
    mirror.apply(deleted.to_vec(), Version::new(1, 41), START);
    let list = [("policy/drain/d", "{}", 8), ("servers/a", "7/2", 9), ("servers/b", "8/1", 13)];
    mirror.replace(list.map(|(key, value, revision)| entry(key, value, revision)).to_vec(), Version::new(2, 13), START);
    assert!(mirror.get("policy/drain/d").is_none());
    assert!(mirror.get("servers/a").is_none());
    assert_eq!(value(&mirror, "servers/b"), Some("8/1"), "a later start of it is another server");
    mirror.remove_expired(START + Duration::from_secs(5));
    assert!(mirror.get("servers/a").is_none(), "its lease may still last");
    assert!(mirror.get("policy/drain/d").is_some(), "the operators left it there");
    mirror.remove_expired(START + LONG);
    assert_eq!(value(&mirror, "servers/a"), Some("7/2"), "it is alive: its lease has not ended");
}

/// Fault: the operators write their lost policies again one after the other. None but the last may count.
#[test]
fn an_older_value_never_replaces_a_newer_one_of_an_earlier_era() {
    let mut mirror = mirror();
    mirror.replace(vec![entry("policy/text", "0/2", 5)], Version::new(2, 5), START);
    for (number, revision) in [(3, 6), (4, 7)] {
        let again = put("policy/text", &format!("0/{number}"), revision);
        assert!(!mirror.apply(vec![again], Version::new(2, revision), START));
        assert_eq!(value(&mirror, "policy/text"), Some("0/5"));
    }
    mirror.apply(vec![put("policy/text", "0/5", 8)], Version::new(2, 8), START);
    assert!(mirror.apply(vec![put("policy/text", "0/9", 9)], Version::new(2, 9), START));
    mirror.remove_expired(START + LONG);
    assert_eq!(value(&mirror, "policy/text"), Some("0/9"));
}

/// A store with numbered values that can be restored, as its writers use it.
#[derive(Default)]
struct Store {
    era: u64,
    revision: u64,
    keys: BTreeMap<String, (u64, u64)>,
    /// Contents after each revision of this era's line.
    copies: Vec<BTreeMap<String, (u64, u64)>>,
    /// Highest number that was written so far, by key.
    written: BTreeMap<String, u64>,
    /// What the writer of each key wrote last; `None` if it deleted the key.
    latest: BTreeMap<String, Option<u64>>,
}

impl Store {
    fn new() -> Self {
        Self { era: 1, copies: vec![BTreeMap::new()], ..Self::default() }
    }

    fn commit(&mut self, key: &str, number: Option<u64>) {
        self.revision += 1;
        match number {
            Some(number) => self.keys.insert(key.to_owned(), (number, self.revision)),
            None => self.keys.remove(key),
        };
        self.copies.push(self.keys.clone());
    }

    /// Writes the next policy, or writes or deletes a server.
    fn change(&mut self, rng: &mut fastrand::Rng) {
        let key = if rng.bool() { "policy/text".to_owned() } else { format!("servers/{}", rng.u32(0..5)) };
        let number = self.written.entry(key.clone()).or_default();
        *number += 1;
        let number = *number;
        let deleted = key != "policy/text" && rng.u32(0..3) == 0;
        let number = (!deleted).then_some(number);
        self.latest.insert(key.clone(), number);
        self.commit(&key, number);
    }

    /// Restores an older copy.
    fn restore(&mut self, rng: &mut fastrand::Rng) {
        self.era += 1;
        self.revision = rng.u64(self.revision / 2..=self.revision);
        self.copies.truncate(self.revision as usize + 1);
        self.keys = self.copies[self.revision as usize].clone();
    }

    /// Lets the writers of some keys write again what was lost.
    fn rewrite(&mut self, is_due: impl Fn(&str) -> bool) {
        let lost = |(key, number): &(&String, &Option<u64>)| {
            self.keys.get(*key).map(|(number, _)| *number) != **number && is_due(key)
        };
        let lost: Vec<(String, Option<u64>)> =
            self.latest.iter().filter(lost).map(|(key, number)| (key.clone(), *number)).collect();
        lost.into_iter().for_each(|(key, number)| self.commit(&key, number));
    }

    fn list(&self, mirror: &mut Mirror, now: Time) {
        let list = self.keys.iter().map(|(key, (number, revision))| entry(key, &format!("0/{number}"), *revision));
        mirror.replace(list.collect(), Version::new(self.era, self.revision), now);
        mirror.confirm(now);
    }
}

/// Sends what `from` knows to `to`, as a follower requests it.
fn relay(from: &Mirror, to: &mut Mirror, now: Time) {
    let Some(first): Option<Changes> = from.changes(to.version(), "", now) else { return };
    let items: Vec<Item> = first.items.clone();
    to.merge(&first, items, now, now);
}

fn policy_number(mirror: &Mirror) -> u64 {
    value(mirror, "policy/text").and_then(|text| text.split('/').nth(1)?.parse().ok()).unwrap_or(0)
}

/// Fault: two restores within seconds, each learned at another moment by each of the fleet's mirrors; some learn it from
/// the store, some from a mirror that knows an earlier era. No mirror ever goes back to an earlier policy, and all agree
/// with the store in the end.
#[rstest]
#[case::small_site(7, 200)]
#[case::grown_site(34, 30)]
#[case::large_site(119, 8)]
fn a_fleet_with_differing_views_agrees_on_a_restored_store(#[case] daemons: usize, #[case] schedules: u64) {
    for seed in 0..schedules {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store = Store::new();
        (0..rng.u32(5..40)).for_each(|_| store.change(&mut rng));
        let mut mirrors: Vec<Mirror> = (0..daemons).map(|_| Mirror::new().with_order(order)).collect();
        let mut seen = vec![0; daemons];
        let mut now = START;
        mirrors.iter_mut().for_each(|mirror| store.list(mirror, now));
        for step in 0..daemons * 12 {
            now = now + Duration::from_millis(rng.u64(1..300) / daemons as u64 + 1);
            match rng.usize(0..daemons * 4) {
                0 => store.restore(&mut rng),
                1 => store.rewrite(|key| key == "policy/text"),
                2 => store.rewrite(|key| key.ends_with('1')),
                3..=5 => store.change(&mut rng),
                _ => {}
            }
            let (one, other) = (rng.usize(0..daemons), rng.usize(0..daemons));
            if rng.u32(0..4) == 0 {
                store.list(&mut mirrors[one], now);
            } else if one != other {
                let from = mirrors[other].clone();
                relay(&from, &mut mirrors[one], now);
            }
            mirrors[one].remove_expired(now);
            let number = policy_number(&mirrors[one]);
            assert!(
                number >= seen[one],
                "seed {seed}, step {step}: daemon {one} went back from {} to {number}",
                seen[one]
            );
            seen[one] = number;
        }
        store.rewrite(|_| true);
        for period in 0..3 {
            now = now + LONG * period;
            for mirror in &mut mirrors {
                store.list(mirror, now);
                mirror.remove_expired(now);
            }
        }
        let expected: Vec<(String, u64)> = store.keys.iter().map(|(key, (number, _))| (key.clone(), *number)).collect();
        for mirror in &mirrors {
            let number =
                |value: &[u8]| String::from_utf8_lossy(value).split('/').nth(1).and_then(|text| text.parse().ok());
            let held: Vec<(String, u64)> =
                mirror.range("").filter_map(|(key, record)| Some((key.to_owned(), number(&record.value)?))).collect();
            assert_eq!(held, expected, "seed {seed}");
        }
    }
}
