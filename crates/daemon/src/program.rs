//! The command line of an entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use config::configs::Settings;
use lexopt::prelude::{Long, Short, Value};

use crate::adapter::Adapter;
use crate::{lifecycle, logs};

/// Exit code of a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;
/// Exit code of a daemon that could not run.
const EXIT_FAILED: u8 = 1;

fn usage(name: &str) -> String {
    format!(
        "\
{name} [--check] SETTINGS
{name} --help | --version

Runs the entry daemon with the settings in the TOML file SETTINGS.

  --check    read and check the settings, then exit
"
    )
}

enum Command {
    Help,
    Version,
    Check(PathBuf),
    Run(PathBuf),
}

fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut check = false;
    let mut path = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("version") | Short('V') => return Ok(Command::Version),
            Long("check") => check = true,
            Value(value) if path.is_none() => path = Some(PathBuf::from(value)),
            other => return Err(other.unexpected()),
        }
    }
    match path {
        Some(path) if check => Ok(Command::Check(path)),
        Some(path) => Ok(Command::Run(path)),
        None => Err("name the settings file".into()),
    }
}

fn fail(name: &str, code: u8, reason: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{name}: {reason}");
    ExitCode::from(code)
}

/// Runs the program `name` on the platform that `adapter` joins.
pub fn main(name: &str, adapter: Adapter) -> ExitCode {
    let command = match parse() {
        Ok(command) => command,
        Err(error) => return fail(name, EXIT_USAGE, &format!("{error}\n\n{}", usage(name))),
    };
    match command {
        Command::Help => print!("{}", usage(name)),
        Command::Version => println!("{name} {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => match Settings::read(&path) {
            Ok(_) => println!("{}: good", path.display()),
            Err(error) => return fail(name, EXIT_USAGE, &error),
        },
        Command::Run(path) => {
            let settings = match Settings::read(&path) {
                Ok(settings) => settings,
                Err(error) => return fail(name, EXIT_USAGE, &error),
            };
            logs::start(&settings);
            logs::log_panics();
            if let Err(error) = lifecycle::run(&path, settings, adapter) {
                return fail(name, EXIT_FAILED, &error);
            }
        }
    }
    ExitCode::SUCCESS
}
