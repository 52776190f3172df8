//! Queries to all daemons.

use std::time::Duration;

use base::instance::{Instance, Role};
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// Maximum time for one daemon's answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer, in bytes.
const MAX_BYTES: u64 = 64 << 20;

/// Creates an HTTP client with a short timeout.
pub fn agent() -> ureq::Agent {
    let config =
        ureq::Agent::config_builder().timeout_global(Some(TIMEOUT)).proxy(None).http_status_as_error(false).build();
    config.into()
}

/// Reads and parses the JSON at `url`; the error is the reason as text.
pub fn get<T: DeserializeOwned>(agent: &ureq::Agent, url: &str) -> std::result::Result<T, String> {
    let mut response = agent.get(url).call().map_err(|error| error.to_string())?;
    let read = response.body_mut().with_config().limit(MAX_BYTES).read_to_vec();
    let bytes = read.map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

/// Reads the entry instances from the platform's list at the address `list`.
pub fn entries(agent: &ureq::Agent, list: &str) -> Result<Vec<Instance>> {
    let read = get::<Vec<Instance>>(agent, &format!("http://{list}/instances"));
    let instances = read.map_err(|reason| Error::Failed(format!("list at {list}: {reason}; check --list")))?;
    Ok(instances.into_iter().filter(|instance| instance.role == Role::Entry).collect())
}

/// Reads the JSON at `path` from each of `entries` in parallel. Returns it, or why it could not be read, by instance
/// name.
pub fn get_all<T>(
    agent: &ureq::Agent,
    entries: &[Instance],
    path: &str,
) -> Vec<(String, std::result::Result<T, String>)>
where
    T: DeserializeOwned + Send,
{
    /// Number of daemons that one thread queries.
    const CHUNK: usize = 32;
    let one = |entry: &Instance| (entry.name.clone(), get(agent, &format!("http://{}{path}", entry.operators)));
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            entries.chunks(CHUNK).map(|chunk| scope.spawn(move || chunk.iter().map(one).collect::<Vec<_>>())).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic)))
            .collect()
    })
}
