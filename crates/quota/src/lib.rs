//! Quotas of client accounts, kept in the sum over all daemons without a coordinator and without a call of the store for a
//! request.
//!
//! Each daemon has an equal share of every quota. It lends its share, for a short time, to one daemon for each account: the
//! account's allocator, which all daemons choose by the same ranking of the members. An allocator hands out tokens at the
//! rate of the shares that it holds, and each request spends one. So a quota can be used where its demand is, and the sum
//! holds however the daemons' views differ, since a share is never with two daemons at once ([`lending`]). `docs/design/quotas.md`
//! has the ways weighed.
//!
//! This crate does no I/O: the daemon sends and receives the messages.

use std::time::Duration;

pub mod allocator;
pub mod lending;
pub mod membership;
pub mod message;
pub mod stock;

pub use allocator::Allocator;
pub use lending::Lender;
pub use stock::Stock;

/// What an account may send: `rate` requests per second and `burst` more at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may follow each other at once.
    pub burst: f64,
}

/// Rate below which tokens are handed out for single requests only, in requests per second.
const SMALL_RATE: f64 = 50.0;

impl Limit {
    /// Returns the time after the request for tokens until which they can be spent. An allocator hands out tokens after they
    /// were asked for, so none is spent later than this after it was handed out.
    pub fn token_lifetime(&self) -> Duration {
        if self.rate < SMALL_RATE { Duration::from_millis(250) } else { Duration::from_millis(500) }
    }

    /// Returns the tokens that may be saved up over all daemons: the burst, less what may be spent after it was handed out.
    fn saved_up(&self) -> f64 {
        (self.burst - self.rate * self.token_lifetime().as_secs_f64()).max(1.0)
    }
}
