//! Service-level burn: how fast each class of work uses up its error budget.

pub mod page;
pub mod report;
pub mod series;

pub use report::Report;
pub use series::Series;
