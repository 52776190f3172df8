//! Membership: the state and the incarnation of each daemon.
//!
//! A member is suspected before it counts as dead, and it can refute the suspicion. A record of a higher incarnation
//! supersedes all records of lower ones.

mod outgoing;

use std::collections::BTreeMap;
use std::time::Duration;

use base::hash;
use base::instance::{Instance, Role};
use base::rate::Limit;
use base::time::Time;

use crate::gossip::Gossip;
use crate::load::Loads;
use crate::message::{Message, Record, Snapshot, State};
use crate::target::Targets;

/// One in this many exchanges may go to a dead member, so that the end of a partition is noticed.
const DEAD_TARGET_ODDS: u32 = 8;
/// Messages that contain a changed record, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 2;
/// How long the record of a member that died or left is kept.
const DEAD_RETENTION: Duration = Duration::from_mins(10);

/// Timeouts of the membership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time from the suspicion of a member until it counts as dead.
    pub suspect: Duration,
}

#[derive(Debug, Clone)]
struct Member {
    record: Record,
    /// When its record last changed here.
    changed_at: Time,
    /// When this daemon last received a message from it directly; `None` before the first one.
    last_contact: Option<Time>,
    /// Messages that are still to contain its record.
    sends_left: u32,
}

/// The members as a daemon knows them, itself among them.
#[derive(Debug, Clone)]
pub struct Roster {
    own: Record,
    timeouts: Timeouts,
    members: BTreeMap<String, Member>,
    /// Entry instances in the platform's list, by name.
    listed: BTreeMap<String, Instance>,
    targets: Targets,
    loads: Loads,
    /// Losses of connections: the request's fingerprint and the number of the loss.
    losses: Gossip<(u64, u64)>,
    /// Numbers of backend servers that announced that they leave.
    leaving: Gossip<u32>,
    /// Rate limits of backend servers that began, changed, ended or were confirmed, by the server's number.
    rate_limits: Gossip<(u32, Limit)>,
    /// Whether a process with a higher incarnation runs under this daemon's name.
    superseded: bool,
}

impl Roster {
    /// Creates a roster that contains only its own daemon, `own`; `seed` determines the random choice of members.
    pub fn new(own: Record, timeouts: Timeouts, seed: u64) -> Self {
        Self {
            own,
            timeouts,
            members: BTreeMap::new(),
            listed: BTreeMap::new(),
            targets: Targets::new(seed),
            loads: Loads::new(),
            losses: Gossip::new(),
            leaving: Gossip::new(),
            rate_limits: Gossip::new(),
            superseded: false,
        }
    }

    /// Returns this daemon's own record.
    pub const fn own(&self) -> &Record {
        &self.own
    }

    /// Changes whether this daemon tells the others that it reaches no backend server. The new record supersedes its
    /// earlier ones, as a refutation does.
    pub fn set_without_servers(&mut self, without_servers: bool) {
        if self.own.without_servers != without_servers {
            self.own.without_servers = without_servers;
            self.own.refutations += 1;
        }
    }

    /// Whether the member `name` has told that it reaches no backend server.
    pub fn is_without_servers(&self, name: &str) -> bool {
        let record = if name == self.own.name { Some(&self.own) } else { self.members.get(name).map(|m| &m.record) };
        record.is_some_and(|record| record.without_servers)
    }

    /// Whether a later process has started under this daemon's name.
    pub const fn superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the loads of failure domains.
    pub const fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Returns the loads of failure domains, to record the ones measured here.
    pub const fn loads_mut(&mut self) -> &mut Loads {
        &mut self.loads
    }

    /// Stores the entry instances of the platform's list.
    pub fn set_listed(&mut self, instances: &[Instance]) {
        let entries = instances.iter().filter(|instance| instance.role == Role::Entry);
        self.listed = entries.map(|instance| (instance.name.clone(), instance.clone())).collect();
    }

    /// Returns the entry instances in the platform's list, by name.
    pub const fn listed(&self) -> &BTreeMap<String, Instance> {
        &self.listed
    }

    /// Marks this daemon as leaving; its next messages announce that.
    pub const fn leave(&mut self) {
        self.own.state = State::Left;
    }

    /// Returns the member for the next exchange and its address; `None` if there is none.
    ///
    /// Also removes old records of members that died or left.
    pub fn next_target(&mut self, now: Time) -> Option<(String, String)> {
        self.remove_expired(now);
        let include_dead = self.targets.one_in(DEAD_TARGET_ODDS);
        let own = &self.own.name;
        let members = &self.members;
        let is_dead = |name: &str| members.get(name).is_some_and(|member| member.record.state >= State::Dead);
        let names = members.keys().chain(self.listed.keys().filter(|name| !members.contains_key(*name)));
        let allowed = |name: &str| name != own && (include_dead || !is_dead(name));
        let name = self.targets.next_allowed(names, allowed)?;
        let address = self.address(&name)?.to_owned();
        Some((name, address))
    }

