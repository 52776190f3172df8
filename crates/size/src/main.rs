//! `hemlocksize`, the tool behind `docs/CAPACITY.md`.

use std::process::ExitCode;

use lexopt::prelude::{Long, Short, Value};

const USAGE: &str = "\
hemlocksize [lookups | dispatch | membership | policy | all]

Measures how time, memory and bytes grow with the size; each line gives what, the size, the figure and its unit.
";

fn parse() -> Result<String, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut part = String::from("all");
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => part = String::from("help"),
            Value(value) => part = value.to_string_lossy().into_owned(),
            other => return Err(other.unexpected()),
        }
    }
    Ok(part)
}

fn main() -> ExitCode {
    let part = match parse() {
        Ok(part) => part,
        Err(error) => {
            eprintln!("hemlocksize: {error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match part.as_str() {
        "lookups" => size::lookups::run(),
        "dispatch" => size::dispatching::run(),
        "membership" => size::membership::run(),
        "policy" => size::policies::run(),
        "all" => {
            size::lookups::run();
            size::dispatching::run();
            size::membership::run();
            size::policies::run();
        }
        _ => print!("{USAGE}"),
    }
    ExitCode::SUCCESS
}
