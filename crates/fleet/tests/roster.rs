//! Membership under deaths, pauses, partitions and wrong words; on virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;
use fleet::message::{Message, Record, State};
use fleet::replica::{Document, Replica};
use fleet::roster::{Roster, Timeouts};
use rstest::rstest;

const TIMEOUTS: Timeouts = Timeouts { suspect: Duration::from_secs(3) };
const POLICY: &str = "[regions.r]\ndomains = [\"d\"]\n[classes.c]\nservice = \"s\"\npaths = [\"/c\"]\nidempotent = true\nrank = 0\ntarget_ms = 1\ntarget_share = 0.9\ndeadline_ms = 1\n";

fn record(name: &str, incarnation: u64) -> Record {
    let (peer_address, domain) = (name.to_owned(), "d".to_owned());
    Record {
        name: name.to_owned(),
        incarnation,
        refutations: 0,
        state: State::Alive,
        peer_address,
        domain,
        caller_address: String::new(),
    }
}

/// Daemons that exchange once a second, each with whom it likes.
struct Fleet {
    rosters: BTreeMap<String, Roster>,
    dead: Vec<String>,
    cut: Vec<String>,
    now: Time,
    /// Losses that each daemon has heard of.
    heard: BTreeMap<String, BTreeSet<(u64, u64)>>,
    /// Losses in all messages.
    told: usize,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut rosters = BTreeMap::new();
        for number in 0..count {
            let name = format!("n{number}");
            let mut roster = Roster::new(record(&name, 1), TIMEOUTS, number as u64);
            for other in (0..count).filter(|other| *other != number) {
                let mut hello = Roster::new(record(&format!("n{other}"), 1), TIMEOUTS, 0);
                roster.merge(&hello.message(0, Time::ZERO), Time::ZERO);
            }
            rosters.insert(name, roster);
        }
        Self { rosters, dead: Vec::new(), cut: Vec::new(), now: Time::from_millis(1), heard: BTreeMap::new(), told: 0 }
    }

    fn seconds(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now = self.now + Duration::from_secs(1);
            let names: Vec<String> = self.rosters.keys().cloned().collect();
            for name in names {
                self.exchange(&name);
            }
        }
    }

    fn exchange(&mut self, name: &str) {
        if self.dead.iter().any(|dead| dead == name) {
            return;
        }
        let now = self.now;
        let roster = self.rosters.get_mut(name).expect("the name is known");
        roster.tick(now);
        let Some((target, _)) = roster.next_target(now) else { return };
        let separated = self.cut.contains(&name.to_owned()) != self.cut.contains(&target);
        if self.dead.contains(&target) || separated || !self.rosters.contains_key(&target) {
            return self.rosters.get_mut(name).expect("the name is known").record_failure(&target, now);
        }
        let message = self.rosters.get_mut(name).expect("the name is known").message(0, now);
        self.take(&target, &message);
        let answer = self.rosters.get_mut(&target).expect("the target is known").message(0, now);
        self.take(name, &answer);
    }

    /// A daemon passes on the losses that are news to it.
    fn take(&mut self, name: &str, message: &Message) {
        let roster = self.rosters.get_mut(name).expect("the name is known");
        roster.merge(message, self.now);
        let heard = self.heard.entry(name.to_owned()).or_default();
        self.told += message.losses.len();
        let news = message.losses.iter().filter(|loss| heard.insert(**loss));
        news.for_each(|loss| {
            if loss.0 == 7 {
                roster.losses_mut().add_persistent(*loss, self.now);
            } else {
                roster.losses_mut().add(*loss, self.now);
            }
        });
    }

    fn believed(&self, name: &str) -> Vec<Option<State>> {
        let others = self.rosters.iter().filter(|(own, _)| *own != name && !self.dead.contains(own));
        others.map(|(_, roster)| roster.state(name)).collect()
    }
}

#[rstest]
#[case(7)]
#[case(60)]
fn the_dead_are_known_everywhere_within_seconds(#[case] count: usize) {
    let mut fleet = Fleet::new(count);
    fleet.seconds(5);
    fleet.dead.push("n3".to_owned());
    fleet.seconds(14);
    assert!(fleet.believed("n3").iter().all(|state| *state == Some(State::Dead)), "{:?}", fleet.believed("n3"));
    for other in ["n0", "n1", "n2"] {
        assert!(fleet.believed(other).iter().all(|state| *state != Some(State::Dead)), "{other} is not dead");
    }
}

#[test]
fn a_cut_domain_goes_on_and_joins_again() {
    let mut fleet = Fleet::new(8);
    fleet.cut = vec!["n0".to_owned(), "n1".to_owned(), "n2".to_owned()];
    fleet.seconds(60);
    let inside = &fleet.rosters["n0"];
    assert_eq!(inside.state("n1"), Some(State::Alive));
    assert_eq!(inside.state("n5"), Some(State::Dead));
    assert!(inside.reads_store(3), "someone in the cut part reads the store");
    fleet.cut.clear();
    fleet.seconds(60);
    for name in ["n0", "n5"] {
        assert!(
            fleet.believed(name).iter().all(|state| *state == Some(State::Alive)),
            "{name}: {:?}",
            fleet.believed(name)
        );
    }
}

#[test]
fn a_paused_daemon_does_not_speak_for_its_successor() {
    let mut observer = Roster::new(record("o", 1), TIMEOUTS, 0);
    let mut old = Roster::new(record("x", 10), TIMEOUTS, 1);
    let mut new = Roster::new(record("x", 20), TIMEOUTS, 2);
    let now = Time::from_millis(1);
    observer.merge(&old.message(0, now), now);
    observer.merge(&new.message(0, now), now);
    old.leave();
    observer.merge(&old.message(0, now), now);
    assert_eq!(observer.state("x"), Some(State::Alive), "the old one's farewell does not count");
    old.merge(&observer.message(0, now), now);
    assert!(old.superseded());
    assert!(!new.superseded());
}

