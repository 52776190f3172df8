//! Requests run at most once under random interleavings of sends, crashes, lost answers and late writes.

use std::collections::BTreeMap;
use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use fakes::state::State;
use ledger::acquire::{Acquisition, Action, Call, Outcome, Reply, Status};
use ledger::claim::Claim;
use ledger::table::{Admission, Ledger, Limits};
use proptest::prelude::*;
use proptest::strategy::ValueTree as _;
use store::{Change, Commit, key};

const DAEMONS: usize = 3;
const KEYS: u128 = 2;
const FINGERPRINT: u64 = 7;
const LIMITS: Limits = Limits { retention: Duration::from_hours(24), max_session_keys: 8, max_answer_bytes: 1_000 };
const NO_DEADLINE: Time = Time::MAX;

/// How a claim is acquired; all but the first are wrong on purpose, to show that the check detects them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Method {
    /// The method of this crate.
    Real,
    /// A lost answer counts as a success.
    AssumeWritten,
    /// A stored claim of ours counts as acquired without another write.
    TrustOwnClaim,
    /// A claimant that does not answer counts as one that never ran the request.
    AssumeNeverRun,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Down,
    LoseAnswer,
    LoseRequest,
    /// The write takes effect after the client has given up on it.
    Late,
}

#[derive(Debug, Clone)]
enum Stage {
    New,
    Calling(Acquisition, Call),
    /// The request may be sent to a backend server; its claim has this revision.
    Ready(u64),
    Ended,
}

/// One send of a request to a daemon.
#[derive(Debug, Clone)]
struct Send {
    daemon: usize,
    incarnation: u64,
    key: u128,
    stage: Stage,
}

struct World {
    method: Method,
    store: State,
    daemons: Vec<(u64, Ledger<u64>)>,
    sends: Vec<Send>,
    late: Vec<Change>,
    runs: BTreeMap<u128, u32>,
    next_incarnation: u64,
}

/// One event of the schedule.
#[derive(Debug, Clone, Copy)]
enum Event {
    Send(usize, u128),
    Step(usize, Fault, u8),
    Kill(usize),
    DeliverLate(usize),
}

