//! Membership of the daemons and distribution of the policy by gossip, without a coordinator.
//!
//! This crate does no I/O: the daemon sends and receives the messages.

pub mod confirmation;
pub mod gossip;
pub mod load;
pub mod message;
pub mod replica;
pub mod roster;
pub mod source;
pub mod target;

pub use message::{Message, Record};
pub use replica::Document;
pub use roster::Roster;
