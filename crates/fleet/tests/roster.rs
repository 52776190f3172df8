//! Membership during deaths, pauses, partitions and wrong suspicions, in virtual time; policy documents from peers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;
use fleet::message::{Message, Record, Snapshot, State};
use fleet::replica::{Document, Origin, Replica, Version};
use fleet::roster::{Roster, Timeouts};
use rstest::rstest;

const TIMEOUTS: Timeouts = Timeouts { suspect: Duration::from_secs(3) };
const POLICY: &str = "[regions.r]\ndomains = [\"d\"]\n[classes.c]\nservice = \"s\"\npaths = [\"/c\"]\nidempotent = true\nrank = 0\ntarget_ms = 1\ntarget_share = 0.9\ndeadline_ms = 1\n";
/// Fingerprint and number of the loss that is passed on persistently.
const PERSISTENT: u64 = 7;

fn record(name: &str, incarnation: u64) -> Record {
    Record::new(name, incarnation, name, "d")
}

/// Daemons that exchange messages once a second, each with the partner that its roster selects.
#[derive(Default)]
struct Fleet {
    rosters: BTreeMap<String, Roster>,
    dead: Vec<String>,
    /// Daemons that reach only each other.
    isolated: Vec<String>,
    now: Time,
    /// Losses that each daemon has received.
    received: BTreeMap<String, BTreeSet<(u64, u64)>>,
    /// Losses in all messages together.
    sent: usize,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut rosters = BTreeMap::new();
        for number in 0..count {
            let name = format!("n{number}");
            let mut roster = Roster::new(record(&name, 1), TIMEOUTS, number as u64);
            for other in (0..count).filter(|other| *other != number) {
                let mut peer = Roster::new(record(&format!("n{other}"), 1), TIMEOUTS, 0);
                roster.merge(&peer.message(0, Time::ZERO), Time::ZERO);
            }
            rosters.insert(name, roster);
        }
        Self { rosters, now: Time::from_millis(1), ..Self::default() }
    }

    fn run_seconds(&mut self, seconds: u64) {
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
        let separated = self.isolated.contains(&name.to_owned()) != self.isolated.contains(&target);
        if self.dead.contains(&target) || separated || !self.rosters.contains_key(&target) {
            return self.rosters.get_mut(name).expect("the name is known").record_failure(&target, now);
        }
        let message = self.rosters.get_mut(name).expect("the name is known").message(0, now);
        self.receive(&target, &message);
        let answer = self.rosters.get_mut(&target).expect("the target is known").message(0, now);
        self.receive(name, &answer);
    }

    /// The daemon `name` merges `message` and passes on the losses that it did not know.
    fn receive(&mut self, name: &str, message: &Message) {
        let roster = self.rosters.get_mut(name).expect("the name is known");
        roster.merge(message, self.now);
        let received = self.received.entry(name.to_owned()).or_default();
        self.sent += message.losses.len();
        let new = message.losses.iter().filter(|loss| received.insert(**loss));
        new.for_each(|loss| {
            if loss.0 == PERSISTENT {
                roster.losses_mut().add_persistent(*loss, self.now);
            } else {
                roster.losses_mut().add(*loss, self.now);
            }
        });
    }

    /// State of `name` in the rosters of the other daemons that run.
    fn states_of(&self, name: &str) -> Vec<Option<State>> {
        let others = self.rosters.iter().filter(|(own, _)| *own != name && !self.dead.contains(own));
        others.map(|(_, roster)| roster.state(name)).collect()
    }
}

#[rstest]
#[case(7)]
#[case(60)]
fn a_dead_daemon_is_known_everywhere_within_seconds(#[case] count: usize) {
    let mut fleet = Fleet::new(count);
    fleet.run_seconds(5);
    fleet.dead.push("n3".to_owned());
    fleet.run_seconds(14);
    assert!(fleet.states_of("n3").iter().all(|state| *state == Some(State::Dead)), "{:?}", fleet.states_of("n3"));
    for other in ["n0", "n1", "n2"] {
        assert!(fleet.states_of(other).iter().all(|state| *state != Some(State::Dead)), "{other} is not dead");
    }
}

