//! What each address for requests is for, and so how they are handled.
//!
//! Only the address decides: paths, methods and headers of callers' requests belong to the operators and their callers, so
//! nothing in a request makes it a look-up, or one that another instance has passed on.

use std::sync::Arc;
use std::time::Duration;

use base::error::{Kind, Outcome as Ran};
use config::configs::Settings;

use super::connection::Incoming;
use super::forward::Sender;
use super::limits::Limits;
use super::relay::disposition::Disposition;
use super::reply::{Reply, Source};
use super::stop::Demand;
use super::{forward, headers, lookup, refusal};
use crate::Context;
use crate::response;

/// Maximum size of a look-up's body, in bytes: a look-up needs none, so callers are not to use memory with it.
const MAX_LOOK_UP_BODY_BYTES: u64 = 1_024;

/// What an address is for. It is given where the address is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Callers' requests for classes of work.
    Requests,
    /// Callers' look-ups.
    LookUps,
    /// Requests that other entry instances pass on. Callers must not reach such an address.
    Relayed,
}

impl Purpose {
    /// Returns the name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::LookUps => "look-ups",
            Self::Relayed => "relayed",
        }
    }

    /// Returns the maximum number of open connections at such an address. Each has a limit of its own: look-ups are answered
    /// while callers use up the connections for requests, and the other way round.
    pub fn max_connections(self, settings: &Settings) -> usize {
        match self {
            Self::Requests => settings.caller_connections() as usize,
            Self::LookUps => settings.callers.max_lookup_connections as usize,
            // Another instance uses a connection for one request at a time.
            Self::Relayed => settings.dispatch.max_in_flight as usize,
        }
    }

    /// Returns the limits of requests at such an address, where those of callers are `limits`.
    #[must_use]
    pub fn limits(self, limits: Limits) -> Limits {
        match self {
            Self::Requests | Self::Relayed => limits,
            Self::LookUps => Limits { max_body_bytes: limits.max_body_bytes.min(MAX_LOOK_UP_BODY_BYTES), ..limits },
        }
    }

    /// Returns what a stop decides by. A look-up is answered at once.
    pub fn demand(self, context: &Context, incoming: &Incoming) -> Demand {
        match self {
            Self::Requests | Self::Relayed => forward::demand(context, incoming),
            Self::LookUps => Demand { idempotent: true, limit: Duration::ZERO },
        }
    }

    /// Handles a request that arrived at such an address.
    pub async fn answer(self, context: &Arc<Context>, incoming: &Incoming) -> Reply {
        let sender = match self {
            Self::Requests => Sender::Caller,
            Self::Relayed => Sender::Peer,
            Self::LookUps => return lookup::handle(context, incoming),
        };
        let id = headers::request_id(context, &incoming.head.headers);
        let reply = forward::handle(context, incoming, sender, &id).await;
        only_servers_succeed(context, reply, &id)
    }

    /// Refuses a request that is not started; its caller can send it elsewhere at once.
    pub fn refuse(self, context: &Context, incoming: &Incoming, kind: Kind) -> Reply {
        match self {
            Self::Requests | Self::Relayed => forward::refuse(context, incoming, kind),
            Self::LookUps => lookup::refuse(context, incoming, kind),
        }
    }

    /// Returns why input of this `kind` is refused. Only who knows what operators allow can tell that a request is too large.
    pub fn reason(self, context: &Context, kind: Kind) -> Kind {
        match (self, kind) {
            (Self::Requests | Self::Relayed, Kind::BodyTooLarge | Kind::HeadTooLarge) => {
                refusal::of_too_large(context, kind)
            }
            _ => kind,
        }
    }

    /// Completes a reply that is sent at such an address: another instance is told what became of its request.
    pub fn complete(self, reply: Reply) -> Reply {
        match self {
            Self::Requests | Self::LookUps => reply,
            Self::Relayed => with_disposition(reply),
        }
    }
}

/// Returns `reply` with what it says of a request that another instance has passed on.
fn with_disposition(mut reply: Reply) -> Reply {
    let disposition = match reply.source {
        Source::Server => Disposition::Complete,
        Source::Error(kind) if kind.answer().outcome == Ran::NotRun => Disposition::NotRun,
        Source::Error(_) | Source::LookUp => Disposition::Unknown,
    };
    disposition.append(&mut reply.headers);
    reply
}

/// Returns the reply to the request `id`, or an error in its place if it is a success that no backend server proves: a caller
/// would take its request for done.
fn only_servers_succeed(context: &Context, reply: Reply, id: &str) -> Reply {
    let proven = reply.source == Source::Server && response::is_proven(&context.dialect, reply.status, &reply.headers);
    if proven || !reply.status.is_success() {
        return reply;
    }
    log::error!(request = id, source = reply.source.as_str(); "callers: success withheld, no server proves it");
    Reply::error(Kind::AnswerCut, &context.dialect)
}
