//! Stand-ins for the platform's store, its list of instances, and backend servers.
//!
//! Each is a library part that tests drive, and a thin program over it.

pub mod backend;
pub mod cli;
pub mod http;
pub mod list;
pub mod memory;
pub mod state;
pub mod store;
