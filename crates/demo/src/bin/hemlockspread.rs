//! `hemlockspread`: measures how long a policy change takes to come into force in every daemon.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use demo::deployment::Deployment;
use demo::{Error, Result};
use lexopt::prelude::{Long, Short, ValueExt as _};

const USAGE: &str = "\
hemlockspread [--deployment FOLDER] [--changes N]

Starts a deployment on loopback, changes its policy again and again, and prints how long each change takes to be in
force in every daemon: with a healthy store, with a store that takes a second for each call, and healthy again.
";

/// Delay of each call to a slow store, in milliseconds; below the daemons' timeout for one call.
const SLOW_MS: u64 = 800;
/// Pause before each change, so that changes do not overlap.
const PAUSE: Duration = Duration::from_millis(700);

fn parse() -> std::result::Result<Option<(PathBuf, u64)>, lexopt::Error> {
    let (mut folder, mut changes) = (PathBuf::from("deploy/bayline"), 10);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("deployment") => folder = PathBuf::from(parser.value()?),
            Long("changes") => changes = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some((folder, changes)))
}

/// Changes the policy. Returns the time from the store's acknowledgement until the last daemon has it in force, in
/// milliseconds.
fn measure_change(deployment: &Deployment, number: u64) -> Result<f64> {
    std::thread::sleep(PAUSE);
    let store = store::Client::new(&deployment.store_address, Duration::from_secs(10));
    let store = store.map_err(|error| Error::Start(error.to_string()))?;
    let done = ctl::change::edit(&store, &format!("spread-{number}"), |policy| {
        let class = policy.classes.values_mut().next();
        class.into_iter().for_each(|class| class.deadline_ms += 1);
        Ok(())
    });
    let revision = done.map_err(|error| Error::Start(error.to_string()))?.revision();
    let start = Instant::now();
    deployment.wait_ready(revision)?;
    Ok(start.elapsed().as_secs_f64() * 1_000.0)
}

fn set_store_delay(deployment: &Deployment, slow_ms: u64) -> Result<()> {
    let result =
        ureq::post(format!("http://{}/fault", deployment.store_address)).send(format!("{{\"slow_ms\":{slow_ms}}}"));
    result.map(|_answer| ()).map_err(|error| Error::Start(error.to_string()))
}

fn run(folder: &std::path::Path, changes: u64) -> Result<()> {
    let mut deployment = Deployment::read(folder, &PathBuf::from("target/demo-logs"))?;
    deployment.start_platform()?;
    let revision = deployment.apply_policy()?;
    deployment.start_daemons()?;
    deployment.wait_ready(revision)?;
    let mut number = 0;
    for (name, slow_ms) in [("healthy", 0), ("store slow", SLOW_MS), ("healthy again", 0)] {
        set_store_delay(&deployment, slow_ms)?;
        let mut times = Vec::new();
        for _ in 0..changes {
            number += 1;
            times.push(measure_change(&deployment, number)?);
        }
        times.sort_by(f64::total_cmp);
        let median = times[times.len() / 2];
        let worst = times.last().copied().unwrap_or(0.0);
        println!("{:<20} {name:<14} median {median:>7.0} ms  worst {worst:>7.0} ms", folder.display());
    }
    Ok(())
}

fn main() -> ExitCode {
    let result = match parse() {
        Ok(Some((folder, changes))) => run(&folder, changes.max(1)),
        Ok(None) => {
            print!("{USAGE}");
            Ok(())
        }
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hemlockspread: {error}");
            ExitCode::FAILURE
        }
    }
}
