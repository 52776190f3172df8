//! Sockets towards backend servers.

pub mod agents;
pub mod attempt;
pub mod http;
pub mod probe;
