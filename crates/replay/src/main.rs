//! `hemlockreplay` replays recorded or generated traces and prints the outcomes.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use dispatch::engine::policy::Policy;
use lexopt::prelude::{Long, Short, ValueExt as _};
use replay::case::Case;
use replay::simulation::Simulation;
use replay::site::Site;
use replay::table::{self, Row};
use replay::{Error, Result, Trace};

const USAGE: &str = "\
hemlockreplay [--site FOLDER]... [--case NAME]... [--seed N] [--out FOLDER] [--ours-only]
hemlockreplay --site FOLDER --trace FILE
hemlockreplay --site FOLDER --case NAME --print

Replays cases, or a trace, through the product's decisions and through plain policies, and prints the outcomes
side by side. --out also writes outcomes.csv and a plot for each site; --print prints a case's trace instead.
Times are in ms and parts in per cent; docs/REPLAY.md explains the columns.
";

const POLICIES: [(&str, Policy); 4] = [
    ("ours", Policy::Steered),
    ("round-robin", Policy::RoundRobin),
    ("random", Policy::Random),
    ("least", Policy::LeastInFlight),
];

#[derive(Default)]
struct Options {
    sites: Vec<PathBuf>,
    cases: Vec<Case>,
    trace: Option<PathBuf>,
    out: Option<PathBuf>,
    seed: u64,
    print: bool,
    ours_only: bool,
    help: bool,
}

fn parse() -> std::result::Result<Options, lexopt::Error> {
    let mut options = Options { seed: 1, ..Options::default() };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => options.help = true,
            Long("site") => options.sites.push(PathBuf::from(parser.value()?)),
            Long("case") => options.cases.push(parse_case(&parser.value()?.string()?)?),
            Long("trace") => options.trace = Some(PathBuf::from(parser.value()?)),
            Long("out") => options.out = Some(PathBuf::from(parser.value()?)),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("print") => options.print = true,
            Long("ours-only") => options.ours_only = true,
            other => return Err(other.unexpected()),
        }
    }
    if options.sites.is_empty() {
        options.sites = vec![PathBuf::from("deploy/bayline"), PathBuf::from("deploy/onfot")];
    }
    if options.cases.is_empty() {
        options.cases = Case::ALL.to_vec();
    }
    Ok(options)
}

fn parse_case(name: &str) -> std::result::Result<Case, lexopt::Error> {
    let found = Case::ALL.into_iter().find(|case| case.as_str() == name);
    let known: Vec<&str> = Case::ALL.iter().map(|case| case.as_str()).collect();
    found.ok_or_else(|| format!("--case: `{name}` is not one of {}", known.join(", ")).into())
}

/// Replays a trace with each policy.
fn replay(site: &Site, case: &str, trace: &Trace, options: &Options) -> Vec<Row> {
    let class = |may_wait: bool| {
        let found = site.policy.classes.iter().find(|(_, class)| class.idempotent && class.may_wait == may_wait);
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    };
    let row = |(name, policy): &(&str, Policy)| Row {
        site: site.name.clone(),
        case: case.to_owned(),
        policy: (*name).to_owned(),
        outcome: Simulation::new(site, *policy, options.seed).run(trace),
        short: class(false),
        bulk: class(true),
    };
    let policies = if options.ours_only { &POLICIES[..1] } else { &POLICIES[..] };
    policies.iter().map(row).collect()
}

fn run(options: &Options) -> Result<()> {
    let mut rows = Vec::new();
    for folder in &options.sites {
        let site = Site::read(folder)?;
        if let Some(path) = &options.trace {
            let name = path.display().to_string();
            let text = std::fs::read_to_string(path).map_err(|error| Error::File(name.clone(), error.to_string()))?;
            rows.extend(replay(&site, "trace", &Trace::parse(&name, &text)?, options));
            continue;
        }
        for case in &options.cases {
            let trace = case.trace(&site, options.seed);
            if options.print {
                print!("{}", trace.to_text());
                return Ok(());
            }
            rows.extend(replay(&site, case.as_str(), &trace, options));
        }
    }
    print!("{}", table::text(&rows));
    options.out.as_ref().map_or(Ok(()), |folder| write(folder, &rows))
}

/// Writes the CSV file and a plot for each deployment.
fn write(folder: &Path, rows: &[Row]) -> Result<()> {
    let file = |name: String, text: String| {
        let path = folder.join(name);
        std::fs::write(&path, text).map_err(|error| Error::File(path.display().to_string(), error.to_string()))
    };
    std::fs::create_dir_all(folder).map_err(|error| Error::File(folder.display().to_string(), error.to_string()))?;
    file("outcomes.csv".to_owned(), table::csv(rows))?;
    let mut sites: Vec<&str> = rows.iter().map(|row| row.site.as_str()).collect();
    sites.dedup();
    sites.into_iter().try_for_each(|site| file(format!("p99-{site}.svg"), table::svg(rows, site)))
}

fn main() -> ExitCode {
    let options = match parse() {
        Ok(options) => options,
        Err(error) => {
            eprintln!("hemlockreplay: {error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    if options.help {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hemlockreplay: {error}");
            ExitCode::FAILURE
        }
    }
}
