//! The callers' port: look-ups and requests.

pub mod forward;
pub mod lookup;
pub mod reply;
pub mod server;
