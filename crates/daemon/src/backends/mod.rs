//! Communication with backend servers: attempts, pooled connections, announcements and load reports.

pub mod announcement;
pub mod attempt;
pub mod load;
pub mod pool;
pub mod probe;
pub mod reach;
