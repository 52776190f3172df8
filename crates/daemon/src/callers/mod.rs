//! The addresses for requests for classes of work, of callers and of other entry instances, and for look-ups.

pub mod arrival;
mod buffer;
pub mod connection;
pub mod forward;
mod headers;
pub mod identity;
mod job;
pub mod limits;
pub mod lookup;
mod matching;
mod parser;
pub mod purpose;
mod refusal;
pub mod relay;
pub mod reply;
pub mod server;
pub mod slots;
pub mod stop;
