//! Quotas of client accounts: admits requests, and exchanges tokens with the allocators that other daemons run.

mod allocators;
mod census;
mod exchange;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use base::error::Kind;
use base::hash;
use base::time::Time;
use fleet::replica::Version;
use quota::message::{Account, Ask, Grant, Member};
use quota::stock::Admission;
use quota::{Allocator, Lender, Limit, Stock};
use tokio::sync::{Notify, oneshot};

use self::allocators::Allocators;
use self::census::Census;
use crate::Context;
use crate::context::lock;
use crate::driver::Refusal;

/// Longest time for which a request waits for a token. It covers a call to an allocator in another region, not the time until
/// a failed allocator is replaced: a caller that comes back may be served elsewhere sooner.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Spread of the time after which callers come back that were refused because a quota is used up or unknown.
const RETRY_SPREAD: Duration = Duration::from_millis(300);

/// The state of quotas in this daemon.
#[derive(Debug)]
pub struct State {
    inner: Mutex<Inner>,
    /// Notified when tokens should be asked for.
    changed: Notify,
}

#[derive(Debug)]
struct Inner {
    own: Member,
    lender: Lender,
    allocator: Allocator,
    stock: Stock,
    allocators: Allocators,
    census: Census,
    /// When allocators are chosen next.
    choice_due: Time,
    /// Requests that wait for a token, by account.
    waiting: BTreeMap<Account, VecDeque<oneshot::Sender<Verdict>>>,
    /// The policy that the limits are from.
    version: Option<Version>,
    /// Whether any account has a quota.
    in_use: bool,
}

/// What a request that waited for a token is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// It may be sent, and has spent a token that would have expired at this time.
    Admitted(Time),
    /// The quota is used up; a request would pass after this time.
    UsedUp(Duration),
}

/// A token that a request has spent; given back if the request has not run.
#[derive(Debug)]
pub struct Token {
    account: Account,
    expires: Time,
}

impl State {
    /// Creates the state of the daemon `name`, whose process `incarnation` starts at `now`.
    pub fn new(name: &str, incarnation: u64, now: Time) -> Self {
        let own = member(name);
        let inner = Inner {
            own,
            lender: Lender::new(own, incarnation, now),
            allocator: Allocator::new(own, incarnation),
            stock: Stock::new(),
            allocators: Allocators::default(),
            census: Census::default(),
            choice_due: Time::ZERO,
            waiting: BTreeMap::new(),
            version: None,
            in_use: false,
        };
        Self { inner: Mutex::new(inner), changed: Notify::new() }
    }

    /// Answers another daemon's request for tokens.
    pub fn answer(&self, ask: &Ask, now: Time) -> Grant {
        lock(&self.inner).allocator.answer(ask, now)
    }

    /// Returns the share of an account's quota that is lent to this daemon, its tokens here, and its requests per second here.
    pub fn account(&self, name: &str, now: Time) -> (f64, u32, f64) {
        let account = account(name);
        let mut inner = lock(&self.inner);
        let share = inner.allocator.share(account, now);
        let (tokens, demand) = inner.stock.state(account, now);
        (share, tokens, demand)
    }
}

/// Returns the number of a member in messages.
fn member(name: &str) -> Member {
    hash::bytes(name.as_bytes())
}

/// Returns the number of an account in messages.
fn account(name: &str) -> Account {
    hash::bytes(name.as_bytes())
}

/// Admits a request of the account `name`, waiting for a token if there is none. `None` for an account without a quota.
pub async fn admit(context: &Context, name: &str, deadline: Time) -> Result<Option<Token>, Refusal> {
    let has_quota = context.policy().policy.account(name).is_some_and(config::policy::Account::has_quota);
    if !has_quota {
        return Ok(None);
    }
    let account = account(name);
    let now = context.now();
    let receiver = {
        let mut inner = lock(&context.quotas.inner);
        let admission = inner.stock.admit(account, now);
        context.quotas.changed.notify_one();
        match admission {
            Admission::Granted(expires) => return Ok(Some(Token { account, expires })),
            Admission::UsedUp(after) => return Err(used_up(after)),
            Admission::Pending => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.entry(account).or_default().push_back(sender);
                receiver
            }
        }
    };
    let wait = MAX_WAIT.min(deadline.since(now));
    match tokio::time::timeout(wait, receiver).await {
        Ok(Ok(Verdict::Admitted(expires))) => Ok(Some(Token { account, expires })),
        Ok(Ok(Verdict::UsedUp(after))) => Err(used_up(after)),
        Ok(Err(_)) | Err(_) => {
            let mut inner = lock(&context.quotas.inner);
            inner.drop_closed(account);
            Err(Refusal { kind: Kind::QuotaUnknown, retry_after: Some(MAX_WAIT + jitter(RETRY_SPREAD)) })
        }
    }
}

impl Token {
    /// Whether the token is of the quota of the account `name`.
    pub fn is_of(&self, name: &str) -> bool {
        self.account == account(name)
    }

    /// Gives the token back: its request has not run.
    pub fn give_back(self, context: &Context) {
        let now = context.now();
        let mut inner = lock(&context.quotas.inner);
        inner.stock.give_back(self.account, self.expires, now);
        inner.serve_waiting(self.account, now);
    }
}

impl Inner {
    /// Admits requests that wait while there are tokens.
    fn serve_waiting(&mut self, account: Account, now: Time) {
        self.drop_closed(account);
        while let Some(expires) = self.stock.take_waiting(account, now) {
            let sender = self.waiting.get_mut(&account).and_then(VecDeque::pop_front);
            if sender.is_none_or(|sender| sender.send(Verdict::Admitted(expires)).is_err()) {
                // Its caller has disconnected.
                self.stock.give_back(account, expires, now);
            }
        }
    }

    /// Refuses all requests of an account that wait.
    fn refuse_waiting(&mut self, account: Account, after: Duration) {
        for sender in self.waiting.remove(&account).unwrap_or_default() {
            self.stock.stop_waiting(account);
            if sender.send(Verdict::UsedUp(after)).is_err() {
                log::debug!("quota: refusal dropped, the request no longer waits");
            }
        }
    }

    /// Removes requests that no longer wait.
    fn drop_closed(&mut self, account: Account) {
        let Some(waiting) = self.waiting.get_mut(&account) else { return };
        let before = waiting.len();
        waiting.retain(|sender| !sender.is_closed());
        (waiting.len()..before).for_each(|_| self.stock.stop_waiting(account));
        if waiting.is_empty() {
            self.waiting.remove(&account);
        }
    }

    /// Takes the limits from the policy in force, if it has changed.
    fn update_limits(&mut self, context: &Context, now: Time) {
        let active = context.policy();
        if self.version == Some(active.version) {
            return;
        }
        self.version = Some(active.version);
        let limited = active.policy.accounts.iter().flatten().filter(|(_, account)| account.has_quota());
        let limits: Vec<(Account, Limit)> =
            limited.map(|(name, known)| (account(name), Limit { rate: known.rate, burst: known.burst })).collect();
        self.in_use = !limits.is_empty();
        self.allocator.set_limits(limits, now);
    }
}

/// Returns the refusal of a request that would pass after `after`. Callers that are refused together come back spread over
/// half as long again.
fn used_up(after: Duration) -> Refusal {
    let spread = RETRY_SPREAD + after / 2;
    Refusal { kind: Kind::OverQuota, retry_after: Some(after + jitter(spread)) }
}

fn jitter(spread: Duration) -> Duration {
    spread.mul_f64(fastrand::f64())
}
