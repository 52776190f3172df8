//! `fakebackend`: the stand-in for one backend server.

use std::process::ExitCode;

use fakes::backend::{Running, Setup};
use fakes::cli::{self, Options};

const USAGE: &str = "fakebackend --name NAME [--address IP:PORT] [--slots N] [--queue N] [--work-ms N] [--cold-ms N] [--lag-ms N]\n\nStand-in for one backend server.";
const OPTIONS: [&str; 7] = ["name", "address", "slots", "queue", "work-ms", "cold-ms", "lag-ms"];

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let options = Options::read(&OPTIONS, USAGE)?;
    let mut setup = Setup::new(options.text("name", "backend"));
    setup.slots = options.number("slots", 3)? as u32;
    setup.queue = options.number("queue", 3)? as u32;
    setup.work_ms = options.number("work-ms", 20)?;
    setup.cold_ms = options.number("cold-ms", 0)?;
    setup.report_lag_ms = options.number("lag-ms", 500)?;
    setup.exit_on_crash = true;
    let server = Running::start(options.text("address", "127.0.0.1:0"), setup)?;
    println!("fakebackend: listens at {}", server.address());
    cli::wait_for_termination();
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cli::fail("fakebackend", error.as_ref()),
    }
}
