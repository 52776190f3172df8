//! Membership: who lives, who leaves, and which incarnation speaks.
//!
//! Suspicion comes before removal and its subject can object; a higher incarnation overrides all of a lower one.

use std::collections::BTreeMap;
use std::time::Duration;

use base::hash;
use base::instance::{Instance, Role};
use base::time::Time;

use crate::gossip::Gossip;
use crate::load::Loads;
use crate::message::{MAX_LEAVING, MAX_LOADS, MAX_LOSSES, MAX_RECORDS, Message, Record, Snapshot, State};
use crate::target::Targets;

/// One in so many exchanges goes to a member believed dead, so that a healed partition is noticed.
const DEAD_CHANCE: u32 = 8;
/// Times a piece of news is passed on, for each doubling of the members.
const SPREAD: u32 = 2;
/// How long the record of a dead or departed member is kept.
const GRAVE: Duration = Duration::from_mins(10);

/// Timeouts of the membership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// From suspicion to removal.
    pub suspect: Duration,
}

#[derive(Debug, Clone)]
struct Member {
    record: Record,
    /// When its state last changed here.
    changed: Time,
    /// When it last spoke to us itself.
    heard: Option<Time>,
    /// Times its record is still to be passed on.
    spread: u32,
}

/// What a daemon believes of all members, itself among them.
#[derive(Debug, Clone)]
pub struct Roster {
    own: Record,
    timeouts: Timeouts,
    members: BTreeMap<String, Member>,
    listed: BTreeMap<String, Instance>,
    targets: Targets,
    loads: Loads,
    /// Losses of connections.
    losses: Gossip<(u64, u64)>,
    /// Backend servers that said that they leave, by number.
    leaving: Gossip<u32>,
    superseded: bool,
}

