//! Until when requests may go by the regions that the policy in force names.
//!
//! A daemon that has heard nothing of the store for a while asks others how old their policies are ([`questions`]);
//! [`fleet::confirmation`] decides what follows from the answers.

mod contacts;
mod questions;

use std::time::Duration;

use base::time::Time;
use config::policy::Allowed;
use fleet::confirmation::{Limits, Standing};
use fleet::replica::Version;

use crate::context::lock;
use crate::{Context, mirror};

fn limits(context: &Context) -> Limits {
    Limits::new(Duration::from_secs_f64(context.settings.callers.policy_age_s))
}

/// Returns how long ago the policy in force was last known to be the store's, by this daemon or by others; `None` if it never was, or if
/// nothing tells it.
pub fn policy_age(context: &Context, now: Time) -> Option<Duration> {
    age_of(context, context.policy().version, now)
}

/// Returns how long ago the policy of `version`, which is in force or about to come into force, was last known to be the store's.
fn age_of(context: &Context, version: Version, now: Time) -> Option<Duration> {
    let catalog = context.catalog?;
    let told = lock(&context.confirmation).confirmed_at(version).map(|at| now.since(at));
    let known = mirror::policy_age(context, catalog, now);
    known.into_iter().chain(told).min()
}

/// Returns how long ago instances of all regions agreed on the policy of `version`; `None` if they never did.
pub fn agreement_age(context: &Context, version: Version, now: Time) -> Option<Duration> {
    lock(&context.confirmation).agreed_at(version).map(|at| now.since(at))
}

/// Returns until when requests may go by the regions that the policy of `version` names, which is in force or about to come into force.
pub fn expiry(context: &Context, version: Version, now: Time) -> Time {
    if context.catalog.is_none() {
        return Time::MAX;
    }
    let limits = limits(context);
    let confirmed = age_of(context, version, now).map(|age| now - age + limits.max_age());
    let agreement = agreement_age(context, version, now).filter(|_| !is_pending(context));
    let agreed = agreement.map(|age| now - age + limits.max_agreement_age());
    confirmed.max(agreed).unwrap_or(Time::ZERO)
}

/// Whether a request may go by `allowed`, the regions that the policy in force lets it run in: they are all, or the policy is known
/// to be recent enough.
pub fn may_rely_on(context: &Context, allowed: &Allowed) -> bool {
    let now = context.now();
    *allowed == Allowed::All || now <= expiry(context, context.policy().version, now)
}

/// Returns what this daemon says of its policy to another one.
pub fn standing(context: &Context) -> Standing {
    let now = context.now();
    let version = context.policy().version;
    let age_ms = policy_age(context, now).map(|age| age.as_millis() as u64);
    // The age may be that of a policy that has come into force meanwhile.
    let pending = context.catalog.is_none() || is_pending(context) || context.policy().version != version;
    Standing { version, age_ms, pending, hears_store: hears_store(context) }
}

/// Whether the store has lately answered a call of this daemon, be it with a refusal.
fn hears_store(context: &Context) -> bool {
    context.store.silent_for().is_some_and(|silent_for| silent_for < limits(context).silent_after())
}

/// Whether a change of the policy has arrived from the store that is not in force yet.
pub fn is_pending(context: &Context) -> bool {
    context.catalog.is_some_and(|catalog| mirror::is_policy_pending(context, catalog))
}
