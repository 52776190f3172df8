//! Asks other daemons how old their policies are while this one hears nothing of the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use fleet::confirmation::{Finding, Limits, Report, Round, Silence};
use fleet::message::{Record, State};
use fleet::replica::Version;
use jsonrpsee_http_client::HttpClient;
use tokio::task::JoinSet;

use super::contacts::Contacts;
use super::{expiry, hears_store, is_pending, limits, policy_age};
use crate::Context;
use crate::context::lock;
use crate::peers::api::PeersClient as _;
use crate::peers::exchange;
use crate::plugin::Plugin;

/// Questions of a round, where there are no more regions than that.
const MAX_QUESTIONS: usize = 6;
/// Maximum number of members that may know more, of which each is asked.
const MAX_SUSPECTS: usize = 32;
/// Shortest time between two rounds.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

inventory::submit! {
    Plugin(kernel::Plugin { name: "confirmation", stage: 30, start })
}

struct Task(tokio::task::JoinHandle<()>);

impl kernel::Component for Task {
    fn close(&mut self) {
        self.0.abort();
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    // Without a mirror, nothing tells the age of the policy.
    if context.catalog.is_none() {
        return Ok(Box::new(kernel::Idle));
    }
    Ok(Box::new(Task(context.runtime.spawn(run(Arc::clone(context))))))
}

/// Asks other daemons while this one hears nothing of the store; runs until the task is aborted.
async fn run(context: Arc<Context>) {
    let limits = limits(&context);
    let mut rng = fastrand::Rng::with_seed(context.incarnation ^ 3);
    let mut silence = Silence::default();
    let contacts = Contacts::default();
    let mut was_expired = true;
    context.metrics.policy_expired.set(1);
    loop {
        tokio::time::sleep(limits.interval().mul_f64(0.75 + rng.f64() / 2.0).max(MIN_INTERVAL)).await;
        update(&context, &mut silence);
        let now = context.now();
        let age = policy_age(&context, now);
        if age.is_none_or(|age| age >= limits.ask_after()) {
            ask(&context, limits, &mut silence, &contacts, &mut rng).await;
        }
        let now = context.now();
        let is_expired = now > expiry(&context, context.policy().version, now);
        if is_expired != was_expired {
            log_change(&context, is_expired, now);
            was_expired = is_expired;
        }
    }
}

/// Updates which members are silent.
fn update(context: &Context, silence: &mut Silence) {
    let now = context.now();
    let confirmed_at = policy_age(context, now).map(|age| now - age);
    let roster = lock(&context.roster);
    let members = roster.other_members().map(|record| (record.name.as_str(), record.state != State::Alive));
    silence.update(members, confirmed_at, now);
}

fn log_change(context: &Context, is_expired: bool, now: Time) {
    let age_ms = policy_age(context, now).map_or(-1, |age| age.as_millis() as i64);
    context.metrics.policy_expired.set(i64::from(is_expired));
    log::info!(
        version:% = context.policy().version, expired = is_expired, age_ms;
        "confirmation: reliance on the policy changed"
    );
}

/// A daemon that is asked.
struct Member {
    name: String,
    region: String,
    address: String,
    /// The version that it is asked for a newer one of: the policy is large, so one daemon of each region is.
    after: Option<Version>,
}

/// The questions of a round; each ends with the answer, if there is one, and the client that has the connection.
type Questions = JoinSet<(Option<(Report, HttpClient)>, Member)>;

/// Asks daemons of all regions for their standing, and acts on each answer as it comes.
async fn ask(
    context: &Arc<Context>,
    limits: Limits,
    silence: &mut Silence,
    contacts: &Contacts,
    rng: &mut fastrand::Rng,
) {
    let regions: BTreeSet<String> = context.settings.domains.values().cloned().collect();
    let sent = context.now();
    let age = policy_age(context, sent);
    let confirmed_at = age.map(|age| sent - age);
    let members = choose(context, &regions, silence, contacts, confirmed_at, rng);
    let others = regions.into_iter().filter(|region| *region != context.settings.region).collect();
    let mut round = Round::new(context.policy().version, others, members.len(), sent);
    let has_too_many_suspects = silence.suspects(confirmed_at).count() > MAX_SUSPECTS;
    let is_confirmed = age.is_some_and(|age| age < limits.silent_after());
    let knows_more = is_confirmed || hears_store(context) || is_pending(context);
    if members.is_empty() || has_too_many_suspects || knows_more {
        round.contradict();
    }
    let mut questions = Questions::new();
    for member in members {
        let contacts = contacts.clone();
        questions.spawn(async move { (question(&member, &contacts, limits).await, member) });
    }
    let answers = collect(context, &mut round, &mut questions, silence, limits);
    let is_complete = tokio::time::timeout(limits.timeout(), answers).await.is_ok();
    if let Some(as_of) = round.agreed_at() {
        lock(&context.confirmation).agree(round.version(), as_of);
    }
    if !is_complete {
        // A late answer is no part of an agreement, but still tells how old the policy is.
        let context = Arc::clone(context);
        let mut silence = Silence::default();
        tokio::spawn(async move { collect(&context, &mut round, &mut questions, &mut silence, limits).await });
    }
}

/// Acts on each answer as it comes, until all have come.
async fn collect(
    context: &Arc<Context>,
    round: &mut Round,
    questions: &mut Questions,
    silence: &mut Silence,
    limits: Limits,
) {
    while let Some(answered) = questions.join_next().await {
        match answered {
            Ok((Some((report, client)), member)) => {
                silence.record_answer(&member.name);
                act(context, round, &member, report, client, limits);
            }
            Ok((None, _)) | Err(_) => round.record_failure(),
        }
    }
}

/// Asks a daemon for its standing; returns its answer with the client that has the connection, or `None` if it does not answer.
async fn question(member: &Member, contacts: &Contacts, limits: Limits) -> Option<(Report, HttpClient)> {
    // A later answer confirms nothing.
    let client = contacts.client(&member.address, limits.max_age())?;
    let report = client.standing(member.after).await.ok();
    if report.is_some() {
        contacts.insert(&member.address, &client);
    } else {
        contacts.remove(&member.address);
    }
    Some((report?, client))
}

/// Acts on an answer: confirms the policy in force, or applies or fetches a newer one.
fn act(context: &Arc<Context>, round: &mut Round, member: &Member, report: Report, client: HttpClient, limits: Limits) {
    match round.record(&member.region, &report.standing, limits) {
        Finding::Confirmed(as_of) => lock(&context.confirmation).confirm(round.version(), as_of),
        Finding::Newer(confirmed_at) => {
            lock(&context.confirmation).withdraw();
            if let Some(document) = report.policy {
                exchange::apply_policy(context, document, confirmed_at, &member.address);
            } else {
                let version = report.standing.version;
                exchange::fetch_newer(context, version, confirmed_at, &member.address, client);
            }
        }
        Finding::Refused | Finding::Silent => {}
    }
}

/// Chooses the members that may know more than this daemon, which last heard the store at `confirmed_at`, up to [`MAX_SUSPECTS`], and random
/// other ones of each region, of different failure domains as far as there are any.
fn choose(
    context: &Context,
    regions: &BTreeSet<String>,
    silence: &Silence,
    contacts: &Contacts,
    confirmed_at: Option<Time>,
    rng: &mut fastrand::Rng,
) -> Vec<Member> {
    let in_force = context.policy().version;
    let roster = lock(&context.roster);
    let domains = &context.settings.domains;
    let per_region = (MAX_QUESTIONS / regions.len().max(1)).max(1);
    let suspects: BTreeSet<&str> = silence.suspects(confirmed_at).take(MAX_SUSPECTS).collect();
    let member = |record: &Record| {
        let region = domains.get(&record.domain).cloned().unwrap_or_default();
        Member { name: record.name.clone(), region, address: record.peer_address.clone(), after: None }
    };
    let mut chosen: Vec<Member> =
        roster.other_members().filter(|record| suspects.contains(record.name.as_str())).map(member).collect();
    for region in regions {
        let members = roster.other_members().filter(|record| domains.get(&record.domain) == Some(region));
        let mut others: Vec<_> = members.filter(|record| !suspects.contains(record.name.as_str())).collect();
        rng.shuffle(&mut others);
        // One over a connection that is open already, if there are others to ask.
        let open = others.iter().position(|record| per_region > 1 && contacts.contains(&record.peer_address));
        open.into_iter().for_each(|index| others.swap(0, index));
        let mut seen = BTreeSet::new();
        let (first, further): (Vec<_>, Vec<_>) = others.into_iter().partition(|record| seen.insert(&record.domain));
        let mut members = first.into_iter().chain(further).take(per_region).map(member);
        chosen.extend(members.next().map(|first| Member { after: Some(in_force), ..first }));
        chosen.extend(members);
    }
    chosen
}
