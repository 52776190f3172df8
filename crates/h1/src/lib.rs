//! HTTP/1.1 messages, parsed with `httparse`: heads, framing of bodies, and a client connection to a server. A response
//! is called an answer.
//!
//! hyper is not used on the request path: it starts a pipelined request only after the answer to the one before, does
//! not notice that a caller with pipelined requests has disconnected, and takes a late answer to an earlier request for
//! the answer to the current one (`docs/STYLE.md`).

pub mod body;
pub mod budget;
pub mod client;
pub mod encode;
pub mod error;
pub mod head;
pub mod memory;
pub mod payload;
mod target;

pub use body::{Decoder, Framing};
pub use budget::Budget;
pub use error::{Error, Result};
pub use memory::Memory;
pub use payload::Payload;
