//! This daemon's share of other regions and of the links to them.

use std::time::Duration;

use base::time::Time;

use super::state::Reservation;
use super::{Engine, Request};
use crate::backend::Place;

/// Burst that may pass over a link, as time at the link's rate.
pub(super) const LINK_BURST: Duration = Duration::from_millis(100);

impl Engine {
    /// Returns whether this daemon has any share of a server's region.
    pub(super) fn remote_granted(&self, place: Place) -> bool {
        let Place::Remote(region) = place else { return true };
        self.links.get(&region).is_some_and(|link| link.max_in_flight > 0)
    }

    /// Returns whether the link and the other region have capacity left in our share. Until a class has had an answer,
    /// its answers may be of any size, so they cross a capped link one at a time.
    pub(super) fn link_has_capacity(&self, place: Place, state: &Request, now: Time) -> bool {
        let Place::Remote(region) = place else { return true };
        let Some(link) = self.links.get(&region) else {
            return false;
        };
        let class = &self.classes[state.class];
        if !class.answer_size_known() && !link.uncapped && link.unsized_in_flight > 0 {
            return false;
        }
        let bytes = class.answer_size().max(state.bytes as f64);
        link.in_flight < link.max_in_flight && link.bucket.clone().level(now) >= bytes
    }

    /// Reserves a link's bytes for an attempt: the larger of its request and its expected answer.
    pub(super) fn reserve_link(&mut self, place: Place, class: usize, bytes: f64, now: Time) -> Option<Reservation> {
        let Place::Remote(region) = place else { return None };
        let link = self.links.get_mut(&region)?;
        let class = &self.classes[class];
        let reservation =
            Reservation { region, bytes: bytes.max(class.answer_size()), answer_size_known: class.answer_size_known() };
        link.in_flight += 1;
        link.unsized_in_flight += u32::from(!reservation.answer_size_known);
        link.bucket.charge(reservation.bytes, now);
        Some(reservation)
    }
}
