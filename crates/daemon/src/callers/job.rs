//! What is done for one request of a connection, and its reply.

use std::sync::Arc;

use base::error::Kind;
use h1::head;
use http::{Method, StatusCode};

use super::connection::Incoming;
use super::headers;
use super::purpose::Purpose;
use super::reply::Reply;
use crate::rejection::Rejection;
use crate::{Context, response};

/// A reply that is ready to be written.
pub(super) struct ReadyReply {
    /// The request's method: a reply to `HEAD` has no body.
    pub(super) method: Method,
    pub(super) reply: Reply,
    /// Whether the connection ends after this reply.
    pub(super) last: bool,
}

/// What to do for one request that was read.
pub(super) enum Job {
    Run(Box<Incoming>),
    /// A request that is complete, and is refused because the daemon stops.
    Decline(Box<Incoming>),
    /// Input that is no acceptable request.
    Refuse(Kind),
}

impl Job {
    /// Returns the head of the request; `None` if the input is no acceptable request.
    const fn head(&self) -> Option<&head::Request> {
        match self {
            Self::Run(incoming) | Self::Decline(incoming) => Some(&incoming.head),
            Self::Refuse(_) => None,
        }
    }
}

/// Does what a job says and counts the reply.
pub(super) async fn handle(context: Arc<Context>, purpose: Purpose, job: Job) -> ReadyReply {
    let mut ready = run(&context, purpose, &job).await;
    ready.reply = purpose.complete(ready.reply);
    let labels = [purpose.as_str(), ready.reply.source.as_str(), status_class(ready.reply.status)];
    context.metrics.replies.with_label_values(&labels).inc();
    if ready.reply.status.is_redirection() || ready.reply.status.is_client_error() {
        record_rejection(&context, purpose, &job, &ready.reply);
    }
    ready
}

/// Counts and logs a reply that tells the caller that its request is wrong, by who says so and for which request.
fn record_rejection(context: &Context, purpose: Purpose, job: &Job, reply: &Reply) {
    let head = job.head();
    let request = head.map_or_else(|| "-".to_owned(), |head| headers::request_id(context, &head.headers));
    let rejection = Rejection {
        address: purpose.as_str(),
        source: reply.source.as_str(),
        kind: reply.source.error_kind(),
        status: reply.status.as_str(),
        signed: response::is_signed(&context.dialect, &reply.headers),
        request: &request,
        host: head.map_or("-", |head| headers::host(&head.headers)),
        path: head.map_or("-", head::Request::path),
    };
    rejection.record(context);
}

/// Returns the class of a status, as a metric's label.
fn status_class(status: StatusCode) -> &'static str {
    match status.as_u16() / 100 {
        2 => "2xx",
        3 => "3xx",
        4 => "4xx",
        5 => "5xx",
        _ => "other",
    }
}

async fn run(context: &Arc<Context>, purpose: Purpose, job: &Job) -> ReadyReply {
    match job {
        Job::Run(incoming) => {
            let (method, keep_alive) = (incoming.head.method.clone(), incoming.head.keep_alive);
            let reply = purpose.answer(context, incoming).await;
            ReadyReply { method, last: !keep_alive || reply.close, reply }
        }
        Job::Decline(incoming) => {
            let reply = purpose.refuse(context, incoming, Kind::Leaving);
            ReadyReply { method: incoming.head.method.clone(), last: true, reply }
        }
        Job::Refuse(kind) => {
            log::info!(request = "-", result = kind.as_str(), address = purpose.as_str(); "callers: input refused");
            ReadyReply { method: Method::GET, reply: Reply::error(*kind, &context.dialect), last: true }
        }
    }
}
