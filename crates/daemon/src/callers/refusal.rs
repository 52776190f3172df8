//! How a request is refused that the policy in force does not know.
//!
//! Callers take 404 and 401 as final. A daemon that may have missed a change of the policy therefore does not answer them: it refuses
//! the request as one that did not run, and its caller sends it to another instance.

use std::time::Duration;

use base::error::Kind;

use crate::{Context, mirror};

/// Returns the error for a request whose route or key the policy in force does not have: `kind`, if that policy was lately known to
/// be the store's.
pub(super) fn of_unknown(context: &Context, kind: Kind) -> Kind {
    // Without a mirror, the daemon learns of policies from its peers and does not know the age of what they told.
    let Some(catalog) = context.catalog else { return kind };
    let max_age = Duration::from_secs_f64(context.settings.callers.policy_age_s);
    match mirror::policy_age(context, catalog, context.now()) {
        Some(age) if age <= max_age => kind,
        _ => Kind::PolicyStale,
    }
}
