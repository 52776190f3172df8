//! Logs: one short line each, with a prefix for the part, on standard error.

use std::io::Write as _;

use env_logger::{Builder, Env};

/// Environment variable that overrides the level of the settings.
const VARIABLE: &str = "HEMLOCK_LOG";

/// Starts logging at `level`, or at `info` if it is empty.
pub fn start(level: &str, instance: &str) {
    let level = if level.is_empty() { "info" } else { level };
    let instance = instance.to_owned();
    // Libraries log below warnings only when asked for by the variable.
    let filter = format!("warn,daemon={level},hemlockd={level},kernel={level}");
    let mut builder = Builder::from_env(Env::default().filter_or(VARIABLE, filter));
    builder.format(move |out, record| writeln!(out, "{:<5} instance={instance} {}", record.level(), record.args()));
    if builder.try_init().is_err() {
        log::debug!("logs: started already");
    }
}
