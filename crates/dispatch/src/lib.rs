//! Dispatch decisions: which backend server runs which request, and when to retry, hedge, cancel or refuse it.
//!
//! [`Engine`] is a plain state machine. Events and the current time go in, [`Action`]s come out. The same code runs
//! behind sockets, in replay and in property tests.

pub mod announcements;
pub mod backend;
pub mod budget;
pub mod class;
pub mod engine;
pub mod fairness;
pub mod quarantine;
pub mod reach;
pub mod regions;
pub mod samples;
pub mod split;
pub mod subset;
mod trials;
pub mod warmth;
pub mod work_time;

pub use engine::{Action, Ending, Engine, Verdict};
