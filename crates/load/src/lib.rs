//! A load generator: open-loop arrivals by class, latencies from the planned time of arrival, and a check of every
//! answer.

pub mod answer;
pub mod plan;
pub mod run;
pub mod tally;
