//! HTTP/1.1 messages over `httparse`: heads, framing of bodies, and one connection towards a server.
//!
//! hyper is not used on the request path: it starts a pipelined request only after the answer before it, does
//! not notice that a caller with pipelined requests has left, and takes a late answer to an earlier request for
//! the answer to the present one (`docs/STYLE.md`).

pub mod body;
pub mod budget;
pub mod client;
pub mod encode;
pub mod error;
pub mod head;

pub use body::{Decoder, Framing};
pub use budget::Budget;
pub use error::{Error, Result};
