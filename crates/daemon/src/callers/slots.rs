//! The connections that an address may have open at once, and which of them give way to new ones.
//!
//! Load pattern: callers open all connections of an address and send nothing, part of a request, or one request and no more. Once
//! all are open, a new connection takes the place of one that waits for its caller and has made no progress for longest. A
//! connection with a complete request in progress never gives way.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::time::Time;
use tokio::sync::Notify;

/// Time without progress after which a connection may have to give way.
const STALL_TIME: Duration = Duration::from_millis(200);
/// Bytes that count as progress: fewer do not keep a connection from giving way.
const PROGRESS_BYTES: u64 = 1_024;
/// Connections of one address beyond which they give way before those of other addresses: one in this number of all.
const MAX_ADDRESS_PART: usize = 8;

/// What a connection does, in the order in which connections give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// Its last answer is sent, and it waits for its caller to close.
    Ending,
    /// It waits for its first request, or for the rest of one that has begun.
    Receiving,
    /// It is kept after an answer, and nothing of a further request has arrived.
    Idle,
    /// A complete request runs or waits, or its answer is being sent. Such a connection never gives way.
    Busy,
}

/// The connections of one address.
#[derive(Debug)]
pub struct Slots {
    capacity: usize,
    state: Mutex<State>,
    /// Notified when a connection ends or no longer gives way.
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    holders: BTreeMap<u64, Holder>,
    /// Number of open connections of each caller's address.
    addresses: BTreeMap<IpAddr, usize>,
    /// The connection that gives way and has not ended yet.
    giving_way: Option<u64>,
    next: u64,
}

#[derive(Debug)]
struct Holder {
    address: IpAddr,
    activity: Activity,
    /// Bytes received and sent up to the last progress.
    moved: u64,
    progress_at: Time,
    notify: Arc<Notify>,
}

/// The place of one open connection; released when it is dropped.
#[derive(Debug)]
pub struct Slot {
    slots: Arc<Slots>,
    id: u64,
    address: IpAddr,
    notify: Arc<Notify>,
}

impl Slots {
    /// Creates the slots of an address that may have `capacity` connections open.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, state: Mutex::default(), changed: Notify::new() }
    }

    /// Returns a slot for a new connection from `address`. Without a free one, makes a connection give way if one may, and
    /// returns `None`.
    pub fn take(self: &Arc<Self>, address: IpAddr, now: Time) -> Option<Slot> {
        let mut state = self.state();
        if state.holders.len() >= self.capacity {
            state.make_room(self.capacity, now);
            return None;
        }
        let notify = Arc::new(Notify::new());
        let id = state.add(address, Arc::clone(&notify), now);
        drop(state);
        Some(Slot { slots: Arc::clone(self), id, address, notify })
    }

    /// Waits until a connection has ended or no longer gives way since the last call.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    /// Returns the address of the caller.
    pub const fn address(&self) -> IpAddr {
        self.address
    }

    /// Sets what the connection does; `moved` is the number of bytes received and sent on it so far.
    pub fn set(&self, activity: Activity, moved: u64, now: Time) {
        let mut state = self.slots.state();
        let Some(holder) = state.holders.get_mut(&self.id) else { return };
        if activity != holder.activity || moved >= holder.moved + PROGRESS_BYTES {
            holder.moved = moved;
            holder.progress_at = now;
        }
        holder.activity = activity;
        if activity == Activity::Busy && state.giving_way == Some(self.id) {
            state.giving_way = None;
            self.slots.changed.notify_one();
        }
    }

    /// Waits until the connection must give way: it has to end at once.
    pub async fn gives_way(&self) {
        while !self.must_give_way() {
            self.notify.notified().await;
        }
    }

    /// Whether the connection must give way.
    pub fn must_give_way(&self) -> bool {
        self.slots.state().giving_way == Some(self.id)
    }
}

impl State {
    fn add(&mut self, address: IpAddr, notify: Arc<Notify>, now: Time) -> u64 {
        self.next += 1;
        let holder = Holder { address, activity: Activity::Receiving, moved: 0, progress_at: now, notify };
        self.holders.insert(self.next, holder);
        *self.addresses.entry(address).or_default() += 1;
        self.next
    }

    /// Makes the first connection give way that may, unless one does so already.
    fn make_room(&mut self, capacity: usize, now: Time) {
        if self.giving_way.is_some() {
            return;
        }
        let large = self.large_addresses(capacity);
        let order =
            |id: u64, holder: &Holder| (holder.activity, !large.contains(&holder.address), holder.progress_at, id);
        let stalled = self.holders.iter().filter(|(_, holder)| holder.is_stalled(now));
        let Some((id, holder)) = stalled.min_by_key(|(id, holder)| order(**id, holder)) else { return };
        holder.notify.notify_one();
        self.giving_way = Some(*id);
    }

    /// Returns the addresses that have more than their part of all connections.
    fn large_addresses(&self, capacity: usize) -> Vec<IpAddr> {
        let is_large = |count: usize| count > capacity / MAX_ADDRESS_PART;
        self.addresses.iter().filter(|(_, count)| is_large(**count)).map(|(address, _)| *address).collect()
    }

    fn remove(&mut self, id: u64) {
        if self.giving_way == Some(id) {
            self.giving_way = None;
        }
        let Some(holder) = self.holders.remove(&id) else { return };
        if let Some(count) = self.addresses.get_mut(&holder.address) {
            *count -= 1;
            if *count == 0 {
                self.addresses.remove(&holder.address);
            }
        }
    }
}

impl Holder {
    fn is_stalled(&self, now: Time) -> bool {
        self.activity != Activity::Busy && now.since(self.progress_at) >= STALL_TIME
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.state().remove(self.id);
        self.slots.changed.notify_one();
    }
}
