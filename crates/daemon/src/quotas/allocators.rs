//! The members that run allocators, as this daemon chooses them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;
use fleet::message::State;
use fleet::roster::Roster;
use jsonrpsee_http_client::HttpClient;
use quota::message::Member;

use super::member;
use crate::peers::client;

/// Number of members that run allocators. Each more costs each daemon a message now and then; each less makes the failure of
/// one matter to more accounts.
const ALLOCATORS: usize = 3;
/// Failed calls in a row after which a member is not chosen. If only this daemon cannot reach it, another choice gives it
/// little, since the others lend their shares where they did.
const MAX_FAILURES: u32 = 3;
/// How long it is not chosen; by then the other members know if it has failed.
const EXCLUSION: Duration = Duration::from_secs(6);
/// Longest time for a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct Contact {
    address: String,
    client: Option<HttpClient>,
    /// Whether a call is in progress.
    busy: bool,
    failures: u32,
    excluded_until: Time,
}

/// Members that are or were chosen, with the state of calls to them.
#[derive(Debug, Default)]
pub(super) struct Allocators(BTreeMap<Member, Contact>);

impl Allocators {
    /// Returns the members to choose: of those with the largest machines, the ones whose processes have run for longest, so that
    /// restarts change little. Members that do not answer are left out.
    pub(super) fn choose(&mut self, roster: &Roster, now: Time) -> Vec<Member> {
        let excluded = |member: Member| self.0.get(&member).is_some_and(|contact| now < contact.excluded_until);
        let live =
            roster.records().into_iter().filter(|record| record.state <= State::Suspect && record.incarnation > 0);
        let mut ranked: Vec<(Reverse<u32>, u64, Member, String)> = live
            .map(|record| {
                let capacity = Reverse(record.capacity.unwrap_or(0));
                (capacity, record.incarnation, member(&record.name), record.peer_address)
            })
            .filter(|(_, _, id, _)| !excluded(*id))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(ALLOCATORS);
        let choice = ranked.iter().map(|(_, _, id, _)| *id).collect();
        for (_, _, id, address) in ranked {
            let contact = self.0.entry(id).or_default();
            if contact.address != address {
                *contact = Contact { address, ..Contact::default() };
            }
        }
        choice
    }

    /// Whether a call to the member is in progress.
    pub(super) fn is_busy(&self, member: Member) -> bool {
        self.0.get(&member).is_some_and(|contact| contact.busy)
    }

    /// Returns a client for a call to the member, and marks the call as in progress; `None` if its address cannot be used.
    pub(super) fn start(&mut self, member: Member) -> Option<HttpClient> {
        let contact = self.0.get_mut(&member)?;
        if contact.client.is_none() {
            contact.client = client::client_with_timeout(&contact.address, CALL_TIMEOUT);
        }
        contact.busy = contact.client.is_some();
        contact.client.clone()
    }

    /// Records the end of a call.
    pub(super) fn end(&mut self, member: Member, answered: bool, now: Time) {
        let Some(contact) = self.0.get_mut(&member) else { return };
        contact.busy = false;
        contact.failures = if answered { 0 } else { contact.failures + 1 };
        if contact.failures >= MAX_FAILURES {
            contact.failures = 0;
            contact.excluded_until = now + EXCLUSION;
            // A new connection may work where the old one has gone silent.
            contact.client = None;
        }
    }
}
