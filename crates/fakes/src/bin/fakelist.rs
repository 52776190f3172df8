//! `fakelist`: the stand-in for the platform's list of instances.

use std::process::ExitCode;
use std::time::Duration;

use base::instance::Instance;
use fakes::cli::{self, Options};

const USAGE: &str = "fakelist [--address IP:PORT] [--instances FILE] [--lag-ms N]\n\nStand-in for the platform's list of instances; FILE holds a JSON array.";

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let options = Options::read(&["address", "instances", "lag-ms"], USAGE)?;
    let instances = read_instances(options.text("instances", ""))?;
    let lag = Duration::from_millis(options.number("lag-ms", 1_000)?);
    let server = fakes::list::Running::start(options.text("address", "127.0.0.1:7901"), instances, lag)?;
    println!("fakelist: listens at {}", server.address());
    cli::wait_for_termination();
    Ok(())
}

/// Reads a JSON array of instances; an empty `path` means none.
fn read_instances(path: &str) -> Result<Vec<Instance>, Box<dyn std::error::Error>> {
    if path.is_empty() {
        return Ok(Vec::new());
    }
    let json = std::fs::read(path).map_err(|error| format!("{path}: {error}"))?;
    Ok(serde_json::from_slice(&json).map_err(|error| format!("{path}: {error}"))?)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cli::fail("fakelist", error.as_ref()),
    }
}
