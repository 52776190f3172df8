//! How many daemons share the quotas.
//!
//! Each daemon registers its name in the platform's store and never again, so that a fleet that restarts as a whole knows at
//! once how many it is, before its members have met. A name whose daemon has been gone for long is removed by the daemon
//! that has run for longest ([`quota::membership`]). Without a store that the daemon mirrors, the members known count.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use fleet::message::{Record, State};
use fleet::roster::Roster;
use quota::membership::Contact;
use store::key::INSTANCES;
use store::{Call, Change};

use crate::Context;
use crate::context::lock;
use crate::view::{known_daemons, settled};

/// Time after its registration from which a daemon uses its share: by then the others have learnt of it.
const REGISTRATION_TIME: Duration = Duration::from_secs(4);
/// Time between two attempts to register.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// What a daemon knows of the registered names.
#[derive(Debug, Default)]
pub(super) struct Census {
    /// When this daemon may use its share; `None` until its name is registered.
    counted_at: Option<Time>,
    /// When registration is tried next.
    register_at: Time,
    /// When each registered name was first seen without a live daemon.
    gone_since: BTreeMap<String, Time>,
}

/// A daemon's share of each quota and the number of daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Share {
    /// As a fraction of the whole; zero while this daemon cannot know how many there are.
    pub(super) of_all: f64,
    /// Number of daemons that share the quotas.
    pub(super) daemons: usize,
}

impl Census {
    /// Returns this daemon's share; registers its name where that is needed.
    pub(super) fn share(&mut self, context: &Arc<Context>, roster: &Roster, now: Time) -> Share {
        if context.catalog.is_none() {
            let daemons = known_daemons(context, roster);
            let of_all = if settled(context) { 1.0 / daemons as f64 } else { 0.0 };
            return Share { of_all, daemons };
        }
        let mirror = lock(&context.mirror);
        let registered: BTreeSet<String> =
            mirror.range(INSTANCES).filter_map(|(key, _)| key.strip_prefix(INSTANCES)).map(str::to_owned).collect();
        let has_mirror = mirror.revision() > 0;
        let age = mirror.age(now);
        drop(mirror);
        let own = &context.settings.instance;
        if registered.contains(own) {
            // A name that was there when the process started is that of a process before it, which all others count.
            self.counted_at.get_or_insert(now);
        } else if has_mirror && now >= self.register_at {
            self.register_at = now + RETRY_INTERVAL;
            self.counted_at = Some(now + REGISTRATION_TIME);
            register(context);
        }
        let records = roster.records();
        let live: BTreeSet<&str> =
            records.iter().filter(|record| is_live(record)).map(|one| one.name.as_str()).collect();
        let in_touch = registered.iter().filter(|name| live.contains(name.as_str())).count();
        let contact = Contact { age, listed: registered.len(), live: in_touch };
        self.note_gone(&registered, &live, now);
        let oldest = records.iter().filter(|record| is_live(record)).min_by_key(|one| (one.incarnation, &one.name));
        if oldest.is_some_and(|oldest| oldest.name == *own) {
            self.remove_gone(context, contact, now);
        }
        let known = records.iter().map(|record| record.name.as_str());
        let daemons = registered.iter().map(String::as_str).chain(known).collect::<BTreeSet<&str>>().len();
        let is_counted = registered.contains(own) && self.counted_at.is_some_and(|at| now >= at);
        let of_all = if is_counted && contact.may_use_share() { 1.0 / daemons as f64 } else { 0.0 };
        Share { of_all, daemons }
    }

    /// Notes since when registered names have had no live daemon.
    fn note_gone(&mut self, registered: &BTreeSet<String>, live: &BTreeSet<&str>, now: Time) {
        let is_gone = |name: &&String| !live.contains(name.as_str());
        self.gone_since.retain(|name, _| registered.contains(name) && is_gone(&name));
        for name in registered.iter().filter(is_gone) {
            self.gone_since.entry(name.clone()).or_insert(now);
        }
    }

    /// Removes a name whose daemon has been gone for long.
    fn remove_gone(&mut self, context: &Arc<Context>, contact: Contact, now: Time) {
        let mut gone = self.gone_since.iter_mut();
        let Some((name, since)) = gone.find(|(_, since)| contact.may_remove(now.since(**since))) else { return };
        // Counted anew, so that a removal that fails is not tried all the time.
        *since = now;
        let key = format!("{INSTANCES}{name}");
        let revision = lock(&context.mirror).get(&key).map(|record| record.revision);
        revision.into_iter().for_each(|revision| write(context, Change::delete(&key, revision)));
    }
}

fn is_live(record: &Record) -> bool {
    record.state <= State::Suspect
}

fn register(context: &Arc<Context>) {
    let key = format!("{INSTANCES}{}", context.settings.instance);
    write(context, Change::set(&key, 0, context.settings.domain.clone().into_bytes()));
}

/// Writes a change on a task of its own. Its effect shows in the mirror.
fn write(context: &Arc<Context>, change: Change) {
    let shared = Arc::clone(context);
    context.runtime.spawn(async move {
        let key = change.key.clone();
        match shared.store.call(&Call::Commit(vec![change])).await {
            Ok(_) => log::info!("quota: instance list written key={key}"),
            Err(error) => log::info!("quota: instance list not written key={key} reason={:?}", error.to_string()),
        }
    });
}
