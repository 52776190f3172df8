//! Memory budget for what peers make a process hold on their connections: heads, bodies and answers that are not read yet.
//!
//! Load pattern: many callers send large bodies at the same time, stop just short of the end and stay. Each body is legal, but
//! all together do not fit into memory. Once the budget is used up, the connections whose unfinished requests have made no
//! progress for longest give way to those that still send. A connection whose requests are complete never gives way.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::time::Time;
use tokio::sync::Notify;

/// Bytes that count as progress: fewer do not keep a connection from giving way.
const PROGRESS_BYTES: usize = 1_024;
/// What connections that give way may still hold, as a part of the budget: one in this number.
const MAX_GIVEN_UP_PART: usize = 8;
/// What a connection may hold of requests, in bytes, to use the memory that is kept for such connections.
const MAX_SMALL_BYTES: usize = 32_768;
/// Time without progress after which a connection may have to give way.
const IDLE_TIME: Duration = Duration::from_millis(200);

/// A memory budget, shared by connections.
#[derive(Debug)]
pub struct Memory {
    /// Bytes for all connections together.
    bytes: usize,
    /// Bytes while one connection holds half of them or more, so that one very large body fits.
    bytes_with_one: usize,
    /// Bytes up to which connections with small requests and with answers are served: large bodies do not use them up.
    bytes_for_small: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes in use, without those of connections that give way.
    used: usize,
    /// Bytes of connections that give way and have not freed them yet.
    given_up: usize,
    holders: BTreeMap<u64, Holder>,
    next: u64,
    given_way: u64,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    /// Bytes received and sent up to the last progress.
    moved: u64,
    progress_at: Time,
    unfinished: bool,
    gives_way: bool,
    /// Whether its request has become complete since it was told to give way, so that it does not.
    completed: bool,
    notify: Arc<Notify>,
}

/// What one connection holds of the budget; released when it is dropped.
#[derive(Debug)]
pub struct Hold {
    memory: Arc<Memory>,
    id: u64,
    notify: Arc<Notify>,
}

/// Bytes of a complete body. They count until the place is dropped, also after the body's connection has ended.
#[derive(Debug)]
pub struct Place {
    memory: Arc<Memory>,
    bytes: usize,
}

/// What a connection holds now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Bytes of heads, bodies and answers that the connection keeps in memory.
    pub bytes: usize,
    /// Those of them that are answers.
    pub answers: usize,
    /// Bytes received and sent on the connection so far.
    pub moved: u64,
    /// Whether the connection waits for its peer, to send the rest of a request or to read an answer, and nothing else.
    pub unfinished: bool,
}

