//! Logs: one short line each, with a prefix for the part and fields behind it, on standard output.
//!
//! A line never waits for its reader: it goes into a bounded buffer that a thread of its own empties. Lines beyond
//! the budget of a second, or that find the buffer full, are left out, counted and told.

mod budget;
mod writer;

use std::fmt::Write as _;
use std::io::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env, Target};
use log::kv::{self, Key, Value, VisitSource};

pub use self::budget::Budget;
pub use self::writer::{Buffer, left_out};

/// Environment variable that overrides the level of the settings.
const VARIABLE: &str = "HEMLOCK_LOG";

/// Starts logging at `level`, or at `info` if it is empty, with `per_second` lines at most.
pub fn start(level: &str, instance: &str, per_second: u32) {
    let level = if level.is_empty() { "info" } else { level };
    let instance = instance.to_owned();
    // Libraries log below warnings only when asked for by the variable.
    let filter = format!("warn,daemon={level},kernel={level}");
    let mut builder = Builder::from_env(Env::default().filter_or(VARIABLE, filter));
    builder.target(Target::Pipe(Box::new(Buffer::start(per_second, std::io::stdout()))));
    builder.format(move |out, record| {
        let mut fields = Fields(String::new());
        if record.key_values().visit(&mut fields).is_err() {
            fields.0.push_str(" fields=unreadable");
        }
        let level = record.level();
        writeln!(out, "{} {level:<5} instance={instance} {}{}", timestamp(), record.args(), fields.0)
    });
    if builder.try_init().is_err() {
        log::debug!("logs: started already");
    }
}

/// Seconds of the calendar with milliseconds, for reading logs of several instances together.
fn timestamp() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", since.as_secs(), since.subsec_millis())
}

/// Fields as ` name=value`, in the order in which they were given.
struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let text = value.to_string();
        let plain = !text.is_empty() && !text.contains([' ', '"', '=', '\n']);
        let written = if plain { write!(self.0, " {key}={text}") } else { write!(self.0, " {key}={text:?}") };
        written.map_err(kv::Error::boxed)
    }
}
