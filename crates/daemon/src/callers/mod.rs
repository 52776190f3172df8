//! The callers' port: look-ups and requests for classes of work.

pub mod arrival;
pub mod connection;
pub mod forward;
mod headers;
pub mod lookup;
mod parser;
pub mod purpose;
pub mod relay;
pub mod reply;
pub mod server;
pub mod stop;

use std::sync::Arc;

use self::connection::Incoming;
use self::reply::Reply;
use crate::Context;

/// Answers a request on the callers' port.
pub async fn route(context: &Arc<Context>, incoming: Incoming) -> Reply {
    if incoming.head.path() == lookup::PATH {
        return lookup::handle(context, &incoming);
    }
    forward::handle(context, incoming).await
}
