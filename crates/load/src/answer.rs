//! What became of a request, and whether the answer is its own.

use base::hash;

/// What became of one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// The whole answer to this request.
    Complete,
    /// An answer to another request, or one cut short.
    Foreign,
    /// Refused, with the word that nothing was run.
    NotRun,
    /// An error that leaves the outcome open.
    Unknown,
    /// The connection was refused; nothing was sent.
    Refused,
    /// The connection broke, or no answer came in time.
    Broken,
}

impl Ending {
    /// All endings.
    pub const ALL: [Self; 6] =
        [Self::Complete, Self::Foreign, Self::NotRun, Self::Unknown, Self::Refused, Self::Broken];

    /// A short name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Foreign => "foreign",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Refused => "refused",
            Self::Broken => "broken",
        }
    }
}

/// Judges an answer by the echo of the stand-in for backend servers.
pub fn classify(outcome: &str, body: &[u8], echo: &str, sent: &[u8]) -> Ending {
    match outcome {
        "not-run" => return Ending::NotRun,
        "unknown" => return Ending::Unknown,
        _ => {}
    }
    let head = format!("echo={echo} body={:016x} ", hash::bytes(sent));
    if body.starts_with(head.as_bytes()) { Ending::Complete } else { Ending::Foreign }
}
