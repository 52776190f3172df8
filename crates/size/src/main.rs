//! `hemlocksize` prints the measurements behind `docs/CAPACITY.md`.

use std::process::ExitCode;

use lexopt::prelude::{Long, Short, Value};

const USAGE: &str = "\
hemlocksize [lookups | dispatch | membership | policy | all]

Measures how time, memory and bytes grow with the size; each line gives what, the size, the figure and its unit.
";

fn parse() -> Result<String, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut topic = String::from("all");
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => topic = String::from("help"),
            Value(value) => topic = value.to_string_lossy().into_owned(),
            other => return Err(other.unexpected()),
        }
    }
    Ok(topic)
}

fn main() -> ExitCode {
    let topic = match parse() {
        Ok(topic) => topic,
        Err(error) => {
            eprintln!("hemlocksize: {error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match topic.as_str() {
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
