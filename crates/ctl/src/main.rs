//! `hemlockctl`, the operators' command line.

use std::process::ExitCode;

use ctl::Error;
use ctl::cli::Command;
use ctl::verbs;

fn main() -> ExitCode {
    let arguments = std::env::args().skip(1);
    let result = Command::parse(arguments).and_then(|command| verbs::run(&command));
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(Error::Warnings(report)) => {
            print!("{report}");
            ExitCode::from(Error::Warnings(String::new()).exit_code())
        }
        Err(error) => {
            eprintln!("hemlockctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
