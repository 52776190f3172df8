//! Keeps a copy of the platform's store and puts what it says into force.
//!
//! The copy learns of changes from the store itself or from another daemon's copy, as [`fleet::source`] says.

mod check;
mod follow;
mod publish;
mod store;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use ::store::Error;
use base::time::Time;
use fleet::source::{Backoff, MAX_STALENESS, Source};
use tokio::sync::{Notify, watch};

pub use self::follow::{LONGEST_WAIT, changes};
pub use self::store::confirm;
use crate::Context;
use crate::adapter::Catalog;
use crate::context::lock;
use crate::plugin::Plugin;

/// Longest wait at a start for the other daemons to be known.
const JOINING: Duration = Duration::from_millis(700);
/// Time after a start in which a source that knows nothing yet is asked again: it may have started with us.
const STARTING: Duration = Duration::from_secs(2);
/// Members that are asked for a first copy.
const ASKED: usize = 4;
/// First pause after a call that failed; it doubles with each one in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after calls that failed.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// The same for a daemon that has a copy and would follow another one if the store were there.
const LONGEST_PAUSE_BEHIND: Duration = Duration::from_millis(1_500);
/// Time in which further changes are left to come before the next watch, so that one call tells several: for each
/// daemon that watches, so that all of them together make 50 calls a second at most while the store changes all the time.
const GATHER_EACH: Duration = Duration::from_millis(20);
/// The same at least, and at most: a change must be in force within seconds.
const GATHER: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_millis(500);

inventory::submit! {
    Plugin(kernel::Plugin { name: "mirror", stage: 30, start })
}

/// What the parts that keep the copy share.
#[derive(Debug)]
pub struct Learning {
    /// Sources that were found silent or stale.
    avoided: std::sync::Mutex<Backoff>,
    /// Told when the copy has learnt something, or is known to hold all again.
    news: watch::Sender<()>,
    /// Told when the source should be chosen anew.
    choose: Notify,
    /// Whether the other daemons are known, as far as a seed could tell.
    joined: watch::Sender<bool>,
}

impl Learning {
    /// Nothing was learnt yet.
    pub fn new() -> Self {
        Self {
            avoided: std::sync::Mutex::default(),
            news: watch::Sender::new(()),
            choose: Notify::new(),
            joined: watch::Sender::new(false),
        }
    }

    /// The other daemons are known, or no seed answers.
    pub fn note_joined(&self) {
        self.joined.send_replace(true);
    }

    /// Tells those that wait that the copy has learnt something.
    fn tell(&self) {
        self.news.send_replace(());
    }
}

impl Default for Learning {
    fn default() -> Self {
        Self::new()
    }
}

struct Tasks(Vec<tokio::task::JoinHandle<()>>);

impl kernel::Component for Tasks {
    fn close(&mut self) {
        self.0.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let Some(catalog) = context.catalog else {
        return Ok(Box::new(kernel::Idle));
    };
    let learning = context.runtime.spawn(learn(Arc::clone(context), catalog));
    let checking = context.runtime.spawn(check::run(Arc::clone(context), catalog));
    let turning = context.runtime.spawn(publish::turn(Arc::clone(context), catalog));
    Ok(Box::new(Tasks(vec![learning, checking, turning])))
}

/// What a question came to.
enum Turn {
    Changed,
    Same,
    Forgotten,
}

/// Where the copy learns from now: the store, or a member by name.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Upstream {
    Store,
    Member { name: String, stale: Duration },
}

/// The source to learn from at `now`, those found silent or stale left out unless `all` are asked for.
fn upstream(context: &Context, all: bool, now: Time) -> Upstream {
    let settings = &context.settings;
    let roster = lock(&context.roster);
    let avoided = lock(&context.mirror_sync.avoided);
    let in_region = |domain: &str| settings.domains.get(domain) == Some(&settings.region);
    let region: BTreeMap<&str, &str> = roster
        .responsive_members()
        .filter(|(name, domain)| *name == settings.instance || in_region(domain))
        .filter(|(name, _)| all || *name == settings.instance || !avoided.is_active(name, now))
        .collect();
    let source = fleet::source::choose(&settings.instance, &region);
    match source {
        Source::Store => Upstream::Store,
        Source::RegionLeader(name) | Source::DomainLeader(name) => {
            Upstream::Member { name: name.to_owned(), stale: source.stale_after() }
        }
    }
}

