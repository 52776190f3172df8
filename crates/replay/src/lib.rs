//! Replays a trace in virtual time, with the dispatch engine of `hemlockd` and with baseline policies.
//!
//! Dispatch, look-ups and traffic shifts run the daemon's code; servers, links and callers are simple models
//! (`docs/REPLAY.md`).

pub mod case;
pub mod error;
pub mod outcome;
pub mod server;
pub mod simulation;
pub mod site;
pub mod table;
pub mod trace;

pub use error::{Error, Result};
pub use trace::Trace;