#[test]
fn an_isolated_domain_keeps_working_and_rejoins() {
    let mut fleet = Fleet::new(8);
    fleet.isolated = vec!["n0".to_owned(), "n1".to_owned(), "n2".to_owned()];
    fleet.run_seconds(60);
    let isolated = &fleet.rosters["n0"];
    assert_eq!(isolated.state("n1"), Some(State::Alive));
    assert_eq!(isolated.state("n5"), Some(State::Dead));
    assert!(isolated.reads_store(3), "a daemon in the isolated domain reads the store");
    fleet.isolated.clear();
    fleet.run_seconds(60);
    for name in ["n0", "n5"] {
        assert!(
            fleet.states_of(name).iter().all(|state| *state == Some(State::Alive)),
            "{name}: {:?}",
            fleet.states_of(name)
        );
    }
}

#[test]
fn a_paused_daemon_does_not_override_its_successor() {
    let mut observer = Roster::new(record("o", 1), TIMEOUTS, 0);
    let mut old = Roster::new(record("x", 10), TIMEOUTS, 1);
    let mut new = Roster::new(record("x", 20), TIMEOUTS, 2);
    let now = Time::from_millis(1);
    observer.merge(&old.message(0, now), now);
    observer.merge(&new.message(0, now), now);
    old.leave();
    observer.merge(&old.message(0, now), now);
    assert_eq!(observer.state("x"), Some(State::Alive), "the record of the old process has no effect");
    old.merge(&observer.message(0, now), now);
    assert!(old.superseded());
    assert!(!new.superseded());
}

/// Guards against an instance that never is ready, and is known at the addresses of its process before: the clock went back between the
/// two, so that the process before seems to be the later one.
#[test]
fn a_process_that_starts_takes_the_place_of_one_that_seems_later() {
    let now = Time::from_millis(1);
    let mut observer = Roster::new(record("o", 1), TIMEOUTS, 0);
    let mut before = Roster::new(Record { caller_address: "before".to_owned(), ..record("x", 20) }, TIMEOUTS, 1);
    let mut started = Roster::new(Record { caller_address: "started".to_owned(), ..record("x", 10) }, TIMEOUTS, 2);
    observer.merge(&before.message(0, now), now);
    // A message may come before the snapshot that the starting process asks for.
    started.merge(&observer.message(0, now), now);
    started.merge_snapshot(&Snapshot { records: observer.records(), ..Snapshot::default() }, now);
    assert!(!started.superseded());
    observer.merge(&started.message(0, now), now);
    assert_eq!(observer.member("x").expect("it is known").caller_address, "started");
    before.merge(&observer.message(0, now), now);
    assert!(before.superseded());
}

#[test]
fn a_suspected_member_refutes_the_suspicion() {
    let now = Time::from_millis(1);
    let mut observer = Roster::new(record("o", 1), TIMEOUTS, 0);
    let mut suspect = Roster::new(record("x", 1), TIMEOUTS, 1);
    observer.merge(&suspect.message(0, now), now);
    observer.record_failure("x", now);
    suspect.merge(&observer.message(0, now), now);
    observer.merge(&suspect.message(0, now), now);
    assert_eq!(observer.state("x"), Some(State::Alive));
    observer.tick(now + Duration::from_mins(1));
    assert_eq!(observer.state("x"), Some(State::Alive));
}

#[test]
fn a_leaving_member_is_removed_at_once() {
    let now = Time::from_millis(1);
    let mut observer = Roster::new(record("o", 1), TIMEOUTS, 0);
    let mut leaving = Roster::new(record("x", 1), TIMEOUTS, 1);
    observer.merge(&leaving.message(0, now), now);
    leaving.leave();
    observer.merge(&leaving.message(0, now), now);
    assert_eq!(observer.state("x"), Some(State::Left));
    assert_eq!(observer.live_members().count(), 0);
}

