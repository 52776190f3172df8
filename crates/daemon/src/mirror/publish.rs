//! Puts what the copy of the store says into force.

use std::sync::Arc;
use std::time::Duration;

use fleet::Document;

use crate::adapter::{Catalog, Revised};
use crate::context::lock;
use crate::{Context, peers, policies, view};

/// Time between two looks at what time alone changes: memberships, keys that did not come back.
const TURN: Duration = Duration::from_millis(250);

/// Puts what the copy says into force.
pub fn publish(context: &Arc<Context>, catalog: Catalog) {
    let known = lock(&context.holder).revision();
    let read = (catalog.policy)(&lock(&context.mirror), &context.settings, known);
    match read {
        Ok(Some(revised)) => offer(context, revised),
        Ok(None) => {}
        Err(reason) => {
            if lock(&context.servers).policy_refused.replace(reason.clone()) != Some(reason.clone()) {
                context.metrics.policy_refused.inc();
                log::warn!("policy: refused source=store reason={reason:?}");
            }
        }
    }
    let mut known = lock(&context.servers);
    let (items, refused) = known.entries.read(&lock(&context.mirror), catalog, &context.settings);
    let news = refused.iter().filter(|reason| !known.refused.contains(*reason));
    news.for_each(|reason| log::warn!("mirror: entry passed over reason={reason:?}"));
    context.metrics.servers_passed_over.set(refused.len() as i64);
    known.refused = refused;
    drop(known);
    lock(&context.list).take(items, context.now());
    view::refresh(context);
}

/// Puts a policy that was read from the store into force, and tells of what was passed over in it.
fn offer(context: &Arc<Context>, revised: Revised) {
    let Revised { revision, policy, passed_over } = revised;
    match policy.to_text() {
        Ok(text) => {
            if policies::offer(context, Document::new(revision, text), "store") {
                peers::tell_revision(context);
            }
        }
        Err(error) => log::warn!("policy: refused revision={revision} reason={:?}", error.to_string()),
    }
    context.metrics.policy_passed_over.set(passed_over.len() as i64);
    let mut known = lock(&context.servers);
    let news = passed_over.iter().filter(|reason| !known.policy_passed_over.contains(*reason));
    news.for_each(|reason| log::warn!("policy: passed over revision={revision} reason={reason:?}"));
    known.policy_refused = None;
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
