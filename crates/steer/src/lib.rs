//! Steering decisions: which entry instances a block of callers should use, and which share of links and
//! regions a daemon may use.
//!
//! All of it is pure: input and the present time go in, a decision comes out.

pub mod answer;
pub mod by_region;
pub mod grant;
pub mod shift;
pub mod table;
pub mod view;

pub use answer::Answer;
pub use table::Table;
pub use view::View;
