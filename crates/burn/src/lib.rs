//! Service-level objectives: the rate at which each class of work burns its error budget.

pub mod page;
pub mod report;
pub mod series;

pub use report::Report;
pub use series::Series;
