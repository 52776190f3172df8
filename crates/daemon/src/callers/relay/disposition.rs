//! What an entry instance says of a request that another one has passed on to it.
//!
//! The disposition is the last value of its header, after those that a backend server may have given under the same name, so
//! nothing in a server's answer can pass for it, and nothing of that answer is lost.

use http::header::{Entry, HeaderMap, HeaderName, HeaderValue};

/// The header of the disposition. It is sent only between entry instances.
const HEADER: HeaderName = HeaderName::from_static("hemlock-disposition");

/// What became of a request that was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// The reply is the whole answer of a backend server.
    Complete,
    /// The request did not run and never will, so another instance may get it.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Disposition {
    const ALL: [Self; 3] = [Self::Complete, Self::NotRun, Self::Unknown];

    /// Returns the value on the wire.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Adds this disposition to the headers of a reply to another instance.
    pub fn append(self, headers: &mut HeaderMap) {
        headers.append(HEADER, HeaderValue::from_static(self.as_str()));
    }

    /// Removes the disposition from the headers of another instance's reply; `None` if there is none that is known.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let Entry::Occupied(entry) = headers.entry(HEADER) else { return None };
        let mut values: Vec<HeaderValue> = entry.remove_entry_mult().1.collect();
        let disposition = values.pop();
        for value in values {
            headers.append(HEADER, value);
        }
        let disposition = disposition?;
        Self::ALL.into_iter().find(|known| disposition == known.as_str())
    }
}
