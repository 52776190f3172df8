//! Parses the daemons' log lines and selects those about one request.

use std::collections::{BTreeMap, BTreeSet};

/// Time before a request's first line from which related lines belong to its trace, as they may explain it, in
/// milliseconds.
const CONTEXT_MS: u64 = 5_000;

/// A line of a daemon's log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    /// Time of the line, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The daemon that wrote it.
    pub instance: String,
    /// Level, component, sentence and fields.
    pub text: String,
    /// How much longer a collector waited for the line than for others of the daemon, in milliseconds; zero if none tells its time.
    pub delay_ms: u64,
}

impl Line {
    /// Parses a line, whatever a log collector has put before it; `None` if it is not from a daemon.
    pub fn parse(text: &str) -> Option<Self> {
        let (head, rest) = text.split_once(" instance=")?;
        let (instance, rest) = rest.split_once(' ')?;
        let mut words = head.split_whitespace().rev();
        let level = words.next()?;
        let (seconds, millis) = words.next()?.split_once('.')?;
        let at_ms = seconds.parse::<u64>().ok()? * 1_000 + millis.parse::<u64>().ok()?;
        Some(Self { at_ms, instance: instance.to_owned(), text: format!("{level} {}", rest.trim_end()), delay_ms: 0 })
    }

    /// Returns the value of a field, without quotes; `None` if the line does not have it.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut rest = self.text.as_str();
        while let Some(at) = rest.find(name) {
            let at_start = rest[..at].ends_with(' ');
            rest = &rest[at + name.len()..];
            if let (true, Some(value)) = (at_start, rest.strip_prefix('=')) {
                let quoted = value.strip_prefix('"').and_then(|value| value.split('"').next());
                return quoted.or_else(|| value.split(' ').next());
            }
        }
        None
    }

    /// Returns the line without its level: component, sentence and fields.
    pub fn sentence(&self) -> &str {
        self.text.split_once(' ').map_or("", |(_, sentence)| sentence)
    }

    /// Returns the component that wrote the line: the word before the first colon.
    pub fn component(&self) -> &str {
        self.sentence().split(':').next().unwrap_or_default()
    }

    /// Returns the backend servers that the line names.
    fn servers(&self) -> impl Iterator<Item = &str> {
        let values = ["server", "near", "far"].into_iter().filter_map(|name| self.field(name));
        values.filter_map(|value| value.split('/').next()).filter(|name| *name != "-")
    }
}

/// The clock of a log collector that puts its time in seconds before each line, as in `-9.3140 host` or `12.0312 host`.
///
/// The lines of machines whose own clocks differ are in one order by it.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    /// What is added to the collector's time, in milliseconds: the first line keeps its own time.
    offset_ms: Option<i64>,
    /// The least difference of the collector's time and each daemon's own so far, in milliseconds.
    least_ms: BTreeMap<String, i64>,
}

impl Clock {
    /// Parses a line as [`Line::parse`] does; its time is the collector's if the text begins with it.
    pub fn parse(&mut self, text: &str) -> Option<Line> {
        let line = Line::parse(text)?;
        let Some(collected_ms) = collected_ms(text) else { return Some(line) };
        let offset_ms = *self.offset_ms.get_or_insert(line.at_ms as i64 - collected_ms);
        let delay_ms = self.delay_ms(&line, collected_ms);
        Some(Line { at_ms: collected_ms.saturating_add(offset_ms).max(0) as u64, delay_ms, ..line })
    }

    fn delay_ms(&mut self, line: &Line, collected_ms: i64) -> u64 {
        let difference_ms = collected_ms - line.at_ms as i64;
        if !self.least_ms.contains_key(&line.instance) {
            self.least_ms.insert(line.instance.clone(), difference_ms);
        }
        let least_ms = self.least_ms.get_mut(&line.instance).map_or(difference_ms, |least_ms| {
            *least_ms = difference_ms.min(*least_ms);
            *least_ms
        });
        (difference_ms - least_ms) as u64
    }
}

/// Returns the time that a log collector has put before a line; `None` if the text begins with anything else, such as the
/// daemon's own time.
fn collected_ms(text: &str) -> Option<i64> {
    let words: Vec<&str> = text.split(" instance=").next()?.split_whitespace().collect();
    // The last two are the daemon's own time and the level.
    let [collected, .., _, _] = words.as_slice() else { return None };
    let seconds = collected.parse::<f64>().ok().filter(|seconds| seconds.is_finite() && collected.contains('.'))?;
    Some((seconds * 1_000.0).round() as i64)
}

/// A line of a request's trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The line.
    pub line: Line,
    /// Whether the line names the request; otherwise it is about the daemon or the servers concerned.
    pub of_request: bool,
}

/// Returns the trace of `request` in order of time: the lines that name it and, from [`CONTEXT_MS`] before the first
/// until the last of these, the same daemons' lines about the servers concerned, the store, the policy and themselves.
pub fn trace(lines: &[Line], request: &str) -> Vec<Step> {
    let of_request = |line: &Line| line.field("request") == Some(request);
    let own: Vec<&Line> = lines.iter().filter(|line| of_request(line)).collect();
    let (Some(first), Some(last)) = (own.iter().map(|line| line.at_ms).min(), own.iter().map(|line| line.at_ms).max())
    else {
        return Vec::new();
    };
    let servers: BTreeSet<&str> = own.iter().flat_map(|line| line.servers()).collect();
    let instances: BTreeSet<&str> = own.iter().map(|line| line.instance.as_str()).collect();
    let is_context = |line: &&Line| {
        let in_period =
            line.at_ms + CONTEXT_MS >= first && line.at_ms <= last && instances.contains(line.instance.as_str());
        let of_any_request = line.field("request").is_some();
        let of_server = line.servers().any(|server| servers.contains(server))
            || line.field("names").is_some_and(|names| names.split(',').any(|name| servers.contains(name)));
        let general = matches!(line.component(), "life" | "mirror" | "policy" | "reader" | "logs");
        in_period && !of_any_request && (of_server || general)
    };
    let mut steps: Vec<Step> = lines
        .iter()
        .filter(|line| of_request(line) || is_context(line))
        .map(|line| Step { line: line.clone(), of_request: of_request(line) })
        .collect();
    steps.sort_by_key(|step| step.line.at_ms);
    steps
}
