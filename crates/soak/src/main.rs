//! `hemlocksoak`: runs a deployment under faults, with one seed after another.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt as _};
use soak::run::{self, Setup};
use soak::{Error, Result};

const USAGE: &str = "\
hemlocksoak [--seed N] [--runs N] [--seconds N] [--faults N] [--callers N] [--deployment FOLDER]

Runs the deployment's real programs under faults, --runs times with seeds from --seed on, and reports which guarantees
were violated. Build all programs first: cargo build --workspace
";

struct Options {
    deployment: PathBuf,
    runs: u64,
    setup: Setup,
}

fn parse() -> Result<Option<Options>> {
    let setup = Setup { seed: 1, time: Duration::from_secs(20), faults: 12, callers: 16, net: 90 };
    let mut options = Options { deployment: PathBuf::from("deploy/bayline"), runs: 1, setup };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("seed") => options.setup.seed = parser.value()?.parse()?,
            Long("runs") => options.runs = parser.value()?.parse()?,
            Long("seconds") => options.setup.time = Duration::from_secs(parser.value()?.parse()?),
            Long("faults") => options.setup.faults = parser.value()?.parse()?,
            Long("callers") => options.setup.callers = parser.value()?.parse()?,
            Long("net") => options.setup.net = parser.value()?.parse()?,
            Long("deployment") => options.deployment = PathBuf::from(parser.value()?),
            other => return Err(Error::Usage(other.unexpected())),
        }
    }
    Ok(Some(options))
}

/// Runs all seeds; returns whether every guarantee held.
fn soak(options: &Options) -> Result<bool> {
    let mut passed = true;
    for seed in options.setup.seed..options.setup.seed + options.runs {
        let folder = std::env::temp_dir().join(format!("hemlocksoak-{seed}"));
        let report = run::run(&options.deployment, &folder, Setup { seed, ..options.setup })?;
        let counts: Vec<String> =
            report.endings.iter().map(|(ending, count)| format!("{}={count}", ending.as_str())).collect();
        let (faults, limit_use, violations) = (report.faults, report.limit_use, report.violations.len());
        println!(
            "seed {seed}: {faults} faults, {}, limits used {limit_use:.2}, {violations} violations",
            counts.join(" ")
        );
        report.violations.iter().for_each(|line| println!("  {line}"));
        if report.violations.is_empty() {
            std::fs::remove_dir_all(&folder)?;
        } else {
            println!("  logs: {}", folder.display());
            passed = false;
        }
    }
    Ok(passed)
}

fn main() -> ExitCode {
    let options = match parse() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("hemlocksoak: {error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match soak(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("hemlocksoak: {error}");
            ExitCode::from(2)
        }
    }
}
