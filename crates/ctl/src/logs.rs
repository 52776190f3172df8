//! Reading the daemons' log lines.

use std::collections::BTreeSet;

/// Time before a request's first line from which other lines may explain it, in milliseconds.
const BEFORE_MS: u64 = 5_000;

/// A line of a daemon's log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    /// Milliseconds of the calendar.
    pub at_ms: u64,
    /// The daemon that wrote it.
    pub instance: String,
    /// Level, part, sentence and fields.
    pub text: String,
}

impl Line {
    /// The line in `text`, whatever a collector of logs has put before it; `None` if it is none of a daemon's.
    pub fn parse(text: &str) -> Option<Self> {
        let (head, rest) = text.split_once(" instance=")?;
        let (instance, rest) = rest.split_once(' ')?;
        let mut words = head.split_whitespace().rev();
        let level = words.next()?;
        let (seconds, millis) = words.next()?.split_once('.')?;
        let at_ms = seconds.parse::<u64>().ok()? * 1_000 + millis.parse::<u64>().ok()?;
        Some(Self { at_ms, instance: instance.to_owned(), text: format!("{level} {}", rest.trim_end()) })
    }

    /// The value of a field, without quotes.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut rest = self.text.as_str();
        while let Some(at) = rest.find(name) {
            let starts = rest[..at].ends_with(' ');
            rest = &rest[at + name.len()..];
            if let (true, Some(value)) = (starts, rest.strip_prefix('=')) {
                let quoted = value.strip_prefix('"').and_then(|value| value.split('"').next());
                return quoted.or_else(|| value.split(' ').next());
            }
        }
        None
    }

    /// The part that wrote it: the word before the first colon.
    pub fn part(&self) -> &str {
        let sentence = self.text.split_once(' ').map_or("", |(_, sentence)| sentence);
        sentence.split(':').next().unwrap_or_default()
    }

    /// Servers that it names.
    fn servers(&self) -> impl Iterator<Item = &str> {
        let considered = ["server", "near", "far"].into_iter().filter_map(|name| self.field(name));
        considered.filter_map(|value| value.split('/').next()).filter(|name| *name != "-")
    }
}

/// A line and whether it is of the request itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The line.
    pub line: Line,
    /// Whether it names the request; otherwise it tells what its daemon believed or lost meanwhile.
    pub own: bool,
}

/// The way of `request` through `lines`, in order of time: its own lines, and what the same daemons noted of the
/// servers concerned, of the store, the policy and themselves, from a little before until its end.
pub fn way(lines: &[Line], request: &str) -> Vec<Step> {
    let own = |line: &Line| line.field("request") == Some(request);
    let ours: Vec<&Line> = lines.iter().filter(|line| own(line)).collect();
    let (Some(first), Some(last)) =
        (ours.iter().map(|line| line.at_ms).min(), ours.iter().map(|line| line.at_ms).max())
    else {
        return Vec::new();
    };
    let servers: BTreeSet<&str> = ours.iter().flat_map(|line| line.servers()).collect();
    let instances: BTreeSet<&str> = ours.iter().map(|line| line.instance.as_str()).collect();
    let near = |line: &&Line| {
        let inside =
            line.at_ms + BEFORE_MS >= first && line.at_ms <= last && instances.contains(line.instance.as_str());
        let of_request = line.field("request").is_some();
        let of_server = line.servers().any(|server| servers.contains(server))
            || line.field("names").is_some_and(|names| names.split(',').any(|name| servers.contains(name)));
        let general = matches!(line.part(), "life" | "mirror" | "policy" | "reader" | "logs");
        inside && !of_request && (of_server || general)
    };
    let mut steps: Vec<Step> = lines
        .iter()
        .filter(|line| own(line) || near(line))
        .map(|line| Step { line: line.clone(), own: own(line) })
        .collect();
    steps.sort_by_key(|step| step.line.at_ms);
    steps
}
