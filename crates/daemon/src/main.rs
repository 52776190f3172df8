//! `hemlockd`, the entry daemon.

use std::process::ExitCode;

use daemon::adapter::Adapter;

fn main() -> ExitCode {
    daemon::program::main("hemlockd", Adapter::native())
}
