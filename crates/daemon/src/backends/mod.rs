//! Sockets towards backend servers.

pub mod announcement;
pub mod attempt;
pub mod load;
pub mod pool;
pub mod probe;
