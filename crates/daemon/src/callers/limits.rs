//! Limits of what callers may send, and of how long they may take.

use std::time::Duration;

use config::configs::Callers;

use crate::adapter::DeclaredLimits;

/// Highest limits, those of the settings of the same names.
const MAX_HEADER_BYTES: u64 = 1 << 20;
const MAX_BODY_BYTES: u64 = 1 << 30;
const MAX_HEADER_TIMEOUT: Duration = Duration::from_mins(10);
const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(1);
/// Time for which a connection without a request is kept beyond the one that operators declare: a request may be on its way.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Limits of what callers may send, and of how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request line with its headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time for a caller to send a request's header.
    pub header_timeout: Duration,
    /// Maximum time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Limits {
    /// Creates the limits of the settings.
    pub const fn new(settings: &Callers) -> Self {
        Self {
            max_header_bytes: settings.max_header_bytes as usize,
            max_body_bytes: settings.max_body_bytes,
            header_timeout: Duration::from_millis(settings.header_timeout_ms),
            idle_timeout: Duration::from_millis(settings.idle_timeout_ms),
        }
    }

    /// Raises the limits to those that operators declare: callers keep to these. Nothing is lowered.
    #[must_use]
    pub fn with_declared(self, declared: &DeclaredLimits) -> Self {
        let bytes = |own: u64, declared: Option<u64>, max: u64| own.max(declared.unwrap_or_default().min(max));
        let time = |own: Duration, declared: Option<Duration>, max| own.max(declared.unwrap_or_default().min(max));
        let idle = declared.idle_timeout.map(|idle| idle.saturating_add(IDLE_MARGIN));
        Self {
            max_header_bytes: bytes(self.max_header_bytes as u64, declared.max_header_bytes, MAX_HEADER_BYTES) as usize,
            max_body_bytes: bytes(self.max_body_bytes, declared.max_body_bytes, MAX_BODY_BYTES),
            header_timeout: time(self.header_timeout, declared.header_timeout, MAX_HEADER_TIMEOUT),
            idle_timeout: time(self.idle_timeout, idle, MAX_IDLE_TIMEOUT),
        }
    }
}
