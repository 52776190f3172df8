//! Stand-ins for the platform's store, its list of instances, and backend servers.
//!
//! Each is a module that tests use, and a small program that runs it as a process. [`script`] is for tests only.

pub mod backend;
pub mod cli;
pub mod http;
pub mod list;
pub mod memory;
pub mod script;
pub mod state;
pub mod store;
pub mod tally;
