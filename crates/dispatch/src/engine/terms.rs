//! What an attempt of a request may do now.
//!
//! A request may wait, be sent again or be handed over long after it arrived, while operators move its class or its client
//! account to other regions or services. So nothing that a policy says of a request is kept as it was on arrival: it is derived
//! here, on arrival and whenever a policy comes into force, and each choice of a server and each send asks [`Terms::allow`].

use std::collections::BTreeMap;

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

    /// Returns the terms of an open request after what is declared of its class or its account has changed. A class that is gone
    /// changes nothing: the policy on arrival allowed the request, and no later one says otherwise.
    #[must_use]
    fn revised(self, class: &mut Class, account: Account) -> Self {
        let revised = Self { account_regions: account.regions, ..self };
        if class.spec.retired {
            return revised;
        }
        let service = if class.spec.has_service(self.service) { self.service } else { class.next_service() };
        let spec = &class.spec;
        Self {
            service,
            class_regions: spec.regions,
            idempotent: self.idempotent && spec.idempotent,
            max_attempts: self.max_attempts.min(spec.max_attempts),
            precedence: precedence(spec, account),
            ..revised
        }
    }

    /// Whether a server of this specification may run the request.
    pub(super) fn allow(&self, server: &Spec) -> bool {
        server.service == self.service && self.allow_region(server.region)
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
    /// Applies a policy that comes into force: the classes, and the client accounts by their numbers. Open requests go by it from
    /// now on. One that belongs to an account that is gone keeps what was last declared of it.
    pub fn apply_policy(&mut self, specs: Vec<class::Spec>, accounts: &BTreeMap<u64, Account>) {
        self.set_classes(specs);
        for request in self.requests.values_mut() {
            request.account = accounts.get(&request.account.id).copied().unwrap_or(request.account);
            let terms = request.terms.revised(&mut self.classes[request.class], request.account);
            request.revised |= terms != request.terms;
            request.terms = terms;
        }
        self.sort_held();
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
