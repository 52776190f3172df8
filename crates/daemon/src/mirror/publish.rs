//! Applies the policy and the servers that the mirror of the store holds.

use std::sync::Arc;
use std::time::Duration;

use ::store::Mirror;
use base::time::Time;
use fleet::Document;
use fleet::replica::Origin;

use crate::adapter::{Catalog, PolicyUpdate};
use crate::callers::limits::Limits;
use crate::context::lock;
use crate::{Context, peers, policies, view};

/// Time between updates for what changes with time alone: memberships, and missing keys whose grace time has passed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Applies the policy and the servers that the mirror holds now; logs each reason for a skipped entry once.
pub fn publish(context: &Arc<Context>, catalog: Catalog) {
    let _publishing = lock(&context.mirror_sync.publishing);
    // Read before the policy, which may be later than that.
    let (changes, confirmed_at) = {
        let mirror = lock(&context.mirror);
        (policy_changes(&mirror, catalog), mirror.confirmed_at())
    };
    let mut is_read = true;
    match read_policy(context, catalog, changes) {
        Ok(Some(update)) => {
            let version = update.version;
            confirmed_at.into_iter().for_each(|as_of| lock(&context.confirmation).confirm(version, as_of));
            is_read = apply_policy(context, update);
        }
        Ok(None) => {}
        Err(reason) => {
            is_read = false;
            if lock(&context.catalog_state).policy_error.replace(reason.clone()) != Some(reason.clone()) {
                context.metrics.policy_refused.inc();
                log::warn!("policy: refused source=store reason={reason:?}");
            }
        }
    }
    let mut state = lock(&context.catalog_state);
    state.policy_changes = Some(changes).filter(|_| is_read);
    let (items, reasons) = state.entries.read(&lock(&context.mirror), catalog, &context.settings);
    let new_reasons = reasons.iter().filter(|reason| !state.entries_passed_over.contains(*reason));
    new_reasons.for_each(|reason| log::warn!("mirror: server entry ignored reason={reason:?}"));
    context.metrics.servers_passed_over.set(reasons.len() as i64);
    state.entries_passed_over = reasons;
    drop(state);
    lock(&context.instance_list).replace(items, context.now());
    view::refresh(context);
}

/// Returns the store's era and the number of changes of the policy's keys so far.
fn policy_changes(mirror: &Mirror, catalog: Catalog) -> (u64, u64) {
    (mirror.version().era, mirror.change_count(catalog.policy_folder))
}

/// Reads the policy from the mirror if its keys changed since it was last applied, which `changes` shows, and it is not older than the
/// one in force.
fn read_policy(context: &Context, catalog: Catalog, changes: (u64, u64)) -> Result<Option<PolicyUpdate>, String> {
    let in_force = lock(&context.policy_replica).version();
    if lock(&context.catalog_state).policy_changes == Some(changes) {
        return Ok(None);
    }
    (catalog.read_policy)(&lock(&context.mirror), &context.settings, in_force)
}

/// Returns how long ago the policy in force was last known to be the store's; `None` if it never was, or if a change of it has
/// arrived that is not in force yet.
pub fn policy_age(context: &Context, catalog: Catalog, now: Time) -> Option<Duration> {
    if is_policy_pending(context, catalog) { None } else { lock(&context.mirror).age(now) }
}

/// Whether a change of the policy has arrived that is not in force yet.
pub fn is_policy_pending(context: &Context, catalog: Catalog) -> bool {
    let applied = lock(&context.catalog_state).policy_changes;
    applied != Some(policy_changes(&lock(&context.mirror), catalog))
}

/// Applies a policy that was read from the store; logs each reason why something in it was ignored once. Returns whether it, or a later
/// one, is in force now.
fn apply_policy(context: &Arc<Context>, update: PolicyUpdate) -> bool {
    let PolicyUpdate { version, policy, limits, passed_over } = update;
    context.set_caller_limits(Limits::new(&context.settings.callers).with_declared(&limits), version);
    match policy.to_text() {
        Ok(text) => {
            if policies::apply(context, Document::new(version, text), Origin::Store, "store") {
                peers::push_revision(context);
            }
        }
        Err(error) => log::warn!("policy: refused version={version} reason={:?}", error.to_string()),
    }
    context.metrics.policy_passed_over.set(passed_over.len() as i64);
    let mut state = lock(&context.catalog_state);
    let new_reasons = passed_over.iter().filter(|reason| !state.policy_passed_over.contains(*reason));
    new_reasons.for_each(|reason| log::warn!("policy: entry ignored version={version} reason={reason:?}"));
    state.policy_error = None;
    state.policy_passed_over = passed_over;
    drop(state);
    context.policy().version >= version
}

/// Applies what changes with time alone; runs until the task is aborted.
pub async fn run(context: Arc<Context>, catalog: Catalog) {
    loop {
        tokio::time::sleep(REFRESH_INTERVAL).await;
        let now = context.now();
        let expired = lock(&context.mirror).remove_expired(now);
        if expired {
            publish(&context, catalog);
        } else {
            view::refresh(&context);
        }
    }
}
