//! Replays a trace through the product's own decisions, and through plain policies, in virtual time.
//!
//! Only the decisions are the product's; servers, links and callers are small models (`docs/REPLAY.md`).

pub mod case;
pub mod error;
pub mod outcome;
pub mod server;
pub mod site;
pub mod table;
pub mod trace;
pub mod world;

pub use error::{Error, Result};
pub use trace::Trace;
