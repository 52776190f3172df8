//! Which client account a request belongs to.

use std::sync::atomic::Ordering;

use base::error::Kind;
use base::time::Time;
use config::policy::{Account, Class};
use dispatch::engine;
use http::header::{AUTHORIZATION, HeaderMap, HeaderValue, PROXY_AUTHORIZATION};

use super::forward::Sender;
use super::refusal;
use crate::Context;
use crate::context::lock;
use crate::policies::ActivePolicy;

/// Scheme of the `Authorization` header by which callers send a key, in lower case.
const SCHEME: &str = "bearer";
/// Scheme of the `Proxy-Authorization` header by which an instance names the account of a request that it passes on, in lower
/// case. No build passes on a caller's header of this name, so it is the word of the instance itself.
const RELAYED_SCHEME: &str = "account";

/// The client account of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Identity {
    /// The account's name; `None` for a public request without a known key, and where the policy has no accounts.
    name: Option<String>,
    /// Whether another instance has passed the request on, and has counted it towards the account's quota.
    is_counted: bool,
}

impl Identity {
    /// Returns the account that holds the request's key, or that another entry instance names; an error if the request needs a
    /// key and bears no known one, or if the account that the instance names is not known here.
    pub fn of(
        context: &Context,
        active: &ActivePolicy,
        class: &Class,
        headers: &HeaderMap,
        sender: Sender,
    ) -> Result<Self, Kind> {
        if active.policy.accounts.is_none() {
            return Ok(Self::default());
        }
        let key = headers.get(AUTHORIZATION).and_then(|value| credentials(value, SCHEME));
        if keys_unconfirmed(context) && !(class.public && key.is_none()) {
            return Err(Kind::PolicyStale);
        }
        // An instance that passes a request on has checked the key and does not pass it on; earlier builds do.
        if let Some(name) = relayed_name(headers, sender) {
            // Without the account's regions, the request could run where it must not.
            active.policy.account(name).ok_or(Kind::PolicyStale)?;
            return Ok(Self { name: Some(name.to_owned()), is_counted: true });
        }
        match key.and_then(|key| active.directory.account_of(key)) {
            Some(name) => Ok(Self { name: Some(name.to_owned()), is_counted: false }),
            None if class.public => Ok(Self::default()),
            None => Err(refusal::of_unknown(context, Kind::UnknownKey)),
        }
    }

    /// Returns the value of `Proxy-Authorization` that names the account to an instance that the request is passed on to.
    pub fn for_instance(&self) -> Option<HeaderValue> {
        HeaderValue::try_from(format!("{RELAYED_SCHEME} {}", self.name()?)).ok()
    }

    /// Returns the account's name; `None` if the request has none.
    pub fn name(&self) -> Option<&str> {
        self.name.as_deref()
    }

    /// Returns the name of the account whose quota the request counts towards; `None` if another instance has counted it.
    pub fn counted_name(&self) -> Option<&str> {
        self.name().filter(|_| !self.is_counted)
    }

    /// Returns what the policy declares of the account; `None` if it has none, or knows no such account any more.
    pub fn account<'a>(&self, active: &'a ActivePolicy) -> Option<&'a Account> {
        active.policy.account(self.name()?)
    }

    /// Puts the account's name into the headers for backend servers in place of what the caller sent, and removes the key.
    pub fn replace_key(&self, context: &Context, active: &ActivePolicy, headers: &mut HeaderMap) {
        if active.policy.accounts.is_none() {
            return;
        }
        headers.remove(AUTHORIZATION);
        headers.remove(&context.dialect.account);
        if let Some(Ok(name)) = self.name().map(HeaderValue::from_str) {
            headers.insert(&context.dialect.account, name);
        }
    }

    /// Returns what the dispatch engine needs of the account.
    pub fn for_engine(&self, active: &ActivePolicy) -> engine::Account {
        self.name().map_or(engine::Account::NONE, |name| active.engine_account(name))
    }
}

/// Whether keys may have been taken away without this daemon's knowledge for longer than the settings allow.
fn keys_unconfirmed(context: &Context) -> bool {
    let settings = &context.settings.callers;
    if !settings.revoke_strict {
        return false;
    }
    let now = context.now();
    let age = if context.catalog.is_some() {
        lock(&context.mirror).age(now)
    } else {
        Some(now.since(Time::from_micros(context.store_answered_at.load(Ordering::Relaxed))))
    };
    age.is_none_or(|age| age.as_secs_f64() > settings.revoke_s)
}

/// Returns the name of the account that another instance gives to a request that it passes on.
fn relayed_name(headers: &HeaderMap, sender: Sender) -> Option<&str> {
    let value = headers.get(PROXY_AUTHORIZATION).filter(|_| sender == Sender::Peer)?;
    std::str::from_utf8(credentials(value, RELAYED_SCHEME)?).ok()
}

/// Returns the credentials in the value of an authorization header; `None` if it is of another scheme than `scheme`.
pub fn credentials<'a>(value: &'a HeaderValue, scheme: &str) -> Option<&'a [u8]> {
    let (given, credentials) = value.as_bytes().split_at_checked(scheme.len())?;
    let credentials = credentials.strip_prefix(b" ")?.trim_ascii();
    (given.eq_ignore_ascii_case(scheme.as_bytes()) && !credentials.is_empty()).then_some(credentials)
}
