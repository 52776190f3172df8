//! Reads the platform's list of instances.

use std::sync::Arc;
use std::time::Duration;

use base::instance::Instance;
use base::time::Time;

use crate::Context;
use crate::context::lock;
use crate::instance_list::Item;
use crate::plugin::{PeriodicThread, Plugin};
use crate::view;

/// Largest list taken, in bytes.
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
    let pause = Duration::from_millis(settings.poll_ms);
    let url = format!("http://{}/instances", settings.address);
    let config = ureq::Agent::config_builder().timeout_global(Some(timeout)).proxy(None).build();
    let agent: ureq::Agent = config.into();
    let context = Arc::clone(context);
    let running = PeriodicThread::start("list", move || {
        match read(&agent, &url) {
            Ok(instances) => take(&context, instances),
            Err(reason) => log::debug!("list: read skipped reason={reason:?}"),
        }
        view::refresh(&context);
        pause
    })?;
    Ok(Box::new(running))
}

fn read(agent: &ureq::Agent, url: &str) -> Result<Vec<Instance>, String> {
    let mut response = agent.get(url).call().map_err(|error| error.to_string())?;
    let read = response.body_mut().with_config().limit(MAX_LIST_BYTES).read_to_vec();
    let bytes = read.map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

/// Takes a list; an empty one is taken for a fault of the platform.
fn take(context: &Context, instances: Vec<Instance>) {
    let now = context.now();
    let mut list = lock(&context.instance_list);
    if instances.is_empty() && !list.items.is_empty() {
        log::warn!("list: empty list skipped known={}", list.items.len());
        return;
    }
    lock(&context.roster).set_listed(&instances);
    list.replace(instances.into_iter().map(|instance| Item::new(instance, Time::ZERO)).collect(), now);
}
