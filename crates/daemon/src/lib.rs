//! The entry daemon: plug-ins that do the input and output for the decisions of the crates `dispatch`, `steer`, `fleet`
//! and `ledger`.

pub mod accounts;
pub mod adapter;
pub mod at_most_once;
pub mod backends;
pub mod callers;
pub mod clock;
pub mod confirmation;
pub mod context;
pub mod decision_log;
pub mod dialect;
pub mod driver;
pub mod grants;
pub mod instance_list;
pub mod lifecycle;
pub mod list_poller;
pub mod logs;
pub mod metrics;
pub mod mirror;
pub mod operators;
pub mod peers;
pub mod plugin;
pub mod policies;
pub mod policy_poller;
pub mod program;
pub mod quotas;
pub mod rejection;
pub mod response;
pub mod stall;
pub mod view;

pub use context::Context;
