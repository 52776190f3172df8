//! `fakestore`: the stand-in for the platform's key-value store.

use std::process::ExitCode;

use fakes::cli::{self, Options};

const USAGE: &str = "fakestore [--address IP:PORT]\n\nStand-in for the platform's key-value store.";

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let options = Options::read(&["address"], USAGE)?;
    let server = fakes::store::Running::start(options.text("address", "127.0.0.1:7900"))?;
    println!("fakestore: listens at {}", server.address());
    cli::wait_for_termination();
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cli::fail("fakestore", error.as_ref()),
    }
}
