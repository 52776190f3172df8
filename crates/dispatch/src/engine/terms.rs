//! What an attempt of a request may do now.
//!
//! A request may wait, be sent again or be handed over long after it arrived, while operators move its class or its client
//! account to other regions or services, or let another class cover it. So what a policy says of a request is not kept as it was on
//! arrival: it is derived here, on arrival and whenever a policy comes into force, and each choice of a server and each send asks
//! [`Terms::allow`].

use std::collections::BTreeMap;

use base::error::Kind;
use base::time::Time;

use super::{Account, Engine};
use crate::backend::Spec;
use crate::class::{self, Class};
use crate::regions;

/// Priority of a request: that of its account, and that of its class; the lowest is served first.
pub(super) type Precedence = (u8, u8);

/// What the policy in force says of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Terms {
    /// The service that runs it.
    pub(super) service: u16,
    /// Regions that may run it by its class.
    class_regions: regions::Set,
    /// Regions that may run it by its account.
    account_regions: regions::Set,
    /// Whether it may run more than once, by every policy since it arrived: its caller goes by one of them.
    pub(super) idempotent: bool,
    /// The lowest maximum number of attempts of these policies.
    pub(super) max_attempts: usize,
    pub(super) precedence: Precedence,
}

impl Terms {
    /// Returns the terms of a new request of `class`.
    pub(super) fn new(class: &mut Class, account: Account) -> Self {
        let service = class.next_service();
        let spec = &class.spec;
        Self {
            service,
            class_regions: spec.regions,
            account_regions: account.regions,
            idempotent: spec.idempotent,
            max_attempts: spec.max_attempts,
            precedence: precedence(spec, account),
        }
    }

    /// Returns the terms of an open request by the class that now covers it.
    #[must_use]
    fn revised(self, class: &mut Class, account: Account) -> Self {
        let service = if class.spec.has_service(self.service) { self.service } else { class.next_service() };
        let spec = &class.spec;
        Self {
            service,
            class_regions: spec.regions,
            account_regions: account.regions,
            idempotent: self.idempotent && spec.idempotent,
            max_attempts: self.max_attempts.min(spec.max_attempts),
            precedence: precedence(spec, account),
        }
    }

    /// Whether another set of servers may run the request by these terms than by `other`.
    fn moved_from(&self, other: &Self) -> bool {
        let places = |terms: &Self| (terms.service, terms.class_regions, terms.account_regions);
        places(self) != places(other)
    }

    /// Whether a server of this specification may run the request.
    pub(super) fn allow(&self, server: &Spec) -> bool {
        server.service == self.service && self.allow_region(server.region)
    }

    /// Whether the request may not run in all regions, so that a policy that is out of date may lead it into a wrong one.
    pub(super) fn name_regions(&self) -> bool {
        self.class_regions != regions::Set::ALL || self.account_regions != regions::Set::ALL
    }

    /// Whether servers of a region may run the request.
    pub(super) fn allow_region(&self, region: u16) -> bool {
        self.class_regions.contains(region) && self.account_regions.contains(region)
    }
}

fn precedence(spec: &class::Spec, account: Account) -> Precedence {
    (account.rank.unwrap_or(spec.rank), spec.rank)
}

impl Engine {
    /// Applies a policy that comes into force: the classes, the client accounts by their numbers, and the class that now covers
    /// each open request. Open requests go by it from now on. What is gone changes nothing: one that no class covers keeps what was
    /// last declared of its class, whatever has that name now, and one of an account that is gone what was of the account.
    pub fn apply_policy(
        &mut self,
        specs: Vec<class::Spec>,
        accounts: &BTreeMap<u64, Account>,
        covering: &BTreeMap<u64, usize>,
    ) {
        self.set_classes(specs);
        let open: Vec<u64> = self.requests.keys().copied().collect();
        for request in open {
            let class = covering.get(&request).copied();
            class.into_iter().for_each(|class| self.change_class(request, class));
            let Some(state) = self.requests.get_mut(&request) else { continue };
            state.account = accounts.get(&state.account.id).copied().unwrap_or(state.account);
            let terms = match class {
                Some(class) => state.terms.revised(&mut self.classes[class], state.account),
                None => Terms { account_regions: state.account.regions, ..state.terms },
            };
            state.moved |= terms.moved_from(&state.terms);
            state.terms = terms;
        }
        self.sort_held();
    }

    /// Makes a request one of another class; if it waits in the queue of its class, it goes to the end of the other's.
    fn change_class(&mut self, request: u64, class: usize) {
        let Some(state) = self.requests.get_mut(&request).filter(|state| state.class != class) else { return };
        let earlier = std::mem::replace(&mut state.class, class);
        if state.queued {
            self.classes[earlier].queue.retain(|queued| *queued != request);
            self.classes[class].queue.push_back(request);
        }
    }

    /// Sets until when the policy in force may be relied on: it is known that it was not replaced so long before that a
    /// request must not go by it any more.
    pub const fn set_policy_expiry(&mut self, until: Time) {
        self.policy_expires_at = until;
    }

    /// Whether nothing may be sent by these terms at `now`, since other ones may have replaced them.
    pub(super) fn are_expired(&self, terms: &Terms, now: Time) -> bool {
        now > self.policy_expires_at && terms.name_regions()
    }

    /// Refuses a waiting request whose terms are expired; returns whether it did.
    pub(super) fn refuse_expired(&mut self, request: u64, now: Time) -> bool {
        let is_expired = self.requests.get(&request).is_some_and(|state| self.are_expired(&state.terms, now));
        if is_expired {
            self.refuse(request, Kind::PolicyStale, now);
        }
        is_expired
    }

    /// Puts each held request to those of its service.
    fn sort_held(&mut self) {
        let held: Vec<u64> = std::mem::take(&mut self.held).into_values().flatten().collect();
        for request in held {
            if let Some(state) = self.requests.get(&request) {
                self.held.entry(state.terms.service).or_default().push(request);
            }
        }
    }
}