impl World {
    fn new(method: Method) -> Self {
        let daemons = (1..=DAEMONS as u64).map(|incarnation| (incarnation, Ledger::new(LIMITS))).collect();
        let (sends, late, runs) = (Vec::new(), Vec::new(), BTreeMap::new());
        Self { method, store: State::new(), daemons, sends, late, runs, next_incarnation: 100 }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Send(daemon, key) => {
                let incarnation = self.daemons[daemon].0;
                self.sends.push(Send { daemon, incarnation, key, stage: Stage::New });
            }
            Event::Step(which, fault, ending) => {
                if let Some(index) = which.checked_rem(self.sends.len()) {
                    self.step(index, fault, ending);
                }
            }
            Event::Kill(daemon) => {
                self.next_incarnation += 1;
                self.daemons[daemon] = (self.next_incarnation, Ledger::new(LIMITS));
            }
            Event::DeliverLate(which) => {
                if let Some(index) = which.checked_rem(self.late.len()) {
                    let change = self.late.remove(index);
                    self.store.commit(&[change], Time::ZERO);
                }
            }
        }
    }

    fn step(&mut self, index: usize, fault: Fault, ending: u8) {
        let send = self.sends[index].clone();
        if self.daemons[send.daemon].0 != send.incarnation {
            self.sends[index].stage = Stage::Ended;
            return;
        }
        self.sends[index].stage = match send.stage.clone() {
            Stage::New => self.begin(&send),
            Stage::Calling(acquisition, call) => {
                let reply = self.call(&send, &call, fault);
                self.reply(&send, acquisition, reply)
            }
            Stage::Ready(revision) => self.run(&send, revision, fault, ending),
            Stage::Ended => Stage::Ended,
        };
    }

    fn begin(&mut self, send: &Send) -> Stage {
        let ledger = &mut self.daemons[send.daemon].1;
        match ledger.begin(send.key, FINGERPRINT, false, Time::ZERO) {
            Admission::Claim => {
                ledger.record_claim_sent(send.key);
                let acquisition =
                    Acquisition::new(send.incarnation, FINGERPRINT, ledger.is_unsent(send.key), NO_DEADLINE);
                let Action::Call(call) = acquisition.start::<u64>() else { unreachable!("the first action is a call") };
                Stage::Calling(acquisition, call)
            }
            Admission::Run => unreachable!("no key belongs to a session"),
            Admission::Replay(_) | Admission::Refuse(_) => Stage::Ended,
        }
    }

    fn call(&mut self, send: &Send, call: &Call, fault: Fault) -> Reply<u64> {
        let name = key::claim(send.key);
        match call {
            Call::Write(expect) => {
                let claim =
                    Claim { incarnation: send.incarnation, fingerprint: FINGERPRINT, peer_address: String::new() };
                let change = Change::set(&name, *expect, claim.to_bytes());
                self.write(change, fault)
            }
            Call::Read => match fault {
                Fault::None => {
                    let found = self.store.range(&name, None, Time::ZERO).pop();
                    Reply::Found(found.map(|entry| {
                        let claim = Claim::parse(&entry.value).expect("stored claims are valid");
                        (claim, entry.revision)
                    }))
                }
                _ => Reply::Unsent,
            },
            Call::Ask(claim, revision) => {
                let status = self.ask(claim, send.key, fault);
                Reply::Status(status, *revision)
            }
        }
    }

    fn ask(&mut self, claim: &Claim, key: u128, fault: Fault) -> Status<u64> {
        let claimant = self.daemons.iter_mut().find(|(incarnation, _)| *incarnation == claim.incarnation);
        match (claimant, fault) {
            (Some((_, ledger)), Fault::None | Fault::Late) => ledger.status(key, Time::ZERO),
            // The call arrives and its answer is lost.
            (Some((_, ledger)), Fault::LoseAnswer) => {
                ledger.status(key, Time::ZERO);
                Status::Unknown
            }
            _ if self.method == Method::AssumeNeverRun => Status::NeverRun,
            _ => Status::Unknown,
        }
    }

    fn write(&mut self, change: Change, fault: Fault) -> Reply<u64> {
        match fault {
            Fault::Down => Reply::Unsent,
            Fault::LoseRequest => Reply::Lost,
            Fault::Late => {
                self.late.push(change);
                Reply::Lost
            }
            Fault::LoseAnswer => {
                self.store.commit(&[change], Time::ZERO);
                Reply::Lost
            }
            Fault::None => match self.store.commit(&[change], Time::ZERO) {
                Commit::Done(revision) => Reply::Written(revision),
                Commit::Conflict => Reply::Conflict,
            },
        }
    }

    fn reply(&mut self, send: &Send, acquisition: Acquisition, reply: Reply<u64>) -> Stage {
        let own = |claim: &Claim| claim.incarnation == send.incarnation;
        let action = match (self.method, &reply) {
            (Method::AssumeWritten, Reply::Lost) => Action::Finish(Outcome::Acquired(0)),
            (Method::TrustOwnClaim, Reply::Found(Some((claim, revision)))) if own(claim) => {
                Action::Finish(Outcome::Acquired(*revision))
            }
            _ => acquisition.handle(reply, Time::ZERO),
        };
        match action {
            Action::Call(call) => Stage::Calling(acquisition, call),
            Action::Finish(outcome) => {
                let revision = if let Outcome::Acquired(revision) = outcome { revision } else { 0 };
                match self.daemons[send.daemon].1.finish_claim(send.key, outcome, Time::ZERO) {
                    Admission::Run => Stage::Ready(revision),
                    Admission::Claim | Admission::Replay(_) | Admission::Refuse(_) => Stage::Ended,
                }
            }
        }
    }

    /// The backend server runs the request, loses the connection after running it, or sheds it.
    fn run(&mut self, send: &Send, revision: u64, fault: Fault, ending: u8) -> Stage {
        if ending % 3 == 2 {
            let release = self.daemons[send.daemon].1.record_failure(send.key, Kind::Shed, Time::ZERO);
            assert!(release, "a claim that never ran is released");
            let deleted = self.write(Change::delete(&key::claim(send.key), revision), fault);
            if matches!(deleted, Reply::Written(_)) {
                self.daemons[send.daemon].1.record_release(send.key);
            }
            return Stage::Ended;
        }
        *self.runs.entry(send.key).or_default() += 1;
        let ledger = &mut self.daemons[send.daemon].1;
        if ending.is_multiple_of(3) {
            ledger.record_answer(send.key, 1, 10, Time::ZERO);
        } else {
            ledger.record_failure(send.key, Kind::BackendLost, Time::ZERO);
        }
        Stage::Ended
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Down),
        2 => Just(Fault::LoseAnswer),
        1 => Just(Fault::LoseRequest),
        2 => Just(Fault::Late),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..DAEMONS, 0..KEYS).prop_map(|(daemon, key)| Event::Send(daemon, key)),
        12 => (any::<usize>(), fault(), any::<u8>()).prop_map(|(which, fault, ending)| Event::Step(which, fault, ending)),
        1 => (0..DAEMONS).prop_map(Event::Kill),
        2 => any::<usize>().prop_map(Event::DeliverLate),
    ]
}

