//! Sockets towards backend servers.

pub mod attempt;
pub mod leaving;
pub mod load;
pub mod pool;
pub mod probe;