/// Learns of changes as they come, for ever.
async fn learn(context: Arc<Context>, catalog: Catalog) {
    let mut forgotten = false;
    let mut pause = FIRST_PAUSE;
    let mut rng = fastrand::Rng::with_seed(context.incarnation);
    let mut following = follow::Following::default();
    let mut before = None;
    begin(&context, catalog, &mut following).await;
    loop {
        let source = upstream(&context, false, context.now());
        if before.as_ref() != Some(&source) {
            log::info!("mirror: learns from source={}", name(&source));
            before = Some(source.clone());
        }
        let turn = match &source {
            Upstream::Store if forgotten || lock(&context.mirror).revision() == 0 => store::list(&context).await,
            Upstream::Store => store::changes(&context).await,
            Upstream::Member { name, stale } => following.turn(&context, name, *stale).await,
        };
        match turn {
            Ok(Turn::Changed) => {
                (forgotten, pause) = (false, FIRST_PAUSE);
                publish::publish(&context, catalog);
                context.mirror_sync.tell();
                if source == Upstream::Store {
                    tokio::time::sleep(gathering(&context)).await;
                }
            }
            Ok(Turn::Same) => {
                (forgotten, pause) = (false, FIRST_PAUSE);
                context.mirror_sync.tell();
            }
            Ok(Turn::Forgotten) => {
                log::info!("mirror: history forgotten by the store, listing anew");
                forgotten = true;
            }
            Err(error) => {
                note_failure(&context, &source, &error);
                let behind = upstream(&context, true, context.now()) != Upstream::Store;
                let longest = if behind && source == Upstream::Store { LONGEST_PAUSE_BEHIND } else { LONGEST_PAUSE };
                let member = source != Upstream::Store;
                let waited = if member { FIRST_PAUSE / 10 } else { pause.mul_f64(0.5 + rng.f64()) };
                tokio::time::sleep(waited).await;
                if lock(&context.mirror).revision() == 0 && ask_anyone(&context, &mut following).await {
                    publish::publish(&context, catalog);
                    context.mirror_sync.tell();
                }
                pause = if member { pause } else { (pause * 2).min(longest) };
            }
        }
    }
}

/// Gets the first copy: callers wait for it, so the store and a peer are asked at the same time, unless all daemons start
/// now.
async fn begin(context: &Arc<Context>, catalog: Catalog, following: &mut follow::Following) {
    let from_peer = async {
        let mut joined = context.mirror_sync.joined.subscribe();
        if tokio::time::timeout(JOINING, joined.wait_for(|joined| *joined)).await.is_err() {
            log::info!("mirror: does not wait for peers any longer");
        }
        !context.settings.fleet.first_start && ask_anyone(context, following).await
    };
    if context.settings.fleet.first_start {
        from_peer.await;
        return;
    }
    let from_store = async { store::list(context).await.is_ok() };
    tokio::pin!(from_peer, from_store);
    let got = tokio::select! {
        got = &mut from_store => got || from_peer.await,
        got = &mut from_peer => got || from_store.await,
    };
    if got {
        publish::publish(context, catalog);
        context.mirror_sync.tell();
    }
}

/// Takes the copy of the first member that has one, however old: the store may answer nobody, and our own place may be
/// the one that others learn from.
async fn ask_anyone(context: &Context, following: &mut follow::Following) -> bool {
    let mut members: Vec<(bool, String)> = {
        let roster = lock(&context.roster);
        let far = |domain: &str| context.settings.domains.get(domain) != Some(&context.settings.region);
        let others = roster.responsive_members().filter(|(name, _)| *name != context.settings.instance);
        others.map(|(name, domain)| (far(domain), name.to_owned())).collect()
    };
    fastrand::Rng::with_seed(context.incarnation).shuffle(&mut members);
    members.sort_by_key(|(far, _)| *far);
    for (_, name) in members.into_iter().take(ASKED) {
        if following.turn(context, &name, MAX_STALENESS).await.is_ok_and(|turn| matches!(turn, Turn::Changed)) {
            return true;
        }
    }
    false
}

fn name(source: &Upstream) -> &str {
    match source {
        Upstream::Store => "store",
        Upstream::Member { name, .. } => name,
    }
}

/// How long changes are gathered where `daemons` watch the store, each for itself.
pub fn gather(daemons: usize) -> Duration {
    GATHER_EACH.saturating_mul(daemons as u32).clamp(*GATHER.start(), *GATHER.end())
}

/// One daemon of each region watches.
fn gathering(context: &Context) -> Duration {
    let regions: std::collections::BTreeSet<&String> = context.settings.domains.values().collect();
    gather(regions.len())
}

fn note_failure(context: &Context, source: &Upstream, error: &Error) {
    let now = context.now();
    let age = lock(&context.mirror).age(now).map_or(-1, |age| age.as_millis() as i64);
    let source = name(source);
    log::warn!("mirror: question failed source={source} knowledge_ms={age} reason={:?}", error.to_string());
}
