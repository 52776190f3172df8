//! What is declared and reported of a backend server.

use base::time::Time;

/// A backend server's number.
pub type BackendId = u32;

/// Where a backend server stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// In our failure domain.
    Domain,
    /// In our region.
    Region,
    /// In another region, by position in the list of regions.
    Remote(u16),
}

/// What the platform's list and the policy say of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Its number; unique and never reused for another incarnation.
    pub id: BackendId,
    /// Its service, by position in the list of services.
    pub service: u16,
    /// Where it stands.
    pub place: Place,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it leaves or is drained.
    pub leaving: bool,
    /// Whether this daemon may run waiting work on it.
    pub hosts: bool,
    /// Its region, by position.
    pub region: u16,
    /// How it starts, if it must not get its full work at once.
    pub slow_start: Option<SlowStart>,
}

/// A slow start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// Until when the server starts.
    pub until: Time,
    /// Requests a second that this daemon may send meanwhile if it is a starter, and to try the server whenever it
    /// is not known whether it has started anew.
    pub per_second: f64,
    /// Whether this daemon sends work to the server while it starts.
    pub starter: bool,
    /// Where this daemon stands, from 0 to 1, in the order in which those that are no starters try the server.
    pub phase: f64,
}

/// A load report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Requests running or waiting at the server, from all daemons.
    pub load: u32,
    /// Whether the server says that it is about to stop.
    pub draining: bool,
    /// How long work takes there now, as a multiple of the usual, if it says so.
    pub pace: Option<f64>,
    /// When the report was true.
    pub at: Time,
}
