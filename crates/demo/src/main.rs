//! `hemlockdemo`: runs a deployment on loopback under load until it is stopped.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use demo::deployment::Deployment;
use demo::{Error, Result};
use lexopt::prelude::{Long, Short, ValueExt as _};
use load::plan::Plan;
use load::{run, tally};

const USAGE: &str = "\
hemlockdemo [--deployment FOLDER] [--per-second N] [--seconds N]

Starts the stand-ins and the daemons of a deployment on loopback, sends real requests and prints what happened,
until stopped (or for --seconds).
";

/// Length of the intervals whose results are printed.
const INTERVAL: Duration = Duration::from_secs(5);

struct Options {
    folder: PathBuf,
    per_second: f64,
    seconds: Option<u64>,
}

fn parse() -> std::result::Result<Option<Options>, lexopt::Error> {
    let mut options = Options { folder: PathBuf::from("deploy/bayline"), per_second: 200.0, seconds: None };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("deployment") => options.folder = PathBuf::from(parser.value()?),
            Long("per-second") => options.per_second = parser.value()?.parse()?,
            Long("seconds") => options.seconds = Some(parser.value()?.parse()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

/// Runs the deployment and prints the results of each interval.
fn run_demo(options: &Options) -> Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let registered = signal_hook::flag::register(signal, Arc::clone(&stop));
        registered.map_err(|error| Error::Start(error.to_string()))?;
    }
    let mut deployment = Deployment::read(&options.folder, &PathBuf::from("target/demo-logs"))?;
    println!("demo: starting {} instances of {}", deployment.instances.len(), options.folder.display());
    deployment.start_platform()?;
    let revision = deployment.apply_policy()?;
    deployment.start_daemons()?;
    deployment.wait_ready(revision)?;
    println!("demo: all daemons ready at revision {revision}; logs in target/demo-logs");
    println!(
        "demo: try  target/release/hemlockctl --store {} --list {} show",
        deployment.store_address, deployment.list_address
    );
    let mut plan = Plan {
        lookup_addresses: deployment.lookup_addresses()?,
        flows: deployment.flows(options.per_second),
        duration: INTERVAL,
        callers: 64,
        timeout: Duration::from_secs(30),
        resends: 2,
        seed: 1,
    };
    let intervals = options.seconds.map_or(u64::MAX, |seconds| seconds.div_ceil(INTERVAL.as_secs()));
    for interval in 1..=intervals {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        plan.seed = interval;
        println!("\ninterval {interval}, {} s:\n{}", INTERVAL.as_secs(), tally::table(&run::run(&plan, &stop)));
    }
    Ok(())
}

fn main() -> ExitCode {
    let result = match parse() {
        Ok(Some(options)) => run_demo(&options),
        Ok(None) => {
            print!("{USAGE}");
            Ok(())
        }
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hemlockdemo: {error}");
            ExitCode::FAILURE
        }
    }
}
