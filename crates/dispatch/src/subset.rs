//! Which backend servers a daemon uses, and which of them run its waiting work.
//!
//! Backend servers accept a few hundred connections, so not every daemon may connect to every server. All daemons
//! compute the same assignment from the same membership, without communication.

use base::hash;

/// Returns whether `daemon` uses `backend`, when each backend server is used by at most `limit` of `daemons`.
///
/// Ranks the daemons by a hash with the backend server; the first `limit` use it.
pub fn uses(daemon: u64, daemons: &[u64], backend: u64, limit: usize) -> bool {
    if daemons.len() <= limit {
        return true;
    }
    rank(daemon, daemons, backend) < limit
}

/// Returns the number of `daemons` that come before `daemon` in the order of `backend`.
pub fn rank(daemon: u64, daemons: &[u64], backend: u64) -> usize {
    let own = hash::combine(backend, daemon);
    daemons.iter().filter(|other| hash::combine(backend, **other) > own).count()
}

/// Returns the share of the requests of `backend` in slow start that `daemon` may send, when `starters` daemons send
/// it work, and whether it is one of them. The share of the others is only for trial requests after an ejection.
///
/// Load pattern: servers and daemons start at the same time, or a fleet is split. Each part would send as if it were the
/// whole fleet, so shares are scaled by `coverage`, the live daemons as a fraction of all that remain; it is zero for a
/// daemon that does not know the others yet.
pub fn start_share(daemon: u64, daemons: &[u64], backend: u64, starters: usize, coverage: f64) -> (f64, bool) {
    if coverage <= 0.0 {
        return (0.0, false);
    }
    let starter = uses(daemon, daemons, backend, starters);
    let sharing = if starter { starters } else { daemons.len() };
    (coverage / sharing as f64, starter)
}

/// Returns, for each of `backends`, whether `daemon` may run waiting work on it.
///
/// Each backend server has one such daemon, assigned round-robin, so that waiting work from several daemons never
/// fills its slots at the same time.
pub fn hosts(daemon: u64, daemons: &[u64], backends: &[u64]) -> Vec<bool> {
    let mut sorted = daemons.to_vec();
    sorted.sort_unstable();
    let Ok(own) = sorted.binary_search(&daemon) else {
        return vec![false; backends.len()];
    };
    let mut order: Vec<usize> = (0..backends.len()).collect();
    order.sort_unstable_by_key(|index| backends[*index]);
    let mut hosted = vec![false; backends.len()];
    for (position, index) in order.into_iter().enumerate() {
        hosted[index] = position % sorted.len() == own;
    }
    hosted
}
