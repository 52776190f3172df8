//! `hemlockload` sends load to a deployment and prints a summary.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt as _};
use load::plan::{Flow, Plan};
use load::{run, tally};

const USAGE: &str = "\
hemlockload --lookup-address IP:PORT [--lookup-address ...] --flow NAME,METHOD,PATH,PER_SECOND[,keyed] [--flow ...]
            [--seconds N] [--callers N] [--timeout-ms N] [--resends N] [--seed N]

Sends open-loop load through look-ups and checks that each answer belongs to its request.
";

fn parse_flow(text: &str) -> Result<Flow, lexopt::Error> {
    let fields: Vec<&str> = text.split(',').collect();
    let (name, method, path, rate, keyed) = match fields.as_slice() {
        [name, method, path, rate] => (name, method, path, rate, false),
        [name, method, path, rate, "keyed"] => (name, method, path, rate, true),
        _ => return Err(format!("--flow: `{text}` is not NAME,METHOD,PATH,PER_SECOND[,keyed]").into()),
    };
    let per_second = rate.parse().map_err(|_source| format!("--flow: `{rate}` is not a number"))?;
    let (name, method, path) = ((*name).to_owned(), (*method).to_owned(), (*path).to_owned());
    Ok(Flow { name, method, path, per_second, keyed, body_bytes: 0 })
}

fn parse() -> Result<Option<Plan>, lexopt::Error> {
    let mut plan = Plan {
        lookup_addresses: Vec::new(),
        flows: Vec::new(),
        duration: Duration::from_secs(10),
        callers: 64,
        timeout: Duration::from_secs(10),
        resends: 2,
        seed: 1,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("lookup-address") => plan.lookup_addresses.push(parser.value()?.string()?),
            Long("flow") => plan.flows.push(parse_flow(&parser.value()?.string()?)?),
            Long("seconds") => plan.duration = Duration::from_secs(parser.value()?.parse()?),
            Long("callers") => plan.callers = parser.value()?.parse()?,
            Long("timeout-ms") => plan.timeout = Duration::from_millis(parser.value()?.parse()?),
            Long("resends") => plan.resends = parser.value()?.parse()?,
            Long("seed") => plan.seed = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    if plan.lookup_addresses.is_empty() || plan.flows.is_empty() {
        return Err("at least one --lookup-address and one --flow are required".into());
    }
    Ok(Some(plan))
}

fn main() -> ExitCode {
    match parse() {
        Ok(None) => print!("{USAGE}"),
        Ok(Some(plan)) => {
            let stop = Arc::new(AtomicBool::new(false));
            print!("{}", tally::table(&run::run(&plan, &stop)));
        }
        Err(error) => {
            eprintln!("hemlockload: {error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
