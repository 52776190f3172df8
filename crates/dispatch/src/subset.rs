//! Which backend servers a daemon uses, and which of them run its waiting work.
//!
//! Backend servers take a few hundred connections, so not every daemon may hold one to every server. All
//! daemons compute the same assignment from the same membership, without a word between them.

use base::hash;

/// Whether `daemon` uses `backend`, when each backend server is used by at most `most` of `daemons`.
///
/// Ranks the daemons by a hash with the backend server; the first `most` use it.
pub fn uses(daemon: u64, daemons: &[u64], backend: u64, most: usize) -> bool {
    if daemons.len() <= most {
        return true;
    }
    let own = hash::pair(backend, daemon);
    let better = daemons.iter().filter(|other| hash::pair(backend, **other) > own).count();
    better < most
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
    for (turn, index) in order.into_iter().enumerate() {
        hosted[index] = turn % sorted.len() == own;
    }
    hosted
}
