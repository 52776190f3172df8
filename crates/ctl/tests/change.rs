//! Changes of the policy with lost answers, outages and concurrent operators.

use config::policy::{Policy, Scope};
use ctl::Error;
use ctl::change::{self, Outcome};
use ctl::cli::{Command, Verb};
use fakes::memory::{Fault, Memory};
use rstest::rstest;
use store::{Change, Commit, Entry, Lease, Store, key};

const POLICY: &str = include_str!("../../../deploy/bayline/policy.toml");

fn policy() -> Policy {
    Policy::parse("p", POLICY).expect("the policy is valid")
}

fn store() -> Memory {
    let store = Memory::new();
    change::replace(&store, "first", policy(), 0).expect("the store works");
    store
}

fn drain(policy: &mut Policy, name: &str) -> ctl::Result<()> {
    policy.drains.push(config::policy::Drain { scope: Scope::Region, name: name.to_owned() });
    Ok(policy.check("p")?)
}

/// A store whose next calls fail with the given faults, one per call, and that works afterwards.
struct Faulty {
    store: Memory,
    faults: std::sync::Mutex<Vec<Fault>>,
}

impl Faulty {
    fn new(store: Memory, faults: &[Fault]) -> Self {
        Self { store, faults: std::sync::Mutex::new(faults.iter().rev().copied().collect()) }
    }

    fn set_next_fault(&self) {
        let fault = self.faults.lock().expect("the lock is not poisoned").pop().unwrap_or_default();
        self.store.set_fault(fault);
    }
}

impl Store for Faulty {
    fn read(&self, key: &str) -> store::Result<Option<Entry>> {
        self.set_next_fault();
        self.store.read(key)
    }

    fn list(&self, prefix: &str) -> store::Result<Vec<Entry>> {
        self.set_next_fault();
        self.store.list(prefix)
    }

    fn commit(&self, changes: &[Change]) -> store::Result<Commit> {
        self.set_next_fault();
        self.store.commit(changes)
    }

    fn grant(&self, ttl: std::time::Duration) -> store::Result<Lease> {
        self.set_next_fault();
        self.store.grant(ttl)
    }

    fn renew(&self, lease: Lease) -> store::Result<bool> {
        self.set_next_fault();
        self.store.renew(lease)
    }
}

/// The calls are a read and a write, then read-backs and repeated writes by turns.
#[rstest]
#[case::healthy(&[], true)]
#[case::answer_lost(&[Fault::None, Fault::LoseAnswer], true)]
#[case::request_lost(&[Fault::None, Fault::LoseRequest], true)]
#[case::answer_lost_and_one_read_fails(&[Fault::None, Fault::LoseAnswer, Fault::Down], true)]
#[case::two_answers_lost(&[Fault::None, Fault::LoseRequest, Fault::None, Fault::LoseAnswer], true)]
#[case::down_before_the_write(&[Fault::None, Fault::Down], false)]
#[case::down_from_the_start(&[Fault::Down], false)]
fn a_change_is_acknowledged_only_if_it_took_effect_once(#[case] faults: &[Fault], #[case] acknowledged: bool) {
    let store = Faulty::new(store(), faults);
    let result = change::edit(&store, "mine", |policy| drain(policy, "ohio"));
    assert_eq!(result.is_ok(), acknowledged, "{result:?}");
    store.store.set_fault(Fault::None);
    let (after, revision) = change::read(&store.store).expect("the store works again");
    assert_eq!(after.drains.len(), usize::from(acknowledged));
    if let Ok(outcome) = result {
        assert_eq!(outcome.revision(), revision);
        assert_eq!(after.changes.iter().filter(|change| *change == "mine").count(), 1);
    }
}

#[test]
fn an_unknown_outcome_is_reported_and_can_be_settled() {
    let faults = [&[Fault::None, Fault::LoseAnswer][..], &[Fault::Down; 8][..]].concat();
    let store = Faulty::new(store(), &faults);
    let error = change::edit(&store, "mine", |policy| drain(policy, "ohio")).expect_err("the store went down");
    assert!(matches!(&error, Error::Unknown { id, .. } if id == "mine"));
    assert_eq!(error.exit_code(), 4);
    store.store.set_fault(Fault::None);
    let (after, _) = change::read(&store.store).expect("the store works again");
    assert!(after.changes.contains(&"mine".to_owned()), "it had taken effect");
}

#[test]
fn concurrent_operators_lose_no_change() {
    let store = store();
    std::thread::scope(|scope| {
        for name in ["ohio", "wisconsin"] {
            let store = &store;
            scope.spawn(move || change::edit(store, name, |policy| drain(policy, name)).expect("both succeed"));
        }
    });
    let (after, _) = change::read(&store).expect("the store works");
    assert_eq!(after.drains.len(), 2);
}

#[test]
fn a_replacement_of_an_old_revision_is_refused() {
    let store = store();
    let (_, old) = change::read(&store).expect("the store works");
    change::edit(&store, "other", |policy| drain(policy, "ohio")).expect("the store works");
    let error = change::replace(&store, "mine", policy(), old).expect_err("the policy has a newer revision");
    assert_eq!(error.exit_code(), 3);
    assert_eq!(change::read(&store).expect("the store works").0.drains.len(), 1);
}

#[test]
fn an_invalid_change_changes_nothing() {
    let store = store();
    let before = change::read(&store).expect("the store works");
    let result = change::edit(&store, "mine", |policy| {
        policy.classes.clear();
        Ok(())
    });
    assert_eq!(result.expect_err("no class is left").exit_code(), 2);
    assert_eq!(change::read(&store).expect("the store works"), before);
}

#[test]
fn an_edit_without_effect_keeps_the_revision() {
    let store = store();
    let (_, revision) = change::read(&store).expect("the store works");
    let outcome = change::edit(&store, "mine", |_| Ok(())).expect("the store works");
    assert_eq!(outcome, Outcome::Unchanged(revision));
}

#[test]
fn a_truncated_policy_in_the_store_is_an_input_error() {
    let store = store();
    let (_, revision) = change::read(&store).expect("the store works");
    store.commit(&[Change::set(key::POLICY, revision, b"[regions".to_vec())]).expect("the store works");
    assert_eq!(change::read(&store).expect_err("the policy is not valid TOML").exit_code(), 2);
}

#[rstest]
#[case::no_verb(&[], None)]
#[case::unknown_verb(&["fly"], None)]
#[case::unknown_scope(&["drain", "planet", "x"], None)]
#[case::unknown_option(&["show", "--fast"], None)]
#[case::show(&["show", "--json"], Some(Verb::Show))]
#[case::drain(&["drain", "region", "ohio"], Some(Verb::Drain(Scope::Region, "ohio".to_owned())))]
#[case::help(&["--help"], Some(Verb::Help))]
fn command_lines(#[case] arguments: &[&str], #[case] verb: Option<Verb>) {
    let parsed = Command::parse(arguments.iter().map(|argument| (*argument).to_owned()));
    match (parsed, verb) {
        (Ok(command), Some(verb)) => assert_eq!(command.verb, verb),
        (Err(error), None) => assert_eq!(error.exit_code(), 2),
        (parsed, _) => panic!("{parsed:?}"),
    }
}