    /// Returns up to `limit` random live members with their addresses.
    pub fn random_members(&mut self, limit: usize) -> Vec<(String, String)> {
        let live: Vec<String> = self.live_members().map(str::to_owned).collect();
        let chosen = self.targets.sample(live, limit);
        chosen.into_iter().filter_map(|name| Some((name.clone(), self.address(&name)?.to_owned()))).collect()
    }

    /// Returns the record of another member `name`; `None` if it has told nothing of itself, directly or through others.
    pub fn member(&self, name: &str) -> Option<&Record> {
        let record = self.members.get(name).map(|member| &member.record);
        record.filter(|record| record.incarnation > 0)
    }

    /// Returns the address for peers of the member `name`; `None` if it is neither known nor listed.
    pub fn address(&self, name: &str) -> Option<&str> {
        let member = self.members.get(name).map(|member| member.record.peer_address.as_str());
        member.or_else(|| self.listed.get(name).map(|instance| instance.peers.as_str()))
    }

    /// Applies the records and loads of a message received at `now`.
    pub fn merge(&mut self, message: &Message, now: Time) {
        self.apply(&message.from, now);
        self.record_contact(&message.from, now);
        for record in &message.records {
            self.apply(record, now);
        }
        for load in &message.loads {
            self.loads.merge(load, now);
        }
    }

    /// Applies the records of a peer's snapshot, which a daemon fetches when it starts.
    pub fn merge_snapshot(&mut self, snapshot: &Snapshot, now: Time) {
        for record in &snapshot.records {
            self.apply(record, now);
            self.succeed(record);
        }
    }

    /// Takes the place of an earlier process of this daemon whose record, in the snapshot that a starting daemon fetches, seems to be
    /// of a later one: the machine's clock went back in between.
    fn succeed(&mut self, record: &Record) {
        if record.name == self.own.name && record.incarnation > self.own.incarnation {
            self.own.incarnation = record.incarnation.saturating_add(1);
            self.superseded = false;
        }
    }

