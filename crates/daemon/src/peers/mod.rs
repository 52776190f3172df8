//! Exchange between daemons over JSON-RPC.

pub mod api;
pub mod client;
pub mod exchange;
pub mod server;

use std::sync::Arc;

use crate::Context;
use crate::context::lock;

/// Tells a few peers at once that a newer policy is in force here; they fetch it and tell others.
pub fn tell_revision(context: &Arc<Context>) {
    let fanout = context.settings.fleet.fanout as usize;
    tell(context, fanout);
}

/// Lets the messages of the next while tell of losses of connections; says whether requests are refused for them.
pub fn spread_losses(context: &Context, losses: &[(u64, u64)]) -> bool {
    let now = context.now();
    let fingerprints = losses.iter().map(|(fingerprint, _)| *fingerprint);
    let poison: Vec<(u64, u64)> =
        context.driver.look(|engine| fingerprints.flat_map(|fingerprint| engine.poison(fingerprint, now)).collect());
    let mut roster = lock(&context.roster);
    losses.iter().for_each(|loss| roster.spread_loss(*loss, now));
    poison.iter().for_each(|loss| roster.spread_lasting(*loss, now));
    !poison.is_empty()
}

/// Tells peers at once of the losses to be spread, so that a re-send elsewhere is refused.
pub fn tell_losses(context: &Arc<Context>) {
    tell(context, context.settings.fleet.fanout as usize);
}

/// Tells as many peers as it takes for most to hear at once that we leave.
pub fn tell_leaving(context: &Arc<Context>) {
    tell(context, 2 * context.settings.fleet.fanout as usize);
}

fn tell(context: &Arc<Context>, most: usize) {
    let chosen = lock(&context.roster).some(most);
    for (name, address) in chosen {
        let context = Arc::clone(context);
        let runtime = context.runtime.clone();
        runtime.spawn(async move { exchange::with(&context, &name, &address).await });
    }
}
