//! How a request is refused that the policy in force does not allow.
//!
//! Callers take 404, 401, 413 and 431 as final. A daemon that may have missed a change of the policy therefore does not answer them: it refuses
//! the request as one that did not run, and its caller sends it to another instance.

use std::time::Duration;

use base::error::Kind;

use crate::{Context, confirmation};

/// Returns the error for a request whose route or key the policy in force does not have: `kind`, if that policy was lately known to
/// be the store's.
pub(super) fn of_unknown(context: &Context, kind: Kind) -> Kind {
    if is_policy_confirmed(context) { kind } else { Kind::PolicyStale }
}

/// Returns the error for a request that is larger than the limits in force allow: `kind`, if they are those of the policy in force
/// and that policy was lately known to be the store's.
pub(super) fn of_too_large(context: &Context, kind: Kind) -> Kind {
    if context.knows_caller_limits() && is_policy_confirmed(context) { kind } else { Kind::LimitsUnknown }
}

/// Whether no change of the policy can have been missed for longer than the settings allow.
fn is_policy_confirmed(context: &Context) -> bool {
    // Without a mirror, the daemon learns of policies from its peers and does not know the age of what they told.
    let max_age = Duration::from_secs_f64(context.settings.callers.policy_age_s);
    let is_recent = || confirmation::policy_age(context, context.now()).is_some_and(|age| age <= max_age);
    context.catalog.is_none() || (!confirmation::is_pending(context) && is_recent())
}
