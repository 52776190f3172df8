//! The format of traces: one event a line, in order of time.
//!
//! ```text
//! # time in ms, event, arguments
//! 0.5 send lookup michigan 18.2 2000 17      class, caller's region, work in ms, bytes of the answer, caller
//! 9.0 poison lookup michigan 17              a request that crashes each server that runs it
//! 20.0 slow mi-a-portal-1 10                 work takes ten times as long on this server
//! 20.0 lag 5000                              age of load reports from now on, in ms
//! 25.0 reports off                           load reports stop (`on`: resume)
//! 30.0 down michigan                         a whole region fails (`up`: returns)
//! 40.0 leave mi-a-portal-2                   a server is announced as leaving
//! ```

use std::fmt::Write as _;

use base::time::Time;

use crate::error::{Error, Result};

/// What an event does.
#[derive(Debug, Clone, PartialEq)]
pub enum EventKind {
    /// A caller sends a request.
    Send {
        /// Class of work.
        class: String,
        /// Home region of the caller.
        region: String,
        /// Time the work takes on a healthy server, in microseconds.
        work_us: u64,
        /// Size of the answer, in bytes.
        bytes: u64,
        /// Number of the caller.
        caller: u32,
    },
    /// A caller sends a request that crashes each server that runs it, and retries it several times.
    Poison {
        /// Class of work.
        class: String,
        /// Home region of the caller.
        region: String,
        /// Number of the caller.
        caller: u32,
    },
    /// Multiplies the time that work takes on a server by a factor, from now on.
    Slow(String, f64),
    /// Sets the age of load reports, in milliseconds.
    Lag(u64),
    /// Turns load reports on or off.
    Reports(bool),
    /// A region fails (`false`) or returns with cold caches (`true`).
    Region(String, bool),
    /// A server is announced as leaving.
    Leave(String),
}

/// An event.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Time since the start of the trace.
    pub at: Time,
    /// What happens.
    pub kind: EventKind,
}

/// A sequence of events in order of time.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Trace {
    /// The events, in order of time.
    pub events: Vec<Event>,
}

impl Trace {
    /// Parses a trace; errors call it `name`.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let mut events: Vec<Event> = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let line_error =
                |reason: &str| Error::Line { name: name.to_owned(), line: index + 1, reason: reason.to_owned() };
            let event = parse_event(line).ok_or_else(|| line_error("not a valid event; see docs/REPLAY.md"))?;
            if events.last().is_some_and(|last| last.at > event.at) {
                return Err(line_error("the time is earlier than that of the event before"));
            }
            events.push(event);
        }
        Ok(Self { events })
    }

    /// Formats the trace as text that [`Trace::parse`] accepts.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for event in &self.events {
            let at = event.at.as_micros() as f64 / 1_000.0;
            let written = match &event.kind {
                EventKind::Send { class, region, work_us, bytes, caller } => {
                    let work = *work_us as f64 / 1_000.0;
                    writeln!(text, "{at} send {class} {region} {work} {bytes} {caller}")
                }
                EventKind::Poison { class, region, caller } => writeln!(text, "{at} poison {class} {region} {caller}"),
                EventKind::Slow(server, factor) => writeln!(text, "{at} slow {server} {factor}"),
                EventKind::Lag(ms) => writeln!(text, "{at} lag {ms}"),
                EventKind::Reports(on) => writeln!(text, "{at} reports {}", if *on { "on" } else { "off" }),
                EventKind::Region(region, up) => writeln!(text, "{at} {} {region}", if *up { "up" } else { "down" }),
                EventKind::Leave(server) => writeln!(text, "{at} leave {server}"),
            };
            debug_assert!(written.is_ok(), "writing to text does not fail");
        }
        text
    }
}

/// Parses one line; `None` if it is not a valid event.
fn parse_event(line: &str) -> Option<Event> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let (at, event) = fields.split_first()?;
    let kind = match event {
        ["send", class, region, work, bytes, caller] => EventKind::Send {
            class: (*class).to_owned(),
            region: (*region).to_owned(),
            work_us: parse_micros(work)?,
            bytes: bytes.parse().ok()?,
            caller: caller.parse().ok()?,
        },
        ["poison", class, region, caller] => {
            EventKind::Poison { class: (*class).to_owned(), region: (*region).to_owned(), caller: caller.parse().ok()? }
        }
        ["slow", server, factor] => EventKind::Slow((*server).to_owned(), factor.parse().ok()?),
        ["lag", ms] => EventKind::Lag(ms.parse().ok()?),
        ["reports", "on"] => EventKind::Reports(true),
        ["reports", "off"] => EventKind::Reports(false),
        ["up", region] => EventKind::Region((*region).to_owned(), true),
        ["down", region] => EventKind::Region((*region).to_owned(), false),
        ["leave", server] => EventKind::Leave((*server).to_owned()),
        _ => return None,
    };
    Some(Event { at: Time::from_micros(parse_micros(at)?), kind })
}

/// Parses milliseconds, rounded to microseconds; `None` unless finite and not negative.
fn parse_micros(text: &str) -> Option<u64> {
    let ms: f64 = text.parse().ok()?;
    (ms >= 0.0 && ms.is_finite()).then_some((ms * 1_000.0).round() as u64)
}
