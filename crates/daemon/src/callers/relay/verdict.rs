//! What an entry instance says of a request that another one has passed on to it.
//!
//! The verdict is the last value of its header, after those that a backend server may have given under the same name, so
//! nothing in a server's answer can pass for it, and nothing of that answer is lost.

use http::header::{Entry, HeaderMap, HeaderName, HeaderValue};

/// The header of the verdict. It is sent only between entry instances.
const HEADER: HeaderName = HeaderName::from_static("hemlock-verdict");

/// What became of a request that was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The reply is the whole answer of a backend server.
    Complete,
    /// The request did not run and never will, so another instance may get it.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Verdict {
    const ALL: [Self; 3] = [Self::Complete, Self::NotRun, Self::Unknown];

    /// Returns the value on the wire.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Adds this verdict to the headers of a reply to another instance.
    pub fn append(self, headers: &mut HeaderMap) {
        headers.append(HEADER, HeaderValue::from_static(self.as_str()));
    }

    /// Removes the verdict from the headers of another instance's reply; `None` if there is none that is known.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let Entry::Occupied(entry) = headers.entry(HEADER) else { return None };
        let mut values: Vec<HeaderValue> = entry.remove_entry_mult().1.collect();
        let verdict = values.pop();
        for value in values {
            headers.append(HEADER, value);
        }
        let verdict = verdict?;
        Self::ALL.into_iter().find(|known| verdict == known.as_str())
    }
}
