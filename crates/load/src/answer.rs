//! The result of a request, and the check that its answer belongs to it.

use base::hash;

/// The result of sending a request once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// The complete answer to this request.
    Complete,
    /// An answer without the echo of this request: it belongs to another request, or was cut short.
    Foreign,
    /// An error that says the request was not run.
    NotRun,
    /// An error that leaves open whether the request was run.
    Unknown,
    /// No connection could be made; nothing was sent.
    Refused,
    /// The connection was lost, or no answer came in time.
    Broken,
}

impl Ending {
    /// All endings.
    pub const ALL: [Self; 6] =
        [Self::Complete, Self::Foreign, Self::NotRun, Self::Unknown, Self::Refused, Self::Broken];

    /// Returns the name in the summary.
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

/// Classifies an answer by `outcome`, the value of its header `x-outcome`, and by the line that `fakebackend` writes at
/// the start of `body`. That line repeats `echo`, the request's header `x-echo`, and the hash of `sent`, the
/// request's body.
pub fn classify(outcome: &str, body: &[u8], echo: &str, sent: &[u8]) -> Ending {
    match outcome {
        "not-run" => return Ending::NotRun,
        "unknown" => return Ending::Unknown,
        _ => {}
    }
    let expected = format!("echo={echo} body={:016x} ", hash::bytes(sent));
    if body.starts_with(expected.as_bytes()) { Ending::Complete } else { Ending::Foreign }
}
