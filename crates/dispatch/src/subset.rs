//! Which backend servers a daemon uses, and which of them run its waiting work.
//!
//! Backend servers take a few hundred connections, so not every daemon may hold one to every server. All
//! daemons compute the same assignment from the same membership, without a word between them.

use base::hash;

/// Whether `daemon` uses `backend`, when each backend server is used by at most `most` of `daemons`.
///
/// Ranks the daemons by a hash with the backend server; the first `most` use it.
pub fn uses(daemon: u64, daemons: &[u64], backend: u64, limit: usize) -> bool {
    if daemons.len() <= limit {
        return true;
    }
    let own = hash::pair(backend, daemon);
    let ranked_higher = daemons.iter().filter(|other| hash::pair(backend, **other) > own).count();
    ranked_higher < limit
}

/// The part of what `backend` bears while it starts that `daemon` may send it, when `starters` daemons send it work; and
/// whether it is one of them. The others may send theirs only to try a server that went away.
///
/// Load pattern: servers and daemons start at the same time. A daemon that is not `settled` does not know the others
/// yet and would take itself for the only one, as each of them would.
pub fn start_share(daemon: u64, daemons: &[u64], backend: u64, starters: usize, settled: bool) -> (f64, bool) {
    if !settled {
        return (0.0, false);
    }
    let starter = uses(daemon, daemons, backend, starters);
    let sharing = if starter { starters } else { daemons.len() };
    (1.0 / sharing as f64, starter)
}

/// For each of `backends`, whether `daemon` may run work on it that can wait.
///
/// Each backend server has one such daemon, dealt out in turn, so that its slots are never filled by waiting
/// work from several daemons at once.
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