#[rstest]
#[case::newer(7, 8, true)]
#[case::same(7, 7, false)]
#[case::older(7, 6, false)]
fn a_policy_never_goes_back_to_an_older_revision(#[case] current: u64, #[case] received: u64, #[case] applied: bool) {
    let mut replica = Replica::new();
    replica.apply(Document::new(current, POLICY.to_owned()), Origin::Peer).expect("the policy is valid");
    let result = replica.apply(Document::new(received, POLICY.to_owned()), Origin::Peer);
    assert_eq!(result.expect("the policy is valid").is_some(), applied);
    assert_eq!(replica.version(), Version::from(current.max(received)));
}

#[test]
fn a_damaged_document_changes_nothing_and_is_fetched_again() {
    let mut replica = Replica::new();
    let mut document = Document::new(3, POLICY.to_owned());
    document.text.push('#');
    replica.apply(document, Origin::Peer).expect_err("the document is damaged");
    assert_eq!(replica.version(), Version::default());
    assert!(replica.needs(3), "another peer may have it intact");
}

#[test]
fn an_old_document_with_a_new_revision_is_damaged() {
    let mut replica = Replica::new();
    let mut document = Document::new(3, POLICY.to_owned());
    document.version.stored.revision = 9;
    replica.apply(document, Origin::Peer).expect_err("the document is damaged");
}

#[test]
fn an_invalid_policy_changes_nothing_and_is_not_fetched_again() {
    let mut replica = Replica::new();
    replica.apply(Document::new(3, "regions = 5".to_owned()), Origin::Peer).expect_err("the policy is invalid");
    assert_eq!(replica.version(), Version::default());
    assert!(!replica.needs(3));
    assert!(replica.needs(4));
}

/// Guards against requests for added routes that are refused as unknown: a peer of another build sends a text of a version that
/// this build cannot read, and the text that it reads from the store for the same version is passed over.
#[test]
fn an_unreadable_text_of_a_peer_does_not_exclude_the_stores_text_of_that_version() {
    let mut replica = Replica::new();
    replica.apply(Document::new(2, POLICY.to_owned()), Origin::Store).expect("the policy is valid");
    let unreadable = Document::new(3, format!("{POLICY}\n[field_of_another_build]\n"));
    replica.apply(unreadable, Origin::Peer).expect_err("the field is unknown");
    assert!(!replica.needs(3), "it is not fetched again from peers");
    let from_store = replica.apply(Document::new(3, POLICY.to_owned()), Origin::Store).expect("the policy is valid");
    assert!(from_store.is_some());
    assert_eq!(replica.version(), Version::from(3));
}

/// Load: many connections of one daemon end at once. Nearly all losses reach all daemons, and each is sent only a few
/// times.
#[rstest]
#[case(24)]
#[case(150)]
fn many_losses_at_once_reach_nearly_all_daemons_and_are_sent_a_few_times(#[case] count: usize) {
    const LOSSES: u64 = 100;
    let mut fleet = Fleet::new(count);
    let now = fleet.now;
    let first = fleet.rosters.get_mut("n0").expect("the name is known");
    (0..LOSSES).for_each(|loss| first.losses_mut().add((loss, loss), now));
    first.losses_mut().add_persistent((PERSISTENT, PERSISTENT), now);
    fleet.received.insert("n0".to_owned(), (0..LOSSES).map(|loss| (loss, loss)).collect());
    fleet.run_seconds(30);
    let received: usize = fleet.received.values().map(BTreeSet::len).sum();
    let everywhere = |loss: u64| fleet.received.values().all(|received| received.contains(&(loss, loss)));
    assert!(everywhere(PERSISTENT), "the persistent loss reached all daemons");
    let ratio = received as f64 / (count as f64 * LOSSES as f64);
    assert!(ratio >= 0.97, "{ratio} of the losses were received");
    let times = fleet.sent as f64 / (count as f64 * LOSSES as f64);
    assert!(times <= 6.0, "each daemon sent each loss {times} times");
}

#[test]
fn a_message_with_losses_alone_gets_an_answer_with_losses_alone() {
    let mut fleet = Fleet::new(24);
    fleet.run_seconds(1);
    let now = fleet.now;
    let mut one = fleet.rosters["n1"].clone();
    let mut other = fleet.rosters["n2"].clone();
    one.losses_mut().add((1, 2), now);
    other.losses_mut().add((3, 4), now);
    let message = one.urgent_message(0, now);
    let answer = other.answer(&message, 0, now);
    assert!(message.is_urgent() && answer.is_urgent());
    assert_eq!((message.losses, answer.losses), (vec![(1, 2)], vec![(3, 4)]));
    let regular = other.message(0, now);
    assert!(!other.answer(&regular, 0, now).records.is_empty(), "a regular message gets a regular answer");
}

