//! Polls the platform's list of instances.

use std::sync::Arc;
use std::time::Duration;

use base::instance::Instance;
use base::time::Time;

use crate::Context;
use crate::context::lock;
use crate::instance_list::Item;
use crate::plugin::{PeriodicThread, Plugin};
use crate::view;

/// Largest list accepted, in bytes.
const MAX_LIST_BYTES: u64 = 64 << 20;

inventory::submit! {
    Plugin(kernel::Plugin { name: "list", stage: 30, start })
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    if context.catalog.is_some() {
        return Ok(Box::new(kernel::Idle));
    }
    let settings = &context.settings.list;
    let timeout = Duration::from_millis(settings.timeout_ms);
    let interval = Duration::from_millis(settings.poll_ms);
    let url = format!("http://{}/instances", settings.address);
    let config = ureq::Agent::config_builder().timeout_global(Some(timeout)).proxy(None).build();
    let agent: ureq::Agent = config.into();
    let context = Arc::clone(context);
    let thread = PeriodicThread::start("list", move || {
        match fetch(&agent, &url) {
            Ok(instances) => apply(&context, instances),
            Err(reason) => log::debug!("list: read failed reason={reason:?}"),
        }
        view::refresh(&context);
        interval
    })?;
    Ok(Box::new(thread))
}

fn fetch(agent: &ureq::Agent, url: &str) -> Result<Vec<Instance>, String> {
    let mut response = agent.get(url).call().map_err(|error| error.to_string())?;
    let body = response.body_mut().with_config().limit(MAX_LIST_BYTES).read_to_vec();
    let bytes = body.map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

/// Applies a list. An empty one after one with instances counts as a fault of the platform and is ignored.
fn apply(context: &Context, instances: Vec<Instance>) {
    let now = context.now();
    let mut list = lock(&context.instance_list);
    if instances.is_empty() && !list.items.is_empty() {
        log::warn!("list: empty list ignored known={}", list.items.len());
        return;
    }
    lock(&context.roster).set_listed(&instances);
    list.replace(instances.into_iter().map(|instance| Item::new(instance, Time::ZERO)).collect(), now);
}
