//! Learning from another daemon's copy, and telling others from ours.

use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use jsonrpsee_http_client::HttpClient;
use store::changes::{Changes, Item};
use store::{Error, Result};

use super::{STARTING, Turn};
use crate::Context;
use crate::context::lock;
use crate::peers::api::PeersClient as _;
use crate::peers::client;

/// Longest time for which a question about changes is kept waiting.
pub const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// The same at least.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);
/// Time for the way and for a busy member.
const SLACK: Duration = Duration::from_millis(300);

/// Why a member told nothing.
enum Unanswered {
    /// It has no copy yet.
    Starting,
    /// It did not answer.
    Silent(String),
}

/// The member that is followed, with a client of it.
#[derive(Debug, Default)]
pub struct Following(Option<(String, String, HttpClient)>);

impl Following {
    /// Asks the member `name` for what is new and takes it in; a member that is silent, or whose own knowledge is
    /// `stale`, is avoided for a while.
    pub async fn turn(&mut self, context: &Context, name: &str, stale: Duration) -> Result<Turn> {
        let asked = self.ask(context, name, stale).await;
        let now = context.now();
        let result = match asked {
            Ok(turn) => {
                let age = lock(&context.mirror).age(now);
                if age.is_some_and(|age| age < stale) {
                    return Ok(turn);
                }
                // What it told is taken in all the same: an old picture is better than none.
                log::info!("mirror: source is behind name={name} age_ms={:?}", age.map(|age| age.as_millis()));
                Ok(turn)
            }
            Err(Unanswered::Starting) if context.settings.fleet.first_start && context.uptime() < STARTING => {
                tokio::time::sleep(SHORTEST_WAIT).await;
                return Ok(Turn::Same);
            }
            Err(Unanswered::Starting) => Err(Error::Unreachable("it knows nothing yet".to_owned())),
            Err(Unanswered::Silent(reason)) => {
                self.0 = None;
                Err(Error::Unreachable(reason))
            }
        };
        lock(&context.mirror_sync.avoided).record_failure(name, now);
        result
    }

    async fn ask(&mut self, context: &Context, name: &str, stale: Duration) -> std::result::Result<Turn, Unanswered> {
        let client = self.client(context, name)?;
        let sent = context.now();
        let (after, age) = {
            let mirror = lock(&context.mirror);
            (mirror.revision(), mirror.age(sent).unwrap_or_default())
        };
        // A source that is stale itself must show it before our own knowledge is.
        let wait = stale.saturating_sub(age).clamp(SHORTEST_WAIT, LONGEST_WAIT);
        let first = question(client, after, String::new(), wait).await?;
        let mut items = first.items.clone();
        let mut more = first.more;
        while more {
            let from = items.last().map(|item: &Item| item.key.clone()).unwrap_or_default();
            let page = question(client, 0, from, LONGEST_WAIT).await?;
            more = page.more && !page.items.is_empty();
            items.extend(page.items);
        }
        let now = context.now();
        let changed = lock(&context.mirror).merge(&first, items, sent, now);
        Ok(if changed || after == 0 { Turn::Changed } else { Turn::Same })
    }

    fn client(&mut self, context: &Context, name: &str) -> std::result::Result<&HttpClient, Unanswered> {
        let address = lock(&context.roster).address(name).map(str::to_owned);
        let address = address.ok_or_else(|| Unanswered::Silent("no address is known".to_owned()))?;
        let known = self.0.as_ref().is_some_and(|(known, at, _)| (known.as_str(), at) == (name, &address));
        if !known {
            let client = client::client_with(&address, LONGEST_WAIT + SLACK);
            let client = client.ok_or_else(|| Unanswered::Silent("no client".to_owned()))?;
            self.0 = Some((name.to_owned(), address, client));
        }
        let client = self.0.as_ref().map(|(_, _, client)| client);
        client.ok_or_else(|| Unanswered::Silent("no client".to_owned()))
    }
}

async fn question(
    client: &HttpClient,
    after: u64,
    from: String,
    wait: Duration,
) -> std::result::Result<Changes, Unanswered> {
    let asked = client.changes(after, from, wait.as_millis() as u64);
    match tokio::time::timeout(wait + SLACK, asked).await {
        Ok(Ok(Some(changes))) => Ok(changes),
        Ok(Ok(None)) => Err(Unanswered::Starting),
        Ok(Err(error)) => Err(Unanswered::Silent(error.to_string())),
        Err(_) => Err(Unanswered::Silent("no answer in time".to_owned())),
    }
}

/// What our copy knows beyond the revision `after`, once there is something, or once it is known anew to hold all, or
/// after `wait`; a page of all keys behind `from` at once if that is named.
pub async fn changes(context: &Arc<Context>, after: u64, from: &str, wait: Duration) -> Option<Changes> {
    let asked = context.now();
    let mut news = context.mirror_sync.news.subscribe();
    let confirmed = confirmed(context, asked);
    let until = tokio::time::Instant::now() + wait.min(LONGEST_WAIT);
    loop {
        let now = context.now();
        let told = lock(&context.mirror).changes(after, from, now)?;
        let new = told.revision > after || !from.is_empty() || self::confirmed(context, now) > confirmed;
        let waited = tokio::time::timeout_at(until, news.changed());
        if new || waited.await.is_err() {
            return Some(Changes { waited_ms: context.now().since(asked).as_millis() as u64, ..told });
        }
    }
}

/// When our copy was last known to hold all.
fn confirmed(context: &Context, now: Time) -> Option<Time> {
    lock(&context.mirror).age(now).map(|age| now - age)
}