impl Roster {
    /// A roster that knows only its own daemon, `own`.
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
            superseded: false,
        }
    }

    /// Our own record.
    pub const fn own(&self) -> &Record {
        &self.own
    }

    /// Whether another process has started under our name after us.
    pub const fn superseded(&self) -> bool {
        self.superseded
    }

    /// Loads of failure domains.
    pub const fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Loads of failure domains, to note own ones.
    pub const fn loads_mut(&mut self) -> &mut Loads {
        &mut self.loads
    }

    /// Losses of connections, to be passed on.
    pub const fn losses_mut(&mut self) -> &mut Gossip<(u64, u64)> {
        &mut self.losses
    }

    /// Numbers of backend servers that said that they leave, to be passed on.
    pub const fn leaving_mut(&mut self) -> &mut Gossip<u32> {
        &mut self.leaving
    }

    /// Takes the platform's list.
    pub fn set_listed(&mut self, instances: &[Instance]) {
        let entries = instances.iter().filter(|instance| instance.role == Role::Entry);
        self.listed = entries.map(|instance| (instance.name.clone(), instance.clone())).collect();
    }

    /// Entry instances in the platform's list, by name.
    pub const fn listed(&self) -> &BTreeMap<String, Instance> {
        &self.listed
    }

    /// Says that we stop.
    pub const fn leave(&mut self) {
        self.own.state = State::Left;
    }

    /// Who to speak with next, and where it is reached.
    pub fn next_target(&mut self, now: Time) -> Option<(String, String)> {
        self.bury(now);
        let dead_too = self.targets.one_in(DEAD_CHANCE);
        let own = &self.own.name;
        let members = &self.members;
        let gone = |name: &str| members.get(name).is_some_and(|member| member.record.state >= State::Dead);
        let names = members.keys().chain(self.listed.keys().filter(|name| !members.contains_key(*name)));
        let allowed = |name: &str| name != own && (dead_too || !gone(name));
        let name = self.targets.next_allowed(names, allowed)?;
        let address = self.address(&name)?.to_owned();
        Some((name, address))
    }

    /// Up to `most` living members to tell at once, with where they are reached.
    pub fn random_members(&mut self, most: usize) -> Vec<(String, String)> {
        let alive: Vec<String> = self.live_members().map(str::to_owned).collect();
        let chosen = self.targets.sample(alive, most);
        chosen.into_iter().filter_map(|name| Some((name.clone(), self.address(&name)?.to_owned()))).collect()
    }

    /// Where peers reach the member `name`.
    pub fn address(&self, name: &str) -> Option<&str> {
        let member = self.members.get(name).map(|member| member.record.peer_address.as_str());
        member.or_else(|| self.listed.get(name).map(|instance| instance.peers.as_str()))
    }

    /// The message for the next exchange; `revision` is that of the policy in force.
    pub fn message(&mut self, revision: u64, now: Time) -> Message {
        let records = self.news();
        let loads = self.loads.next_batch(MAX_LOADS, now);
        Message { records, loads, ..self.urgent_message(revision, now) }
    }

    /// A message that tells of losses and of servers that leave, and of nothing else.
    pub fn urgent_message(&mut self, revision: u64, now: Time) -> Message {
        let losses = self.losses.next_batch(MAX_LOSSES, now);
        let leaving = self.leaving.next_batch(MAX_LEAVING, now);
        Message { from: self.own.clone(), revision, records: Vec::new(), loads: Vec::new(), losses, leaving }
    }

    /// The answer to a message: an urgent one gets one of its kind.
    pub fn answer(&mut self, message: &Message, revision: u64, now: Time) -> Message {
        if message.is_urgent() { self.urgent_message(revision, now) } else { self.message(revision, now) }
    }

    /// Takes in a message that came at `now`.
    pub fn merge(&mut self, message: &Message, now: Time) {
        self.note(&message.from, now);
        self.note_speaker(&message.from, now);
        for record in &message.records {
            self.note(record, now);
        }
        for load in &message.loads {
            self.loads.merge(load, now);
        }
    }

    /// Takes in all that a peer knows.
    pub fn merge_snapshot(&mut self, snapshot: &Snapshot, now: Time) {
        for record in &snapshot.records {
            self.note(record, now);
        }
    }

    /// All that we know, for a starting daemon.
    pub fn records(&self) -> Vec<Record> {
        let others = self.members.values().map(|member| member.record.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// The member `name` did not answer.
    pub fn record_failure(&mut self, name: &str, now: Time) {
        let spread = self.spread();
        let listed = self.listed.get(name);
        let member = match (self.members.get_mut(name), listed) {
            (Some(member), _) => member,
            (None, Some(listed)) => {
                let record = unheard(listed);
                let member = Member { record, changed: now, heard: None, spread: 0 };
                self.members.entry(name.to_owned()).or_insert(member)
            }
            (None, None) => return,
        };
        if member.record.state == State::Alive {
            member.record.state = State::Suspect;
            member.changed = now;
            member.spread = spread;
        }
    }

    /// Turns long suspicion into removal.
    pub fn tick(&mut self, now: Time) {
        let spread = self.spread();
        for member in self.members.values_mut() {
            let due = now.since(member.changed) >= self.timeouts.suspect;
            if member.record.state == State::Suspect && due {
                member.record.state = State::Dead;
                member.changed = now;
                member.spread = spread;
            }
        }
    }

    /// What is believed of `name`; `None` if nobody was ever heard to speak of it.
    pub fn state(&self, name: &str) -> Option<State> {
        if name == self.own.name {
            return Some(self.own.state);
        }
        self.members.get(name).map(|member| member.record.state)
    }

    /// Names of the other members that live, suspects among them.
    pub fn live_members(&self) -> impl Iterator<Item = &str> {
        let living = self.members.values().filter(|member| member.record.state <= State::Suspect);
        living.map(|member| member.record.name.as_str())
    }

    /// Members that answer, ourselves among them: name and failure domain.
    pub fn responsive_members(&self) -> impl Iterator<Item = (&str, &str)> {
        let others = self.members.values().map(|member| &member.record).filter(|record| record.state == State::Alive);
        std::iter::once(&self.own).chain(others).map(|record| (record.name.as_str(), record.domain.as_str()))
    }

    /// Names of all living members of `domain`, ourselves among them.
    pub fn live_members_in<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a str> {
        let others = self.members.values().map(|member| &member.record);
        let all = std::iter::once(&self.own).chain(others);
        let inside = all.filter(move |record| record.domain == domain && record.state <= State::Suspect);
        inside.map(|record| record.name.as_str())
    }

    /// A number that is another one once members came, went, moved or stand differently.
    pub fn digest(&self) -> u64 {
        let records = std::iter::once(&self.own).chain(self.members.values().map(|member| &member.record));
        records.fold(0, |sum, record| {
            let texts = [&record.name, &record.domain, &record.caller_address, &record.peer_address];
            let texts = texts.into_iter().fold(sum, |sum, text| hash::combine(sum, hash::bytes(text.as_bytes())));
            hash::combine(hash::combine(texts, record.incarnation), record.state as u64)
        })
    }

    /// Whether this daemon is one of the `most` in its failure domain that read from the store.
    pub fn reads_store(&self, most: usize) -> bool {
        let rank = |name: &str| hash::bytes(name.as_bytes());
        let own = rank(&self.own.name);
        let better = self.live_members_in(&self.own.domain).filter(|name| rank(name) > own).count();
        better < most
    }

    /// Members known besides ourselves.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn note(&mut self, record: &Record, now: Time) {
        if record.name == self.own.name {
            return self.note_own(record);
        }
        let spread = self.spread();
        match self.members.get_mut(&record.name) {
            Some(member) if record.supersedes(&member.record) => {
                member.changed = now;
                member.record = record.clone();
                member.spread = spread;
            }
            Some(_) => {}
            None => {
                let member = Member { record: record.clone(), changed: now, heard: None, spread };
                self.members.insert(record.name.clone(), member);
            }
        }
    }

    /// Notes that a member spoke; one that is believed gone is to hear of it, so that it can object.
    fn note_speaker(&mut self, speaker: &Record, now: Time) {
        let spread = self.spread();
        let Some(member) = self.members.get_mut(&speaker.name) else { return };
        member.heard = Some(now);
        if member.record.state > speaker.state {
            member.spread = spread + 1;
        }
    }

    /// How long ago each living member last spoke to us itself, by name; `None` for one that never did.
    pub fn silence(&self, now: Time) -> impl Iterator<Item = (&str, Option<Duration>)> {
        let living = self.members.values().filter(|member| member.record.state <= State::Suspect);
        living.map(move |member| (member.record.name.as_str(), member.heard.map(|heard| now.since(heard))))
    }

    /// Contradicts what is wrongly said of us, and notices a successor.
    fn note_own(&mut self, record: &Record) {
        if record.incarnation > self.own.incarnation {
            self.superseded = true;
            return;
        }
        let wrong = record.incarnation == self.own.incarnation && record.state > self.own.state;
        if wrong && record.refutations >= self.own.refutations {
            self.own.refutations = record.refutations + 1;
        }
    }

    /// Records for a message: those passed on least first.
    fn news(&mut self) -> Vec<Record> {
        let mut waiting: Vec<(u32, String)> = self
            .members
            .values()
            .filter(|member| member.spread > 0)
            .map(|member| (member.spread, member.record.name.clone()))
            .collect();
        waiting.sort_unstable_by(|one, other| other.cmp(one));
        let mut records = Vec::new();
        for (_, name) in waiting.into_iter().take(MAX_RECORDS) {
            if let Some(member) = self.members.get_mut(&name) {
                member.spread -= 1;
                records.push(member.record.clone());
            }
        }
        records
    }

    fn bury(&mut self, now: Time) {
        let listed = &self.listed;
        self.members.retain(|name, member| {
            let gone = member.record.state >= State::Dead && now.since(member.changed) >= GRAVE;
            !gone || listed.contains_key(name)
        });
    }

    fn spread(&self) -> u32 {
        SPREAD * (usize::BITS - self.members.len().leading_zeros()).max(1)
    }
}

/// The record of a listed instance that never spoke: any word of its own supersedes it.
fn unheard(listed: &Instance) -> Record {
    Record {
        name: listed.name.clone(),
        incarnation: 0,
        refutations: 0,
        state: State::Alive,
        peer_address: listed.peers.clone(),
        domain: listed.domain.clone(),
        caller_address: listed.address.clone(),
    }
}
