//! Steering decisions: which entry instances a block of callers should use, and which share of links and regions a
//! daemon may use.
//!
//! This crate does no I/O and reads no clock: each decision depends on its arguments and the time passed in.

pub mod answer;
pub mod by_region;
pub mod grant;
pub mod shift;
pub mod table;
pub mod view;

pub use answer::Answer;
pub use table::Table;
pub use view::View;
