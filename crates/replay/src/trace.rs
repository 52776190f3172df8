//! The format of traces: one event a line, in order of time.
//!
//! ```text
//! # time in ms, what, and its words
//! 0.5 send lookup michigan 18.2 2000 17      class, caller's region, work in ms, answer's bytes, caller
//! 9.0 poison lookup michigan 17              a request that stops the server that runs it
//! 20.0 slow mi-a-portal-1 10                 work there takes ten times as long
//! 20.0 lag 5000                              load reports are so many ms old
//! 25.0 reports off                           load reports stop (or `on`)
//! 30.0 down michigan                         all of a region dies (or `up`)
//! 40.0 leave mi-a-portal-2                   a server is announced to leave
//! ```

use std::fmt::Write as _;

use base::time::Time;

use crate::error::{Error, Result};

/// What happens.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
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
        /// The caller.
        caller: u32,
    },
    /// A caller sends a request that stops the server that runs it, and sends it again when it fails.
    Poison {
        /// Class of work.
        class: String,
        /// Home region of the caller.
        region: String,
        /// The caller.
        caller: u32,
    },
    /// Work on a server takes so many times as long from now on.
    Slow(String, f64),
    /// Age of load reports, in milliseconds.
    Lag(u64),
    /// Whether load reports come.
    Reports(bool),
    /// A region dies (`false`) or comes back with cold caches (`true`).
    Region(String, bool),
    /// A server is announced to leave.
    Leave(String),
}

/// An event.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// When.
    pub at: Time,
    /// What.
    pub what: What,
}

/// Events in order.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Trace {
    /// The events.
    pub events: Vec<Event>,
}

impl Trace {
    /// Reads a trace; `name` stands for it in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let mut events: Vec<Event> = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let wrong =
                |reason: &str| Error::Line { name: name.to_owned(), line: index + 1, reason: reason.to_owned() };
            let event = event(line).ok_or_else(|| wrong("is no event; see docs/REPLAY.md"))?;
            if events.last().is_some_and(|last| last.at > event.at) {
                return Err(wrong("is earlier than the line before"));
            }
            events.push(event);
        }
        Ok(Self { events })
    }

    /// The trace as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for event in &self.events {
            let at = event.at.as_micros() as f64 / 1_000.0;
            let written = match &event.what {
                What::Send { class, region, work_us, bytes, caller } => {
                    let work = *work_us as f64 / 1_000.0;
                    writeln!(text, "{at} send {class} {region} {work} {bytes} {caller}")
                }
                What::Poison { class, region, caller } => writeln!(text, "{at} poison {class} {region} {caller}"),
                What::Slow(server, factor) => writeln!(text, "{at} slow {server} {factor}"),
                What::Lag(ms) => writeln!(text, "{at} lag {ms}"),
                What::Reports(on) => writeln!(text, "{at} reports {}", if *on { "on" } else { "off" }),
                What::Region(region, up) => writeln!(text, "{at} {} {region}", if *up { "up" } else { "down" }),
                What::Leave(server) => writeln!(text, "{at} leave {server}"),
            };
            debug_assert!(written.is_ok(), "writing to text does not fail");
        }
        text
    }
}

fn event(line: &str) -> Option<Event> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let (at, rest) = words.split_first()?;
    let what = match rest {
        ["send", class, region, work, bytes, caller] => What::Send {
            class: (*class).to_owned(),
            region: (*region).to_owned(),
            work_us: micros(work)?,
            bytes: bytes.parse().ok()?,
            caller: caller.parse().ok()?,
        },
        ["poison", class, region, caller] => {
            What::Poison { class: (*class).to_owned(), region: (*region).to_owned(), caller: caller.parse().ok()? }
        }
        ["slow", server, factor] => What::Slow((*server).to_owned(), factor.parse().ok()?),
        ["lag", ms] => What::Lag(ms.parse().ok()?),
        ["reports", "on"] => What::Reports(true),
        ["reports", "off"] => What::Reports(false),
        ["up", region] => What::Region((*region).to_owned(), true),
        ["down", region] => What::Region((*region).to_owned(), false),
        ["leave", server] => What::Leave((*server).to_owned()),
        _ => return None,
    };
    Some(Event { at: Time::from_micros(micros(at)?), what })
}

fn micros(text: &str) -> Option<u64> {
    let ms: f64 = text.parse().ok()?;
    (ms >= 0.0 && ms.is_finite()).then_some((ms * 1_000.0).round() as u64)
}
