//! Puts what the copy of the store says into force.

use std::sync::Arc;
use std::time::Duration;

use fleet::Document;

use crate::adapter::{Catalog, PolicyUpdate};
use crate::context::lock;
use crate::{Context, peers, policies, view};

/// Time between two looks at what time alone changes: memberships, keys that did not come back.
const TURN: Duration = Duration::from_millis(250);

/// Puts what the copy says into force.
pub fn publish(context: &Arc<Context>, catalog: Catalog) {
    let known = lock(&context.policy_replica).revision();
    let read = (catalog.read_policy)(&lock(&context.mirror), &context.settings, known);
    match read {
        Ok(Some(revised)) => offer(context, revised),
        Ok(None) => {}
        Err(reason) => {
            if lock(&context.catalog_state).policy_error.replace(reason.clone()) != Some(reason.clone()) {
                context.metrics.policy_refused.inc();
                log::warn!("policy: refused source=store reason={reason:?}");
            }
        }
    }
    let mut known = lock(&context.catalog_state);
    let (items, refused) = known.entries.read(&lock(&context.mirror), catalog, &context.settings);
    let news = refused.iter().filter(|reason| !known.entries_passed_over.contains(*reason));
    news.for_each(|reason| log::warn!("mirror: entry passed over reason={reason:?}"));
    context.metrics.servers_passed_over.set(refused.len() as i64);
    known.entries_passed_over = refused;
    drop(known);
    lock(&context.instance_list).replace(items, context.now());
    view::refresh(context);
}

/// Puts a policy that was read from the store into force, and tells of what was passed over in it.
fn offer(context: &Arc<Context>, revised: PolicyUpdate) {
    let PolicyUpdate { revision, policy, passed_over } = revised;
    match policy.to_text() {
        Ok(text) => {
            if policies::apply(context, Document::new(revision, text), "store") {
                peers::tell_revision(context);
            }
        }
        Err(error) => log::warn!("policy: refused revision={revision} reason={:?}", error.to_string()),
    }
    context.metrics.policy_passed_over.set(passed_over.len() as i64);
    let mut known = lock(&context.catalog_state);
    let news = passed_over.iter().filter(|reason| !known.policy_passed_over.contains(*reason));
    news.for_each(|reason| log::warn!("policy: passed over revision={revision} reason={reason:?}"));
    known.policy_error = None;
    known.policy_passed_over = passed_over;
}

/// Notices what time alone changes.
pub async fn turn(context: Arc<Context>, catalog: Catalog) {
    loop {
        tokio::time::sleep(TURN).await;
        let now = context.now();
        let dropped = lock(&context.mirror).remove_expired(now);
        if dropped {
            publish(&context, catalog);
        } else {
            view::refresh(&context);
        }
    }
}
