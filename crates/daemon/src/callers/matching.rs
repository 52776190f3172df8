//! Matches a request with a policy: its class and its client account.

use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use config::policy::Allowed;

use super::connection::Incoming;
use super::forward::Sender;
use super::headers;
use super::identity::Identity;
use super::{refusal, relay};
use crate::Context;
use crate::confirmation;
use crate::driver::{Outcome, Refusal};
use crate::policies::ActivePolicy;

/// What a request matched in a policy: its class, its client account, and what passing it on depends on.
#[derive(Debug, Clone)]
pub(super) struct Match {
    pub(super) class: String,
    /// Position of the class in the policy.
    pub(super) position: usize,
    pub(super) idempotent: bool,
    /// Regions that may run the request.
    pub(super) allowed: Allowed,
    /// When the request is given up, whatever its caller's deadline.
    pub(super) limit: Time,
    pub(super) identity: Identity,
}

impl Match {
    pub(super) fn handled(&self, outcome: Outcome) -> Handled {
        Handled { class: Some(self.class.clone()), account: self.identity.name().map(str::to_owned), outcome }
    }
}

/// What became of a request.
pub(super) struct Handled {
    /// Name of its class; `None` if it has none.
    pub(super) class: Option<String>,
    /// Name of its client account; `None` if it has none.
    pub(super) account: Option<String>,
    pub(super) outcome: Outcome,
}

impl Handled {
    const fn refused(class: Option<String>, refusal: Refusal) -> Self {
        Self { class, account: None, outcome: Err(refusal) }
    }
}

/// Finds the class and the client account of a request; returns the refusal if there are none that may run it.
pub(super) fn find(
    context: &Context,
    active: &ActivePolicy,
    incoming: &Incoming,
    sender: Sender,
) -> Result<Match, Handled> {
    if active.policy.regions.is_empty() {
        return Err(Handled::refused(None, Kind::NoPolicy.into()));
    }
    let head = &incoming.head;
    let found = active.policy.class_of(headers::host(&head.headers), head.path());
    let found = found.and_then(|(name, class)| Some((name, class, active.class_position(name)?)));
    let Some((name, class, position)) = found else {
        return Err(Handled::refused(None, refusal::of_unknown(context, Kind::UnknownRoute).into()));
    };
    let identity = match Identity::of(context, active, class, &head.headers, sender) {
        Ok(identity) => identity,
        Err(kind) => return Err(Handled::refused(Some(name.to_owned()), kind.into())),
    };
    let allowed = Allowed::of(class, identity.account(active));
    let limit = incoming.arrived_at + Duration::from_millis(class.deadline_ms);
    let found = Match { class: name.to_owned(), position, idempotent: class.idempotent, allowed, limit, identity };
    if found.allowed.is_empty() {
        return Err(found.handled(Err(Kind::NoBackend.into())));
    }
    if !confirmation::may_rely_on(context, &found.allowed) {
        return Err(found.handled(Err(Kind::PolicyStale.into())));
    }
    if sender == Sender::Peer && !found.allowed.is_within(&relay::regions::named(&head.headers)) {
        // One of the two policies is out of date, and it may be this daemon's.
        return Err(found.handled(Err(Kind::PolicyStale.into())));
    }
    Ok(found)
}
