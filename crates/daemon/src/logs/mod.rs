//! Logs on standard output: a line each, with the component as prefix and fields at the end.
//!
//! Logging never blocks on the reader of standard output: lines go into a bounded buffer that a thread of its own writes
//! out. Lines beyond the budget, or that find the buffer full, are left out; the next line that passes has their number.

mod budget;
mod levels;
mod writer;

use std::borrow::Cow;
use std::fmt::Write as _;
use std::io::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

use config::configs::Settings;
use env_logger::{Builder, Env, Target};
use log::kv::{self, Key, Value, VisitSource};

pub use self::budget::Budget;
pub use self::levels::Levels;
pub use self::writer::{Buffer, left_out};

/// Environment variable that overrides the level of the settings.
const VARIABLE: &str = "HEMLOCK_LOG";

/// Starts logging with the levels and the budget of the settings.
pub fn start(settings: &Settings) {
    let instance = settings.instance.clone();
    let per_second = settings.log_lines;
    // Libraries log below warnings only if the variable asks for it; the components' levels filter the daemon's own lines.
    let filter = "warn,daemon=trace,kernel=trace";
    let mut builder = Builder::from_env(Env::default().filter_or(VARIABLE, filter));
    builder.target(Target::Pipe(Box::new(Buffer::start(per_second, std::io::stdout()))));
    let overridden = std::env::var_os(VARIABLE).is_some();
    builder.format(move |out, record| {
        let args = record.args();
        let text = args.as_str().map_or_else(|| Cow::Owned(args.to_string()), Cow::Borrowed);
        if !overridden && !levels::allowed(&text, record.level()) {
            return Ok(());
        }
        let mut fields = Fields(String::new());
        if record.key_values().visit(&mut fields).is_err() {
            fields.0.push_str(" fields=unreadable");
        }
        let level = record.level();
        writeln!(out, "{} {level:<5} instance={instance} {text}{}", timestamp(), fields.0)
    });
    if builder.try_init().is_err() {
        log::debug!("logs: another logger is set already");
    }
    set(Levels::new(settings));
}

/// Logs each panic of any thread, also of libraries' threads, and then runs the previous panic hook.
pub fn log_panics() {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let place = panic.location().map(ToString::to_string).unwrap_or_default();
        let reason = panic.payload_as_str().unwrap_or("not told");
        log::error!("life: thread panicked place={place} reason={reason:?}");
        previous(panic);
    }));
}

/// Applies levels, unless the environment variable overrides them.
pub fn set(levels: Levels) {
    if std::env::var_os(VARIABLE).is_none() {
        levels::set(levels);
    }
}

/// Returns the seconds since the Unix epoch with milliseconds, by which logs of several instances are merged.
fn timestamp() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", since.as_secs(), since.subsec_millis())
}

/// Formats fields as ` name=value`, in their order in the call.
struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let text = value.to_string();
        let plain = !text.is_empty() && !text.contains([' ', '"', '=', '\n']);
        let written = if plain { write!(self.0, " {key}={text}") } else { write!(self.0, " {key}={text:?}") };
        written.map_err(kv::Error::boxed)
    }
}
