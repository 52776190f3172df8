//! One attempt at a backend server, from the claim to the ending.

use std::sync::Arc;
use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use dispatch::Ending;
use dispatch::backend::BackendId;

use super::http;
use crate::Context;
use crate::driver::Outgoing;
use crate::orders;
use crate::whole::Whole;

/// Time for a cancellation to be taken.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// An attempt as the engine decided it.
#[derive(Debug, Clone, Copy)]
pub struct Sending {
    /// Its number.
    pub attempt: u64,
    /// The server.
    pub backend: BackendId,
    /// When its answer is of no use.
    pub deadline: Time,
    /// Whether the request was sent before.
    pub again: bool,
}

/// Starts an attempt; its ending goes back to the driver.
pub fn start(context: &Arc<Context>, outgoing: Option<Arc<Outgoing>>, sending: Sending) {
    let context = Arc::clone(context);
    let runtime = context.runtime.clone();
    runtime.spawn_blocking(move || {
        let (ending, whole) = match outgoing {
            None => (Ending::Withheld(Kind::Expired), None),
            Some(outgoing) => run(&context, &outgoing, sending),
        };
        context.driver.finish(&context, sending.attempt, ending, whole);
    });
}

/// Tells a backend server that an attempt's answer is not needed any more.
pub fn cancel(context: &Arc<Context>, attempt: u64, backend: BackendId) {
    let Some(address) = context.steering().backend_address(backend) else {
        return;
    };
    let url = format!("http://{address}/cancel?id={}", attempt_id(context, attempt));
    context.runtime.spawn_blocking(move || {
        let agent = http::agent(CANCEL_TIMEOUT, 0);
        let sent = agent.post(&url).config().timeout_global(Some(CANCEL_TIMEOUT)).build().send_empty();
        if let Err(error) = sent {
            log::debug!("dispatch: cancel skipped url={url} reason={:?}", error.to_string());
        }
    });
}

fn run(context: &Arc<Context>, outgoing: &Outgoing, sending: Sending) -> (Ending, Option<Arc<Whole>>) {
    let Sending { attempt, backend, deadline, again } = sending;
    if let Some(order) = &outgoing.order
        && let Err(kind) = orders::claim(context, order, deadline)
    {
        return (Ending::Withheld(kind), None);
    }
    let Some(address) = context.steering().backend_address(backend) else {
        return (Ending::Unreachable, None);
    };
    let limit = deadline.since(context.now());
    if limit.is_zero() {
        return (Ending::Withheld(Kind::Expired), None);
    }
    // An open connection may have gone silent: orders and second tries get a fresh one.
    let fresh = again || !outgoing.idempotent;
    let agent = context.agents.get(backend, fresh);
    let id = attempt_id(context, attempt);
    let max_bytes = context.settings.dispatch.max_answer_bytes;
    let route = http::Route { address: &address, id: &id, fresh, limit, max_bytes };
    match http::send(&agent, outgoing, route) {
        Ok(whole) if whole.status == 499 => (Ending::Cancelled, None),
        Ok(whole) => (Ending::Answered(whole.bytes()), Some(Arc::new(whole))),
        Err(ending) => {
            if matches!(ending, Ending::Lost | Ending::Timeout | Ending::Cut) {
                context.agents.renew(backend);
            }
            log::debug!("dispatch: attempt ended request={} server={address} ending={ending:?}", outgoing.number);
            (ending, None)
        }
    }
}

fn attempt_id(context: &Context, attempt: u64) -> String {
    format!("{:016x}-{attempt}", context.incarnation)
}
