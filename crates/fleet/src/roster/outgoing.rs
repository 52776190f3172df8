//! What the next messages to other members contain.

use base::rate::Limit;
use base::time::Time;

use super::Roster;
use crate::gossip::Gossip;
use crate::message::{self, MAX_LEAVING, MAX_LOADS, MAX_LOSSES, MAX_RATE_LIMITS, MAX_RECORDS, Message, Record, State};
use crate::replica::Version;

impl Roster {
    /// Returns the losses of connections that are being passed on.
    pub const fn losses_mut(&mut self) -> &mut Gossip<(u64, u64)> {
        &mut self.losses
    }

    /// Returns the numbers of leaving backend servers that are being passed on.
    pub const fn leaving_mut(&mut self) -> &mut Gossip<u32> {
        &mut self.leaving
    }

    /// Adds the rate limit of a backend server to the next messages, in place of an earlier one of the same server.
    pub fn pass_on_rate_limit(&mut self, server: u32, limit: Limit, now: Time) {
        self.rate_limits.remove(|(known, _)| *known == server);
        self.rate_limits.add((server, limit), now);
    }

    /// Creates a message for any member; `version` is that of the policy in force.
    pub fn message(&mut self, version: impl Into<Version>, now: Time) -> Message {
        self.message_without(|_| false, version, now)
    }

    /// Creates the message for the next exchange with the member `name`, which knows of itself that it is alive.
    pub fn message_to(&mut self, name: &str, version: impl Into<Version>, now: Time) -> Message {
        self.message_without(|record| record.name == name && record.state == State::Alive, version, now)
    }

    /// Creates a message without the records that its receiver knows. They are sent a few times only, and each must be news to somebody.
    fn message_without(
        &mut self,
        is_known: impl Fn(&Record) -> bool,
        version: impl Into<Version>,
        now: Time,
    ) -> Message {
        let records = self.next_records(is_known);
        let loads = self.loads.next_batch(MAX_LOADS, now);
        Message { records, loads, ..self.urgent_message(version, now) }
    }

    /// Creates a message that contains only losses, leaving backend servers and rate limits.
    pub fn urgent_message(&mut self, version: impl Into<Version>, now: Time) -> Message {
        let losses = self.losses.next_batch(MAX_LOSSES, now);
        let leaving = self.leaving.next_batch(MAX_LEAVING, now);
        let rate_limits = self.rate_limits.next_batch(MAX_RATE_LIMITS, now);
        let rate_limits =
            rate_limits.into_iter().map(|(server, limit)| message::RateLimit::new(server, limit, now)).collect();
        let (from, records, loads) = (self.own.clone(), Vec::new(), Vec::new());
        Message { from, version: version.into(), records, loads, losses, leaving, rate_limits }
    }

    /// Creates the answer to a message: an urgent one gets an urgent answer.
    pub fn answer(&mut self, message: &Message, version: impl Into<Version>, now: Time) -> Message {
        if message.is_urgent() {
            return self.urgent_message(version, now);
        }
        let from = &message.from;
        self.message_without(|record| record.name == from.name && !record.supersedes(from), version, now)
    }

    /// Returns the records for the next message, without those that its receiver knows: those that are still to be sent most often first.
    fn next_records(&mut self, is_known: impl Fn(&Record) -> bool) -> Vec<Record> {
        let mut pending: Vec<(u32, String)> = self
            .members
            .values()
            .filter(|member| member.sends_left > 0 && !is_known(&member.record))
            .map(|member| (member.sends_left, member.record.name.clone()))
            .collect();
        pending.sort_unstable_by(|one, other| other.cmp(one));
        let mut records = Vec::new();
        for (_, name) in pending.into_iter().take(MAX_RECORDS) {
            if let Some(member) = self.members.get_mut(&name) {
                member.sends_left -= 1;
                records.push(member.record.clone());
            }
        }
        records
    }
}
