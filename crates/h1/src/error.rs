//! Errors of reading a message.

/// Why a message could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The bytes are not a valid HTTP/1.1 message.
    #[error("not a valid HTTP/1.1 message")]
    Malformed,
    /// The length of the body is ambiguous.
    #[error("the length of the body is ambiguous")]
    Ambiguous,
    /// The head is larger than allowed.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body is larger than allowed.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The connection ended before the message was complete.
    #[error("the connection ended before the message was complete")]
    Cut,
}

/// The result of reading a message.
pub type Result<T> = std::result::Result<T, Error>;
