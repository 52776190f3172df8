//! What is declared and reported of a backend server.

use base::time::Time;

/// A backend server's number.
pub type BackendId = u32;

/// Where a backend server is, relative to this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// In the same failure domain.
    Domain,
    /// In another failure domain of the same region.
    Region,
    /// In another region, by position in the list of regions.
    Remote(u16),
}

/// What the platform's list and the policy declare of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Its number; unique and never reused for another incarnation.
    pub id: BackendId,
    /// Its service, by position in the list of services.
    pub service: u16,
    /// Its place relative to this daemon.
    pub place: Place,
    /// Number of requests it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving or drained.
    pub leaving: bool,
    /// Whether this daemon may run waiting work on it.
    pub hosts: bool,
    /// Its region, by position in the list of regions.
    pub region: u16,
    /// Limits while the server is new; `None` if it may get its full work at once.
    pub slow_start: Option<SlowStart>,
    /// This daemon's position among those that share the server's rate limit if it states one.
    pub position: Position,
}

/// A daemon's position in the order in which daemons share the rate limit of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Position {
    /// Number of live daemons that come before this one.
    pub rank: u32,
    /// Number of live daemons, this one included.
    pub daemons: u32,
    /// Live daemons as a fraction of all that have not announced their departure, from 0 to 1; zero while this daemon
    /// does not know the others yet.
    pub coverage: f64,
}

impl Position {
    /// The position of a daemon that is the only one.
    pub const ALONE: Self = Self { rank: 0, daemons: 1, coverage: 1.0 };
}

/// Limits on the requests to a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// End of the slow start.
    pub until: Time,
    /// Requests per second that this daemon may send until then if it is a starter. The rate also limits trial
    /// requests to an ejected server, which may have restarted.
    pub per_second: f64,
    /// Whether this daemon sends work to the server during the slow start.
    pub starter: bool,
    /// Position of this daemon, from 0 to 1, in the order in which daemons that are not starters try an ejected
    /// server.
    pub phase: f64,
    /// Whether the server then gets its work at a pace that follows from its answers.
    pub learns_pace: bool,
}

/// A load report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Requests running or waiting at the server, from all daemons.
    pub load: u32,
    /// Whether the server states that it is about to stop.
    pub draining: bool,
    /// How long work takes there now, as a multiple of the usual time; `None` if the report does not say.
    pub pace: Option<f64>,
    /// Time at which the report was true.
    pub at: Time,
}
