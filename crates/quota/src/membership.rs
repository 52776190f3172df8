//! Which daemons' shares count while some of them are out of touch.
//!
//! The share of a daemon that is gone for good goes to the others in the end. A daemon that is only cut off runs on, so it must have
//! stopped using its share by then. It cannot tell a cut from a store that is down for all; but a cut leaves a majority of the daemons
//! on one side at most. So the others take a share over only with a majority in touch, and a daemon that hears neither the store nor a
//! majority stops using its own before that.

use std::time::Duration;

/// Time for which the share of a daemon that is out of touch stays reserved.
const RESERVED: Duration = Duration::from_mins(10);
/// Time without the store and a majority after which a daemon stops using its share. The rest of [`RESERVED`] is for what the others
/// notice earlier than the daemon itself.
const UNCONFIRMED: Duration = Duration::from_mins(8);

/// What a daemon knows of the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// How long ago its list of daemons was last known to be that of the store; `None` if it never was.
    pub age: Option<Duration>,
    /// Number of daemons in the list.
    pub listed: usize,
    /// Number of those that are in touch with it, itself included.
    pub live: usize,
}

impl Contact {
    /// Whether the daemon may use its share.
    pub fn may_use_share(&self) -> bool {
        self.has_majority() || self.age.is_some_and(|age| age < UNCONFIRMED)
    }

    /// Whether the daemon may take another one off the list that has been out of touch with it for `gone`.
    pub fn may_remove(&self, gone: Duration) -> bool {
        self.has_majority() && gone >= RESERVED
    }

    const fn has_majority(&self) -> bool {
        self.live * 2 > self.listed
    }
}