/// Only messages from the member itself count, not records of it in messages of others.
#[test]
fn silence_is_the_time_since_a_members_own_last_message() {
    let mut roster = Roster::new(record("a", 1), TIMEOUTS, 1);
    let (at, later) = (Time::from_millis(5_000), Time::from_millis(9_000));
    let mut sender = Roster::new(record("b", 1), TIMEOUTS, 2);
    let mut third = Roster::new(record("c", 1), TIMEOUTS, 3);
    sender.merge(&third.message(0, at), at);
    roster.merge(&sender.message(0, at), at);
    let silence: BTreeMap<&str, Option<Duration>> = roster.silence(later).collect();
    assert_eq!(silence, BTreeMap::from([("b", Some(Duration::from_secs(4))), ("c", None)]));
}

/// Fault: a peer has started after the store was restored, and read a policy there that lacks an evacuation. A daemon that
/// still knows of it takes the new era's policy only from its own copy of the store, unless the operators wrote a later one.
#[rstest]
#[case::same_policy_in_a_later_era(5, 2, 1, false)]
#[case::later_policy(6, 2, 1, true)]
#[case::earlier_policy(4, 2, 90, false)]
#[case::later_change_in_the_same_era(5, 1, 8, true)]
fn a_peers_policy_of_another_era_counts_only_if_the_operators_count_it_higher(
    #[case] declared: u64,
    #[case] era: u64,
    #[case] revision: u64,
    #[case] taken: bool,
) {
    let stored = |era, revision| base::version::Version::new(era, revision);
    let mut replica = Replica::new();
    let known = Document::new(Version::new(5, stored(1, 7)), POLICY.to_owned());
    replica.apply(known, Origin::Peer).expect("the policy is valid");
    let document = Document::new(Version::new(declared, stored(era, revision)), POLICY.to_owned());
    assert_eq!(replica.needs(document.version), taken);
    assert_eq!(replica.apply(document.clone(), Origin::Peer).expect("the policy is valid").is_some(), taken);
    let from_store = Document::new(Version::new(5, stored(2, 1)), POLICY.to_owned());
    let newer = replica.version() < from_store.version;
    assert_eq!(replica.apply(from_store, Origin::Store).expect("the policy is valid").is_some(), newer);
}

/// A daemon of an earlier build sends and reads only revisions; those of a store that names no era look the same as before.
#[test]
fn a_message_without_era_and_number_is_that_of_an_earlier_build() {
    let mut roster = Roster::new(record("a", 1), TIMEOUTS, 1);
    let message = roster.message(7, Time::ZERO);
    let text = serde_json::to_string(&message).expect("it can be written");
    assert!(text.contains("\"v\":7") && !text.contains("\"e\"") && !text.contains("\"d\":0"), "{text}");
    assert_eq!(serde_json::from_str::<Message>(&text).expect("it can be read").version, Version::from(7));
    let version = Version::new(12, base::version::Version::new(3, 9));
    let text = serde_json::to_string(&roster.message(version, Time::ZERO)).expect("it can be written");
    assert_eq!(serde_json::from_str::<Message>(&text).expect("it can be read").version, version);

    let document = Document::new(7, POLICY.to_owned());
    let text = serde_json::to_string(&document).expect("it can be written");
    assert!(text.contains("\"revision\":7") && !text.contains("era") && !text.contains("declared"), "{text}");
    let document = Document::new(version, POLICY.to_owned());
    let text = serde_json::to_string(&document).expect("it can be written");
    assert_eq!(serde_json::from_str::<Document>(&text).expect("it can be read"), document);
}

