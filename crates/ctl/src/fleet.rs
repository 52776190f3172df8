//! Asking all daemons.

use std::time::Duration;

use base::instance::{Instance, Role};
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// Longest time for one daemon's answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer, in bytes.
const MAX_BYTES: u64 = 64 << 20;

/// An agent for short calls.
pub fn agent() -> ureq::Agent {
    let config =
        ureq::Agent::config_builder().timeout_global(Some(TIMEOUT)).proxy(None).http_status_as_error(false).build();
    config.into()
}

/// The JSON at `url`.
pub fn get<T: DeserializeOwned>(agent: &ureq::Agent, url: &str) -> std::result::Result<T, String> {
    let mut response = agent.get(url).call().map_err(|error| error.to_string())?;
    let read = response.body_mut().with_config().limit(MAX_BYTES).read_to_vec();
    let bytes = read.map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

/// Entry instances in the list at `list`.
pub fn entries(agent: &ureq::Agent, list: &str) -> Result<Vec<Instance>> {
    let read = get::<Vec<Instance>>(agent, &format!("http://{list}/instances"));
    let instances = read.map_err(|reason| Error::Failed(format!("list at {list}: {reason}; check --list")))?;
    Ok(instances.into_iter().filter(|instance| instance.role == Role::Entry).collect())
}

/// Asks each of `entries` for the JSON at `path`; all at once.
pub fn ask<T>(agent: &ureq::Agent, entries: &[Instance], path: &str) -> Vec<(String, std::result::Result<T, String>)>
where
    T: DeserializeOwned + Send,
{
    /// Daemons asked by one thread.
    const PART: usize = 32;
    let one = |entry: &Instance| (entry.name.clone(), get(agent, &format!("http://{}{path}", entry.operators)));
    std::thread::scope(|scope| {
        let parts: Vec<_> =
            entries.chunks(PART).map(|part| scope.spawn(move || part.iter().map(one).collect::<Vec<_>>())).collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic)))
            .collect()
    })
}
