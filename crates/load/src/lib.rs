//! A load tool: open-loop arrivals by class, latencies from the time of arrival, and a check of every answer.

pub mod answer;
pub mod plan;
pub mod run;
pub mod tally;
