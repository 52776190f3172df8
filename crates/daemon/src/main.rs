//! `hemlockd`, the entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use config::configs::Settings;
use daemon::dialect::Dialect;
use lexopt::prelude::{Long, Short, Value};

/// Exit code of a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;
/// Exit code of a daemon that could not run.
const EXIT_FAILED: u8 = 1;

const USAGE: &str = "\
hemlockd [--check] SETTINGS
hemlockd --help | --version

Runs the entry daemon with the settings in the TOML file SETTINGS.

  --check    read and check the settings, then exit
";

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

fn fail(code: u8, reason: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("hemlockd: {reason}");
    ExitCode::from(code)
}

fn main() -> ExitCode {
    let command = match parse() {
        Ok(command) => command,
        Err(error) => return fail(EXIT_USAGE, &format!("{error}\n\n{USAGE}")),
    };
    match command {
        Command::Help => print!("{USAGE}"),
        Command::Version => println!("hemlockd {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => match Settings::read(&path) {
            Ok(_) => println!("{}: good", path.display()),
            Err(error) => return fail(EXIT_USAGE, &error),
        },
        Command::Run(path) => {
            let settings = match Settings::read(&path) {
                Ok(settings) => settings,
                Err(error) => return fail(EXIT_USAGE, &error),
            };
            daemon::logs::start(&settings.log, &settings.instance);
            if let Err(error) = daemon::life::run(settings, Dialect::own()) {
                return fail(EXIT_FAILED, &error);
            }
        }
    }
    ExitCode::SUCCESS
}