impl Memory {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self { bytes, bytes_with_one: bytes, bytes_for_small: bytes, state: Mutex::default() }
    }

    /// Sets the budget while one connection holds half of it or more, so that one very large body fits.
    #[must_use]
    pub fn with_one(mut self, bytes: usize) -> Self {
        self.bytes_with_one = bytes.max(self.bytes);
        self
    }

    /// Sets the budget for connections with small requests and with answers. What is beyond the other budgets is theirs alone.
    #[must_use]
    pub fn with_small(mut self, bytes: usize) -> Self {
        self.bytes_for_small = bytes.max(self.bytes);
        self
    }

    /// Returns the bytes of the budget.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.state().used
    }

    /// Returns the number of connections that had to give way so far.
    pub fn given_way(&self) -> u64 {
        self.state().given_way
    }

    /// Adds a connection, which holds nothing yet.
    pub fn open(self: &Arc<Self>, now: Time) -> Hold {
        let notify = Arc::new(Notify::new());
        let mut state = self.state();
        state.next += 1;
        let id = state.next;
        let holder = Holder {
            bytes: 0,
            moved: 0,
            progress_at: now,
            unfinished: false,
            gives_way: false,
            completed: false,
            notify: Arc::clone(&notify),
        };
        state.holders.insert(id, holder);
        drop(state);
        Hold { memory: Arc::clone(self), id, notify }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Hold {
    /// Sets what the connection holds; returns whether the budget has room for it. If it has not, the connection must get rid of
    /// what it holds, and what was set before still counts.
    pub fn set(&self, usage: Usage, now: Time) -> bool {
        let mut state = self.memory.state();
        let Some(holder) = state.holders.get_mut(&self.id) else { return false };
        if holder.gives_way {
            let before = holder.bytes;
            holder.unfinished = usage.unfinished;
            holder.completed |= !usage.unfinished;
            // A request that has become complete in the meantime counts again once there is room, and so does its answer.
            let max =
                if usage.is_small() { self.memory.bytes.max(self.memory.bytes_for_small) } else { self.memory.bytes };
            let counts_again = holder.completed && state.used + usage.bytes <= max;
            let Some(holder) = state.holders.get_mut(&self.id) else { return false };
            holder.gives_way = !counts_again;
            holder.completed &= !counts_again;
            holder.bytes = if counts_again { usage.bytes } else { usage.bytes.min(before) };
            let bytes = holder.bytes;
            state.given_up -= before;
            *(if counts_again { &mut state.used } else { &mut state.given_up }) += bytes;
            return bytes == usage.bytes;
        }
        if usage.moved >= holder.moved + PROGRESS_BYTES as u64 || usage.unfinished != holder.unfinished {
            holder.moved = usage.moved;
            holder.progress_at = now;
        }
        holder.unfinished = usage.unfinished;
        let before = holder.bytes;
        let after = state.used - before + usage.bytes;
        let is_large = usage.bytes * 2 >= after;
        let allowed = if is_large { self.memory.bytes_with_one } else { self.memory.bytes };
        let max = if usage.is_small() { allowed.max(self.memory.bytes_for_small) } else { allowed };
        if usage.bytes > before && after > allowed && !state.free(after - allowed, self.id, now) && after > max {
            return false;
        }
        // What others give up is in memory until they have run.
        let in_memory = state.used - before + usage.bytes + state.given_up;
        if usage.bytes > before && in_memory > max.max(allowed + allowed / MAX_GIVEN_UP_PART) {
            return false;
        }
        state.used = state.used - before + usage.bytes;
        if let Some(holder) = state.holders.get_mut(&self.id) {
            holder.bytes = usage.bytes;
        }
        true
    }

    /// Moves `bytes` of what the connection holds to a place of their own: a request is complete, and its body is handed on. From
    /// now on the connection no longer states them.
    pub fn hand_on(&self, bytes: usize) -> Place {
        let mut state = self.memory.state();
        if let Some(holder) = state.holders.get_mut(&self.id) {
            let (moved, gives_way) = (holder.bytes.min(bytes), holder.gives_way);
            holder.bytes -= moved;
            *(if gives_way { &mut state.given_up } else { &mut state.used }) -= moved;
        }
        state.used += bytes;
        drop(state);
        Place { memory: Arc::clone(&self.memory), bytes }
    }

    /// Waits until the connection has to give way. By then it may not have to any more ([`Hold::must_give_way`]).
    pub async fn gives_way(&self) {
        self.notify.notified().await;
    }

    /// Whether the connection has to give way: its request was not complete when [`Hold::set`] was last called.
    pub fn must_give_way(&self) -> bool {
        self.memory.state().holders.get(&self.id).is_some_and(Holder::must_give_way)
    }
}

impl Holder {
    const fn must_give_way(&self) -> bool {
        self.gives_way && self.unfinished && !self.completed
    }
}

impl Usage {
    /// Whether the connection holds little, answers apart.
    const fn is_small(&self) -> bool {
        self.bytes - self.answers <= MAX_SMALL_BYTES
    }
}

impl State {
    /// Makes connections give way until `needed` bytes are free; returns whether they are. Without enough of them, none does.
    fn free(&mut self, needed: usize, except: u64, now: Time) -> bool {
        let is_idle =
            |holder: &Holder| holder.unfinished && !holder.gives_way && now.since(holder.progress_at) >= IDLE_TIME;
        let mut idle: Vec<(Time, u64, usize)> = self
            .holders
            .iter()
            .filter(|(id, holder)| **id != except && holder.bytes > 0 && is_idle(holder))
            .map(|(id, holder)| (holder.progress_at, *id, holder.bytes))
            .collect();
        if idle.iter().map(|(_, _, bytes)| bytes).sum::<usize>() < needed {
            return false;
        }
        idle.sort_unstable();
        let mut freed = 0;
        for (_, id, bytes) in idle {
            if freed >= needed {
                break;
            }
            let Some(holder) = self.holders.get_mut(&id) else { continue };
            holder.gives_way = true;
            holder.notify.notify_one();
            freed += bytes;
            self.given_way += 1;
        }
        self.used -= freed;
        self.given_up += freed;
        true
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        match state.holders.remove(&self.id) {
            Some(holder) if holder.gives_way => state.given_up -= holder.bytes,
            Some(holder) => state.used -= holder.bytes,
            None => {}
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.memory.state().used -= self.bytes;
    }
}
