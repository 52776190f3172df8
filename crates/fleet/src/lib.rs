//! How daemons know each other and the policy in force, without a coordinator.
//!
//! All of it is pure: the daemon carries the messages.

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