/// Guards against members that do not learn of each other for good (KNOWN-RED 63): both join through the same one at the same time, which
/// has told each of them of itself as often as it tells of the other.
#[test]
fn a_member_is_not_told_of_itself_instead_of_others() {
    let now = Time::from_millis(1);
    let mut seed = Roster::new(record("seed", 1), TIMEOUTS, 0);
    let mut joined = ["a", "b"].map(|name| Roster::new(record(name, 1), TIMEOUTS, 0));
    for roster in &mut joined {
        roster.merge_snapshot(&Snapshot { records: vec![seed.own().clone()], ..Snapshot::default() }, now);
        for _ in 0..4 {
            let message = roster.message_to("seed", 0, now);
            seed.merge(&message, now);
            roster.merge(&seed.answer(&message, 0, now), now);
            let message = seed.message_to(&roster.own().name.clone(), 0, now);
            roster.merge(&message, now);
        }
    }
    let message = seed.message_to("a", 0, now);
    joined[0].merge(&message, now);
    assert_eq!(joined.each_ref().map(Roster::len), [2, 2]);
}

/// A message as members of builds up to 4e2e901 write and read it, without relay ports and what builds after f5d1856 add.
fn through_an_earlier_build(message: &Message) -> Message {
    let mut message = message.clone();
    message.records.iter_mut().for_each(|record| (record.relay_port, record.heeds_regions) = (None, false));
    message
}

/// Guards against requests that are passed on as to an earlier build for good: members of such builds drop the relay ports, and
/// that regions are heeded, from records that they pass on, and a member may get a record from them first.
#[rstest]
#[case(7)]
#[case(119)]
fn relay_ports_arrive_although_earlier_builds_drop_them(#[case] count: usize) {
    let is_earlier = |number: usize| number % 2 == 1;
    let port = |number: usize| (!is_earlier(number)).then_some(7_201);
    let own = |number: usize| {
        let relay_port = port(number);
        Record { relay_port, heeds_regions: relay_port.is_some(), ..record(&format!("n{number}"), 1) }
    };
    let mut rosters: Vec<Roster> = (0..count).map(|number| Roster::new(own(number), TIMEOUTS, number as u64)).collect();
    let now = Time::from_millis(1);
    // All know all from a member of an earlier build.
    let known: Vec<Record> = (0..count).map(|number| record(&format!("n{number}"), 1)).collect();
    let snapshot = Snapshot { records: known, ..Snapshot::default() };
    rosters.iter_mut().for_each(|roster| roster.merge_snapshot(&snapshot, now));
    for _ in 0..2 * count {
        for number in 0..count {
            let (name, _) = rosters[number].next_target(now).expect("there are others");
            let target: usize = name[1..].parse().expect("names end with the number");
            for (from, to) in [(number, target), (target, number)] {
                let message = rosters[from].message(0, now);
                let message = if is_earlier(from) { through_an_earlier_build(&message) } else { message };
                rosters[to].merge(&message, now);
            }
        }
    }
    for (number, roster) in rosters.iter().enumerate().filter(|(number, _)| !is_earlier(*number)) {
        for other in (0..count).filter(|other| *other != number) {
            let known = roster.member(&format!("n{other}")).expect("all know all");
            let known = (known.relay_port, known.heeds_regions);
            assert_eq!(known, (port(other), !is_earlier(other)), "n{number} of n{other}");
        }
    }
}

/// Guards against two builds that cannot read each other's records: messages as both write them.
#[test]
fn records_of_both_builds_can_be_read() {
    let earlier = "{\"n\":\"a\",\"i\":5,\"b\":2,\"s\":\"a\",\"p\":\"127.0.0.1:7200\",\"d\":\"d\",\"c\":\"127.0.0.1:7000\",\"u\":true}";
    let record: Record = serde_json::from_str(earlier).expect("the earlier build's record can be read");
    assert_eq!((record.relay_port, record.relay_address()), (None, None));
    assert_eq!(serde_json::to_string(&record).expect("it can be written"), earlier);
    let record = Record { relay_port: Some(7_201), ..record };
    let text = serde_json::to_string(&record).expect("it can be written");
    assert_eq!(text, earlier.replace('}', ",\"r\":7201}"), "the new field is one that the earlier build ignores");
    assert_eq!(record.relay_address(), "127.0.0.1:7201".parse().ok());
}
