//! The entry daemon: plug-ins over the pure decisions.

pub mod adapter;
pub mod backends;
pub mod callers;
pub mod clock;
pub mod context;
pub mod dialect;
pub mod driver;
pub mod grants;
pub mod life;
pub mod list;
pub mod lister;
pub mod logs;
pub mod metrics;
pub mod mirror;
pub mod notes;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod plugin;
pub mod policies;
pub mod program;
pub mod reader;
pub mod stall;
pub mod view;
pub mod whole;

pub use context::Context;
