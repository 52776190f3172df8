//! Calls to other daemons.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};

use super::api::{PeersClient as _, Word};
use crate::Context;
use crate::response::Response;

/// Largest answer taken from a peer, in bytes.
const MAX_BYTES: u32 = 2 << 20;

/// A client of the peer at `address`.
pub fn client(context: &Context, address: &str) -> Option<HttpClient> {
    client_with(address, Duration::from_millis(context.settings.fleet.timeout_ms))
}

/// A client of the peer at `address` whose calls end within `timeout`.
pub fn client_with(address: &str, timeout: Duration) -> Option<HttpClient> {
    let builder = HttpClientBuilder::default().request_timeout(timeout).max_response_size(MAX_BYTES);
    match builder.build(format!("http://{address}")) {
        Ok(client) => Some(client),
        Err(error) => {
            log::warn!("peers: no client address={address} reason={:?}", error.to_string());
            None
        }
    }
}

/// What the daemon at `address` says of a key that its incarnation `incarnation` claimed. Blocks.
pub fn word(
    context: &Arc<Context>,
    address: &str,
    incarnation: u64,
    key: u128,
) -> ledger::acquire::Status<Arc<Response>> {
    use ledger::acquire::Status as Known;
    let Some(client) = client(context, address) else {
        return Known::Unknown;
    };
    let asked = context.runtime.block_on(client.word(incarnation, format!("{key:032x}")));
    match asked {
        Ok(Word::Ran(packed)) => match Response::try_from(packed) {
            Ok(whole) => Known::Ran(Arc::new(whole)),
            Err(error) => {
                log::warn!("orders: claimant's answer not taken address={address} reason={error}");
                Known::Unknown
            }
        },
        Ok(Word::Running) => Known::Running,
        Ok(Word::NeverRun) => Known::NeverRun,
        Ok(Word::Unknown) => Known::Unknown,
        Err(error) => {
            log::debug!("orders: claimant silent address={address} reason={:?}", error.to_string());
            Known::Unknown
        }
    }
}
