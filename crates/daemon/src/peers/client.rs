//! JSON-RPC clients for calls to other daemons.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};

use super::api::{ClaimStatus, PeersClient as _};
use crate::Context;
use crate::response::Response;

/// Maximum size of a peer's answer, in bytes.
const MAX_ANSWER_BYTES: u32 = 2 << 20;

/// Returns a client for the peer at `address`, with the timeout of the settings; `None` if the address is invalid.
pub fn client(context: &Context, address: &str) -> Option<HttpClient> {
    client_with_timeout(address, Duration::from_millis(context.settings.fleet.timeout_ms))
}

/// Returns a client for the peer at `address` whose calls end within `timeout`; `None` if the address is invalid.
pub fn client_with_timeout(address: &str, timeout: Duration) -> Option<HttpClient> {
    let builder = HttpClientBuilder::default().request_timeout(timeout).max_response_size(MAX_ANSWER_BYTES);
    match builder.build(format!("http://{address}")) {
        Ok(client) => Some(client),
        Err(error) => {
            log::warn!("peers: client not created address={address} reason={:?}", error.to_string());
            None
        }
    }
}

/// Asks the daemon at `address` for the status of a key that its incarnation `incarnation` claimed; `Unknown` if it
/// does not answer. Blocks the thread.
pub fn claim_status(
    context: &Arc<Context>,
    address: &str,
    incarnation: u64,
    key: u128,
) -> ledger::acquire::Status<Arc<Response>> {
    use ledger::acquire::Status;
    let Some(client) = client(context, address) else {
        return Status::Unknown;
    };
    let answer = context.runtime.block_on(client.claim_status(incarnation, format!("{key:032x}")));
    match answer {
        Ok(ClaimStatus::Ran(response)) => match Response::try_from(response) {
            Ok(response) => Status::Ran(Arc::new(response)),
            Err(error) => {
                log::warn!("orders: claimant's answer is invalid address={address} reason={error}");
                Status::Unknown
            }
        },
        Ok(ClaimStatus::Running) => Status::Running,
        Ok(ClaimStatus::NeverRun) => Status::NeverRun,
        Ok(ClaimStatus::Unknown) => Status::Unknown,
        Err(error) => {
            log::debug!("orders: claimant did not answer address={address} reason={:?}", error.to_string());
            Status::Unknown
        }
    }
}
