//! The command line of an entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use config::configs::Source;
use lexopt::prelude::{Long, Short, Value, ValueExt as _};

use crate::adapter::Adapter;
use crate::{lifecycle, logs};

/// Exit code of a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;
/// Exit code of a daemon that could not run.
const EXIT_FAILED: u8 = 1;

fn usage(name: &str) -> String {
    format!(
        "\
{name} [--check] [--set KEY=VALUE ...] [--set-given KEY=VALUE ...] SETTINGS
{name} --help | --version

Runs the entry daemon with the settings in the TOML file SETTINGS.

  --check            read and check the settings, then exit
  --set KEY=VALUE    use this value, in TOML, in place of the file's: fleet.relay_port=7201
  --set-given KEY=VALUE
                     the same unless VALUE is empty, as where a template has no value for it
"
    )
}

enum Command {
    Help,
    Version,
    Check(Source),
    Run(Source),
}

fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut check = false;
    let mut path = None;
    let mut overrides = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("version") | Short('V') => return Ok(Command::Version),
            Long("check") => check = true,
            Long("set") => overrides.push(parser.value()?.string()?),
            Long("set-given") => {
                overrides.extend(Some(parser.value()?.string()?).filter(|given| !given.ends_with('=')));
            }
            Value(value) if path.is_none() => path = Some(PathBuf::from(value)),
            other => return Err(other.unexpected()),
        }
    }
    let path: PathBuf = path.ok_or("name the settings file")?;
    let source = Source::new(&path).with_overrides(overrides);
    Ok(if check { Command::Check(source) } else { Command::Run(source) })
}

fn fail(name: &str, code: u8, reason: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{name}: {reason}");
    ExitCode::from(code)
}

/// Runs the program `name` on the platform of `adapter`; returns its exit code.
pub fn main(name: &str, adapter: Adapter) -> ExitCode {
    let command = match parse() {
        Ok(command) => command,
        Err(error) => return fail(name, EXIT_USAGE, &format!("{error}\n\n{}", usage(name))),
    };
    match command {
        Command::Help => print!("{}", usage(name)),
        Command::Version => println!("{name} {}", env!("CARGO_PKG_VERSION")),
        Command::Check(source) => match source.read() {
            Ok(_) => println!("{}: good", source.path().display()),
            Err(error) => return fail(name, EXIT_USAGE, &error),
        },
        Command::Run(source) => {
            let settings = match source.read() {
                Ok(settings) => settings,
                Err(error) => return fail(name, EXIT_USAGE, &error),
            };
            logs::start(&settings);
            logs::log_panics();
            if let Err(error) = lifecycle::run(&source, settings, adapter) {
                return fail(name, EXIT_FAILED, &error);
            }
        }
    }
    ExitCode::SUCCESS
}