/// Returns the first of `cases` schedules in which a key ran twice; `None` if there is none.
fn find_double_run(method: Method, cases: u32, seed: u64) -> Option<Vec<Event>> {
    let rng = proptest::test_runner::TestRng::from_seed(
        proptest::test_runner::RngAlgorithm::ChaCha,
        &std::array::from_fn::<u8, 32, _>(|at| seed.to_le_bytes()[at % 8]),
    );
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(ProptestConfig::default(), rng);
    let schedules = prop::collection::vec(event(), 1..120);
    (0..cases).find_map(|_| {
        let schedule = schedules.new_tree(&mut runner).expect("the strategy always gives a value").current();
        let mut world = World::new(method);
        for event in &schedule {
            world.play(*event);
        }
        world.runs.values().any(|runs| *runs > 1).then_some(schedule)
    })
}

/// Number of schedules, from the environment if set there.
fn cases() -> u32 {
    let cases = std::env::var("HEMLOCK_CASES").ok().and_then(|text| text.parse().ok());
    cases.unwrap_or(20_000)
}

#[test]
fn no_key_runs_twice() {
    let schedule = find_double_run(Method::Real, cases(), 1);
    assert!(schedule.is_none(), "a key ran twice: {schedule:?}");
}

/// The same check detects each wrong method, so it can fail.
#[rstest::rstest]
#[case::a_lost_answer_counts_as_success(Method::AssumeWritten)]
#[case::an_own_claim_is_trusted(Method::TrustOwnClaim)]
#[case::silence_counts_as_never_run(Method::AssumeNeverRun)]
fn the_check_detects_wrong_methods(#[case] method: Method) {
    assert!(find_double_run(method, 20_000, 1).is_some(), "{method:?} was not detected");
}

#[test]
fn a_shed_request_runs_at_another_daemon() {
    let mut world = World::new(Method::Real);
    let shed_then_ok = [
        Event::Send(0, 0),
        Event::Step(0, Fault::None, 0),
        Event::Step(0, Fault::None, 0),
        // The request is shed, and the deletion of the claim is lost before it reaches the store.
        Event::Step(0, Fault::LoseRequest, 2),
        Event::Send(1, 0),
        Event::Step(1, Fault::None, 0),
        Event::Step(1, Fault::None, 0),
        Event::Step(1, Fault::None, 0),
        Event::Step(1, Fault::None, 0),
        Event::Step(1, Fault::None, 0),
        Event::Step(1, Fault::None, 0),
    ];
    for event in shed_then_ok {
        world.play(event);
    }
    assert_eq!(world.runs.get(&0), Some(&1));
}
