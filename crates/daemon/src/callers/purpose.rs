//! What each address for callers is for.

/// What an address is for. It is given where the address is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Callers' requests for classes of work.
    Requests,
    /// Callers' look-ups.
    LookUps,
}

impl Purpose {
    /// Returns the name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::LookUps => "look-ups",
        }
    }
}
