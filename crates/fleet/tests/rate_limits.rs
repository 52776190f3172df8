//! How rate limits of backend servers spread among the daemons, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use base::rate::Limit;
use base::time::Time;
use fleet::message::{Message, Record};
use fleet::roster::{Roster, Timeouts};
use rstest::rstest;

const TIMEOUTS: Timeouts = Timeouts { suspect: Duration::from_secs(3) };
const SERVER: u32 = 9;

fn record(number: usize) -> Record {
    let name = format!("n{number}");
    Record::new(&name, 1, &name, "d")
}

/// Daemons that exchange messages once a second.
struct Fleet {
    rosters: Vec<Roster>,
    /// The limit that each daemon knows.
    known: BTreeMap<usize, Limit>,
    now: Time,
    /// Limits in all messages together, and their size in bytes.
    sent: (usize, usize),
}

impl Fleet {
    fn new(count: usize) -> Self {
        let roster = |number: usize| {
            let mut roster = Roster::new(record(number), TIMEOUTS, number as u64);
            for other in (0..count).filter(|other| *other != number) {
                let mut peer = Roster::new(record(other), TIMEOUTS, 0);
                roster.merge(&peer.message(0, Time::ZERO), Time::ZERO);
            }
            roster
        };
        let rosters = (0..count).map(roster).collect();
        Self { rosters, known: BTreeMap::new(), now: Time::from_millis(100_000), sent: (0, 0) }
    }

    /// The daemon `number` learns of `limit`, and passes it on if it is later than what it knew.
    fn learn(&mut self, number: usize, limit: Limit) {
        let known = self.known.get(&number);
        if known.is_none_or(|known| known.observed_at < limit.observed_at) {
            self.known.insert(number, limit);
            self.rosters[number].pass_on_rate_limit(SERVER, limit, self.now);
        }
    }

    fn receive(&mut self, number: usize, message: &Message) {
        let text = serde_json::to_string(&message.rate_limits).expect("it can be serialized");
        self.sent.0 += message.rate_limits.len();
        self.sent.1 += if message.rate_limits.is_empty() { 0 } else { text.len() };
        for received in &message.rate_limits {
            let (server, limit) = received.received(self.now);
            assert_eq!(server, SERVER);
            self.learn(number, limit);
        }
    }

    fn run_second(&mut self) {
        self.now = self.now + Duration::from_secs(1);
        for number in 0..self.rosters.len() {
            let Some((target, _)) = self.rosters[number].next_target(self.now) else { continue };
            let target: usize = target[1..].parse().expect("names are numbered");
            let message = self.rosters[number].message(0, self.now);
            self.receive(target, &message);
            let answer = self.rosters[target].answer(&message, 0, self.now);
            self.receive(number, &answer);
        }
    }
}

/// Load: one daemon hears of a limit, and of its end while the limit still spreads. All must believe the later word.
#[rstest]
#[case::small(7, 6)]
#[case::large(119, 12)]
fn the_latest_word_on_a_limit_reaches_every_daemon_in_seconds(#[case] daemons: usize, #[case] max_seconds: u64) {
    let mut fleet = Fleet::new(daemons);
    fleet.learn(0, Limit { per_second: Some(1.5), observed_at: fleet.now });
    fleet.run_second();
    fleet.run_second();
    let end = Limit { per_second: None, observed_at: fleet.now };
    fleet.learn(1, end);
    let mut seconds = 0;
    let ended = |fleet: &Fleet| fleet.known.values().filter(|limit| limit.per_second.is_none()).count();
    while ended(&fleet) < daemons && seconds < 60 {
        fleet.run_second();
        seconds += 1;
    }
    (0..10).for_each(|_| fleet.run_second());
    println!("{daemons} daemons: all know after {seconds} s, {} words, {} bytes", fleet.sent.0, fleet.sent.1);
    assert!(seconds <= max_seconds, "{seconds} s");
    assert!(fleet.sent.0 <= daemons * 2 * 5, "{} words: each daemon passes each on five times", fleet.sent.0);
}