#[test]
fn the_accused_objects() {
    let now = Time::from_millis(1);
    let mut observer = Roster::new(record("o", 1), TIMEOUTS, 0);
    let mut accused = Roster::new(record("x", 1), TIMEOUTS, 1);
    observer.merge(&accused.message(0, now), now);
    observer.record_failure("x", now);
    accused.merge(&observer.message(0, now), now);
    observer.merge(&accused.message(0, now), now);
    assert_eq!(observer.state("x"), Some(State::Alive));
    observer.tick(now + Duration::from_mins(1));
    assert_eq!(observer.state("x"), Some(State::Alive));
}

#[test]
fn a_leaver_is_out_at_once() {
    let now = Time::from_millis(1);
    let mut observer = Roster::new(record("o", 1), TIMEOUTS, 0);
    let mut leaver = Roster::new(record("x", 1), TIMEOUTS, 1);
    observer.merge(&leaver.message(0, now), now);
    leaver.leave();
    observer.merge(&leaver.message(0, now), now);
    assert_eq!(observer.state("x"), Some(State::Left));
    assert_eq!(observer.live_members().count(), 0);
}

#[rstest]
#[case::newer(7, 8, true)]
#[case::same(7, 7, false)]
#[case::older(7, 6, false)]
fn a_policy_never_steps_back(#[case] have: u64, #[case] offered: u64, #[case] taken: bool) {
    let mut holder = Replica::new();
    holder.apply(Document::new(have, POLICY.to_owned())).expect("the policy is good");
    let result = holder.apply(Document::new(offered, POLICY.to_owned()));
    assert_eq!(result.expect("the policy is good").is_some(), taken);
    assert_eq!(holder.revision(), have.max(offered));
}

#[test]
fn a_damaged_copy_changes_nothing_and_is_asked_for_again() {
    let mut holder = Replica::new();
    let mut copy = Document::new(3, POLICY.to_owned());
    copy.text.push('#');
    holder.apply(copy).expect_err("the copy is damaged");
    assert_eq!(holder.revision(), 0);
    assert!(holder.needs(3), "another peer may have it whole");
}

#[test]
fn an_old_copy_under_a_new_revision_is_damaged() {
    let mut holder = Replica::new();
    let mut copy = Document::new(3, POLICY.to_owned());
    copy.revision = 9;
    holder.apply(copy).expect_err("the copy is damaged");
}

#[test]
fn an_invalid_policy_changes_nothing_and_is_not_asked_for_again() {
    let mut holder = Replica::new();
    holder.apply(Document::new(3, "regions = 5".to_owned())).expect_err("the policy is invalid");
    assert_eq!(holder.revision(), 0);
    assert!(!holder.needs(3));
    assert!(holder.needs(4));
}

/// Load: connections of one daemon end together. All hear of nearly all losses, none is told for ever.
#[rstest]
#[case(24)]
#[case(150)]
fn many_losses_at_once_reach_nearly_all_and_are_told_a_few_times(#[case] count: usize) {
    const LOST: u64 = 100;
    let mut fleet = Fleet::new(count);
    let now = fleet.now;
    let first = fleet.rosters.get_mut("n0").expect("it is there");
    (0..LOST).for_each(|loss| first.losses_mut().add((loss, loss), now));
    first.losses_mut().add_persistent((7, 7), now);
    fleet.heard.insert("n0".to_owned(), (0..LOST).map(|loss| (loss, loss)).collect());
    fleet.seconds(30);
    let heard: usize = fleet.heard.values().map(BTreeSet::len).sum();
    let everywhere = |loss: u64| fleet.heard.values().all(|heard| heard.contains(&(loss, loss)));
    assert!(everywhere(7), "what all must hear of reached all");
    let part = heard as f64 / (count as f64 * LOST as f64);
    assert!(part >= 0.97, "{part} of the losses were heard");
    let times = fleet.told as f64 / (count as f64 * LOST as f64);
    assert!(times <= 6.0, "each daemon told each loss {times} times");
}

#[test]
fn a_message_about_losses_alone_is_short_and_so_is_its_answer() {
    let mut fleet = Fleet::new(24);
    fleet.seconds(1);
    let now = fleet.now;
    let mut one = fleet.rosters["n1"].clone();
    let mut other = fleet.rosters["n2"].clone();
    one.losses_mut().add((1, 2), now);
    other.losses_mut().add((3, 4), now);
    let message = one.urgent_message(0, now);
    let answer = other.answer(&message, 0, now);
    assert!(message.is_urgent() && answer.is_urgent());
    assert_eq!((message.losses, answer.losses), (vec![(1, 2)], vec![(3, 4)]));
    let usual = other.message(0, now);
    assert!(!other.answer(&usual, 0, now).records.is_empty(), "a usual message gets a usual answer");
}

/// What a member says itself is told from what others say of it.
#[test]
fn the_age_of_a_members_word_counts_from_when_it_spoke_itself() {
    let mut roster = Roster::new(record("a", 1), TIMEOUTS, 1);
    let (at, later) = (Time::from_millis(5_000), Time::from_millis(9_000));
    let mut speaker = Roster::new(record("b", 1), TIMEOUTS, 2);
    let mut third = Roster::new(record("c", 1), TIMEOUTS, 3);
    speaker.merge(&third.message(0, at), at);
    roster.merge(&speaker.message(0, at), at);
    let words: BTreeMap<&str, Option<Duration>> = roster.silence(later).collect();
    assert_eq!(words, BTreeMap::from([("b", Some(Duration::from_secs(4))), ("c", None)]));
}
