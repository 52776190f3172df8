//! This daemon's part of the rate that a backend server takes from all daemons together.
//!
//! Load pattern: a server in need takes one or two requests a second, from a fleet of any size, and no daemon knows what
//! the others send there. One request from each of them would already be too many. So only the first few daemons of an
//! order that all of them compute from the membership send anything, each an equal part. Where views of the membership
//! differ, the sum still has to hold:
//!
//! - A daemon scales its part down by the members that it does not hear, so the parts of a split fleet add up to one.
//! - The parts leave room for the further senders that there are while some daemons do not know of two members yet.
//! - A daemon that starts to send begins without a saved-up request.

use std::time::Duration;

use base::rate::{Bucket, Limit};
use base::time::Time;

use super::spec::Position;

/// Number of daemons that send to a server with a limit below one request per second; two, so that the server is still
/// in use when one of them fails. Each further request per second adds one.
const MIN_SENDERS: u32 = 2;
/// Fraction of the limit that the senders use together. The rest is for additional senders while a change of the
/// membership spreads.
const UTILIZATION: f64 = 0.75;
/// Lowest limit that is heeded, in requests per second. A server that states less is still sent a request now and then,
/// since only its answers tell when the limit ends.
const MIN_LIMIT: f64 = 0.1;
/// Requests that one daemon may send at once.
const BURST: f64 = 1.0;
/// Time after the end of a limit over which daemons return, one after the other.
const RETURN_SPREAD: Duration = Duration::from_secs(4);

/// Returns the requests per second that the daemon at `position` may send to a server that takes `limit` requests per
/// second from all daemons together.
pub fn share(limit: f64, position: Position) -> f64 {
    let limit = limit.max(MIN_LIMIT);
    let senders = MIN_SENDERS.saturating_add(limit as u32).min(position.daemons.max(1));
    if position.rank >= senders { 0.0 } else { limit * UTILIZATION * position.coverage / f64::from(senders) }
}

/// Limits what this daemon sends to one server.
#[derive(Debug, Clone)]
pub(super) struct Limiter {
    /// Stated requests per second; `None` if the server has no limit.
    limit: Option<f64>,
    /// When the limit ends or ended; zero if there never was one.
    ends_at: Time,
    position: Position,
    bucket: Bucket,
}

impl Limiter {
    /// Creates a limiter of a server without a limit.
    pub(super) const fn new(position: Position, now: Time) -> Self {
        Self { limit: None, ends_at: Time::ZERO, position, bucket: Bucket::new(0.0, 0.0, now) }
    }

    /// Applies what the server last stated.
    pub(super) fn set_limit(&mut self, stated: Limit, now: Time) {
        self.limit = stated.per_second;
        self.ends_at = stated.ends_at();
        self.update_bucket(now);
    }

    /// Applies a change of this daemon's position.
    pub(super) fn set_position(&mut self, position: Position, now: Time) {
        self.position = position;
        self.update_bucket(now);
    }

    fn update_bucket(&mut self, now: Time) {
        let per_second = self.per_second();
        self.bucket.set_rate(per_second, if per_second > 0.0 { BURST } else { 0.0 }, now);
    }

    /// Returns the requests per second that this daemon may send while the limit applies.
    pub(super) fn per_second(&self) -> f64 {
        self.limit.map_or(0.0, |limit| share(limit, self.position))
    }

    /// Returns whether a limit applies at `now`.
    pub(super) fn applies(&self, now: Time) -> bool {
        self.limit.is_some() && now < self.ends_at
    }

    /// Returns whether a request may be sent now.
    pub(super) fn admits(&self, now: Time) -> bool {
        if self.applies(now) { self.bucket.clone().level(now) >= 1.0 } else { now >= self.returns_at() }
    }

    /// Counts a request that is sent.
    pub(super) fn charge(&mut self, now: Time) {
        if self.applies(now) {
            self.bucket.charge(1.0, now);
        }
    }

    /// Returns the number of requests that may be sent until `until`.
    pub(super) fn room(&self, until: Time, now: Time) -> f64 {
        self.bucket.clone().level(now) + self.per_second() * until.since(now).as_secs_f64()
    }

    /// Returns when this daemon may send a request next; `Time::MAX` if it sends none while the limit applies.
    pub(super) fn room_at(&self, now: Time) -> Time {
        if !self.applies(now) {
            return self.returns_at();
        }
        let per_second = self.per_second();
        if per_second <= 0.0 {
            return Time::MAX;
        }
        let missing = 1.0 - self.bucket.clone().level(now);
        now + Duration::from_secs_f64(missing.max(0.0) / per_second)
    }

    /// Returns when this daemon, or if it sends none, one of the others may send a request next: a caller that comes back
    /// may reach any of them.
    pub(super) fn fleet_room_at(&self, now: Time) -> Time {
        let limit = self.limit.unwrap_or_default().max(MIN_LIMIT);
        self.room_at(now).min(now + Duration::from_secs_f64(limit.recip()))
    }

    /// Returns when this daemon may use the server again after the end of its limit.
    fn returns_at(&self) -> Time {
        let turn = f64::from(self.position.rank) / f64::from(self.position.daemons.max(1));
        if self.ends_at == Time::ZERO { Time::ZERO } else { self.ends_at + RETURN_SPREAD.mul_f64(turn) }
    }
}