    /// Returns the records of all members, this daemon's own first.
    pub fn records(&self) -> Vec<Record> {
        let others = self.members.values().map(|member| member.record.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Records that the member `name` did not answer: an alive member becomes suspect.
    pub fn record_failure(&mut self, name: &str, now: Time) {
        let sends = self.sends();
        let listed = self.listed.get(name);
        let member = match (self.members.get_mut(name), listed) {
            (Some(member), _) => member,
            (None, Some(listed)) => {
                let record = initial_record(listed);
                let member = Member { record, changed_at: now, last_contact: None, sends_left: 0 };
                self.members.entry(name.to_owned()).or_insert(member)
            }
            (None, None) => return,
        };
        if member.record.state == State::Alive {
            member.record.state = State::Suspect;
            member.changed_at = now;
            member.sends_left = sends;
        }
    }

    /// Marks members as dead whose suspicion was not refuted in time.
    pub fn tick(&mut self, now: Time) {
        let sends = self.sends();
        for member in self.members.values_mut() {
            let due = now.since(member.changed_at) >= self.timeouts.suspect;
            if member.record.state == State::Suspect && due {
                member.record.state = State::Dead;
                member.changed_at = now;
                member.sends_left = sends;
            }
        }
    }

    /// Returns the state of `name`; `None` if this daemon has no record of it.
    pub fn state(&self, name: &str) -> Option<State> {
        if name == self.own.name {
            return Some(self.own.state);
        }
        self.members.get(name).map(|member| member.record.state)
    }

    /// Returns the records of the other members that have not announced their departure.
    pub fn other_members(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|member| &member.record).filter(|record| record.state < State::Left)
    }

    /// Returns the names of the other members that are alive or suspect.
    pub fn live_members(&self) -> impl Iterator<Item = &str> {
        let live = self.members.values().filter(|member| member.record.state <= State::Suspect);
        live.map(|member| member.record.name.as_str())
    }

    /// Returns the number of members that have not announced their departure, whether or not they answer; listed
    /// instances and this daemon are included.
    pub fn remaining_members(&self) -> usize {
        let remaining = self.members.values().filter(|member| member.record.state != State::Left);
        let unmet = self.listed.keys().filter(|name| !self.members.contains_key(*name) && **name != self.own.name);
        remaining.count() + unmet.count() + 1
    }

    /// Returns the name and the failure domain of each alive member, this daemon among them; suspects are left out.
    pub fn responsive_members(&self) -> impl Iterator<Item = (&str, &str)> {
        let others = self.members.values().map(|member| &member.record).filter(|record| record.state == State::Alive);
        std::iter::once(&self.own).chain(others).map(|record| (record.name.as_str(), record.domain.as_str()))
    }

    /// Returns the names of the alive or suspect members of `domain`, this daemon among them.
    pub fn live_members_in<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a str> {
        let others = self.members.values().map(|member| &member.record);
        let all = std::iter::once(&self.own).chain(others);
        let inside = all.filter(move |record| record.domain == domain && record.state <= State::Suspect);
        inside.map(|record| record.name.as_str())
    }

    /// Returns a hash of the members' names, failure domains, addresses, incarnations and states, to detect that any of
    /// them changed.
    pub fn digest(&self) -> u64 {
        let records = std::iter::once(&self.own).chain(self.members.values().map(|member| &member.record));
        records.fold(0, |hash, record| {
            let texts = [&record.name, &record.domain, &record.caller_address, &record.peer_address];
            let texts = texts.into_iter().fold(hash, |hash, text| hash::combine(hash, hash::bytes(text.as_bytes())));
            let state = (record.state as u64) << 1 | u64::from(record.without_servers);
            let state = state | u64::from(record.capacity.unwrap_or(0)) << 8;
            hash::combine(hash::combine(texts, record.incarnation), state)
        })
    }

    /// Whether this daemon is one of the up to `readers` daemons of its failure domain that read from the store.
    pub fn reads_store(&self, readers: usize) -> bool {
        let rank = |name: &str| hash::bytes(name.as_bytes());
        let own = rank(&self.own.name);
        let ahead = self.live_members_in(&self.own.domain).filter(|name| rank(name) > own).count();
        ahead < readers
    }

    /// Returns the number of other members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn apply(&mut self, record: &Record, now: Time) {
        if record.name == self.own.name {
            return self.apply_own(record);
        }
        let sends = self.sends();
        match self.members.get_mut(&record.name) {
            Some(member) if record.supersedes(&member.record) => {
                member.changed_at = now;
                member.sends_left = sends;
                let earlier = std::mem::replace(&mut member.record, record.clone());
                member.record.complete_from(&earlier);
            }
            Some(member) => member.record.complete_from(record),
            None => {
                let member = Member { record: record.clone(), changed_at: now, last_contact: None, sends_left: sends };
                self.members.insert(record.name.clone(), member);
            }
        }
    }

    /// Records a message from `sender`; if its state here is worse than the one it sent, the next messages contain the
    /// record from here, so that it can refute it.
    fn record_contact(&mut self, sender: &Record, now: Time) {
        let sends = self.sends();
        let Some(member) = self.members.get_mut(&sender.name) else { return };
        member.last_contact = Some(now);
        if member.record.state > sender.state {
            member.sends_left = sends + 1;
        }
    }

    /// Returns the time since the last message directly from each alive or suspect member, by name; `None` if there was
    /// none.
    pub fn silence(&self, now: Time) -> impl Iterator<Item = (&str, Option<Duration>)> {
        let live = self.members.values().filter(|member| member.record.state <= State::Suspect);
        live.map(move |member| (member.record.name.as_str(), member.last_contact.map(|contact| now.since(contact))))
    }

    /// Refutes a wrong record of this daemon, and detects a later process under its name.
    fn apply_own(&mut self, record: &Record) {
        if record.incarnation > self.own.incarnation {
            self.superseded = true;
            return;
        }
        let wrong = record.incarnation == self.own.incarnation && record.state > self.own.state;
        if wrong && record.refutations >= self.own.refutations {
            self.own.refutations = record.refutations + 1;
        }
    }

    /// Removes old records of members that died or left and are not listed.
    fn remove_expired(&mut self, now: Time) {
        let listed = &self.listed;
        self.members.retain(|name, member| {
            let expired = member.record.state >= State::Dead && now.since(member.changed_at) >= DEAD_RETENTION;
            !expired || listed.contains_key(name)
        });
    }

    /// Returns the number of messages that a changed record goes into.
    fn sends(&self) -> u32 {
        SENDS_PER_DOUBLING * (usize::BITS - self.members.len().leading_zeros()).max(1)
    }
}

/// Creates the record of a listed instance that sent no message yet; any record of its own supersedes it.
fn initial_record(listed: &Instance) -> Record {
    let record = Record::new(&listed.name, 0, &listed.peers, &listed.domain);
    Record { caller_address: listed.address.clone(), ..record }
}
