//! Follows another daemon's mirror, and serves this daemon's mirror to its followers.

use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use fleet::source::{self, MAX_WAIT, MIN_WAIT};
use jsonrpsee_http_client::HttpClient;
use store::changes::{Changes, Item};
use store::{Error, Result, Version};

use super::{Outcome, STARTUP_GRACE};
use crate::Context;
use crate::context::lock;
use crate::peers::api::PeersClient as _;
use crate::peers::client;

/// Time allowed on top of the wait for the network and for a busy member.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Why a member returned no changes.
enum Failure {
    /// Its mirror is still empty, or its list lacks keys.
    EmptyMirror,
    /// It did not answer.
    NoAnswer(String),
}

/// A client of the member that is followed.
#[derive(Debug)]
struct Connection {
    name: String,
    address: String,
    client: HttpClient,
}

/// Follows one member at a time.
#[derive(Debug, Default)]
pub struct Follower(Option<Connection>);

impl Follower {
    /// Requests changes from the member `name` and merges them into the mirror. A member that does not answer, or after
    /// whose answer the mirror's age is still `stale_after` or more, is avoided for a while.
    pub async fn poll(&mut self, context: &Context, name: &str, stale_after: Duration) -> Result<Outcome> {
        let fetched = self.fetch(context, name, stale_after).await;
        let now = context.now();
        let result = match fetched {
            Ok(outcome) => {
                let age = lock(&context.mirror).age(now);
                if age.is_some_and(|age| age < stale_after) {
                    return Ok(outcome);
                }
                // The changes are merged all the same: stale knowledge is better than none.
                log::info!("mirror: source is stale name={name} age_ms={:?}", age.map(|age| age.as_millis()));
                Ok(outcome)
            }
            Err(Failure::EmptyMirror) if context.settings.fleet.first_start && context.uptime() < STARTUP_GRACE => {
                tokio::time::sleep(MIN_WAIT).await;
                return Ok(Outcome::Unchanged);
            }
            Err(Failure::EmptyMirror) => {
                Err(Error::Unreachable("the member's mirror is still empty or lacks keys".to_owned()))
            }
            Err(Failure::NoAnswer(reason)) => {
                self.0 = None;
                Err(Error::Unreachable(reason))
            }
        };
        lock(&context.mirror_sync.backoff).record_failure(name, now);
        result
    }

    async fn fetch(
        &mut self,
        context: &Context,
        name: &str,
        stale_after: Duration,
    ) -> std::result::Result<Outcome, Failure> {
        let client = self.client(context, name)?;
        let sent = context.now();
        let (after, age) = {
            let mirror = lock(&context.mirror);
            (mirror.version(), mirror.age(sent).unwrap_or_default())
        };
        let wait = source::wait(stale_after, age);
        let first = request(client, after, String::new(), wait).await?;
        let mut items = first.items.clone();
        let mut more = first.more;
        while more {
            let last = items.last().map(|item: &Item| item.key.clone()).unwrap_or_default();
            let page = request(client, Version::new(first.era, 0), last.clone(), MAX_WAIT).await?;
            if page.era != first.era {
                return Err(Failure::NoAnswer("the store was restored between two pages".to_owned()));
            }
            if !page.follows_on(&last) {
                return Err(Failure::NoAnswer("a page of its keys does not follow on the one before".to_owned()));
            }
            more = page.more;
            items.extend(page.items);
        }
        let now = context.now();
        let changed = lock(&context.mirror).merge(&first, items, sent, now);
        Ok(if changed || after.revision == 0 { Outcome::Changed } else { Outcome::Unchanged })
    }

    /// Returns the client of the member `name`; creates it if the member or its address is another one than before.
    fn client(&mut self, context: &Context, name: &str) -> std::result::Result<&HttpClient, Failure> {
        let address = lock(&context.roster).address(name).map(str::to_owned);
        let address = address.ok_or_else(|| Failure::NoAnswer("the member's address is unknown".to_owned()))?;
        let connected = self.0.as_ref().is_some_and(|known| known.name == name && known.address == address);
        if !connected {
            let client = client::client_with_timeout(&address, MAX_WAIT + RESPONSE_MARGIN);
            let client = client.ok_or_else(|| Failure::NoAnswer("cannot create a client".to_owned()))?;
            self.0 = Some(Connection { name: name.to_owned(), address, client });
        }
        let client = self.0.as_ref().map(|connection| &connection.client);
        client.ok_or_else(|| Failure::NoAnswer("cannot create a client".to_owned()))
    }
}

async fn request(
    client: &HttpClient,
    after: Version,
    from: String,
    wait: Duration,
) -> std::result::Result<Changes, Failure> {
    let call = client.changes(after.revision, from, wait.as_millis() as u64, Some(after.era));
    match tokio::time::timeout(wait + RESPONSE_MARGIN, call).await {
        Ok(Ok(Some(changes))) => Ok(changes),
        Ok(Ok(None)) => Err(Failure::EmptyMirror),
        Ok(Err(error)) => Err(Failure::NoAnswer(error.to_string())),
        Err(_) => Err(Failure::NoAnswer("no answer in time".to_owned())),
    }
}

/// Returns the changes after the version `after`, or a page of all keys that follow the key `from` if that is not
/// empty.
///
/// Waits until there is a change or the mirror is confirmed again to be complete, for at most `wait`; a page is
/// returned at once. `None` if the mirror is empty. What is returned is read after the wait, so that the ages and the
/// remaining times in it are those at which it is sent.
pub async fn changes(context: &Arc<Context>, after: Version, from: &str, wait: Duration) -> Option<Changes> {
    let asked = context.now();
    let mut updates = context.mirror_sync.updates.subscribe();
    let confirmed = confirmed_at(context, asked);
    let deadline = tokio::time::Instant::now() + wait.min(MAX_WAIT);
    let mut expired = false;
    loop {
        let now = context.now();
        let changes = lock(&context.mirror).changes(after, from, now)?;
        let is_new = changes.version() > after || !from.is_empty() || confirmed_at(context, now) > confirmed;
        if is_new || expired {
            return Some(changes.with_wait(asked, now));
        }
        expired = tokio::time::timeout_at(deadline, updates.changed()).await.is_err();
    }
}

/// Returns when the mirror was last known to be complete.
fn confirmed_at(context: &Context, now: Time) -> Option<Time> {
    lock(&context.mirror).age(now).map(|age| now - age)
}
