//! How daemons know each other and the policy in force, without a coordinator.
//!
//! All of it is pure: the daemon carries the messages.

pub mod copy;
pub mod gossip;
pub mod load;
pub mod message;
pub mod roster;
pub mod source;
pub mod target;

pub use copy::Copy;
pub use message::{Message, Record};
pub use roster::Roster;
