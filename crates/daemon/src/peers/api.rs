//! The JSON-RPC interface between daemons.

use fleet::Document;
use fleet::confirmation::Report;
use fleet::message::{Message, Snapshot};
use fleet::replica::Version;
use jsonrpsee::proc_macros::rpc;
use quota::message::{Ask, Grant};
use serde::{Deserialize, Serialize};
use store::Changes;

use crate::response::WireResponse;

/// Status of an idempotency key, as the daemon that claimed it reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The request ran, and this was the answer.
    Ran(WireResponse),
    /// The request is running now.
    Running,
    /// The request never ran and never will under this claim.
    NeverRun,
    /// The request may have run.
    Unknown,
}

/// Calls that each daemon serves to its peers.
#[rpc(client, server)]
pub trait Peers {
    /// Merges a gossip message and returns one in answer.
    #[method(name = "exchange")]
    async fn exchange(&self, message: Message) -> Result<Message, jsonrpsee::types::ErrorObjectOwned>;

    /// Returns the active policy if its version is above `version`; an earlier build sends only the revision `after`.
    #[method(name = "policy")]
    async fn policy(
        &self,
        after: u64,
        version: Option<Version>,
    ) -> Result<Option<Document>, jsonrpsee::types::ErrorObjectOwned>;

    /// Returns the version of the policy in force, how long ago it was known to be the store's, and the policy itself if it is newer
    /// than `after`. Earlier builds do not have this call.
    #[method(name = "standing")]
    async fn standing(&self, after: Option<Version>) -> Result<Report, jsonrpsee::types::ErrorObjectOwned>;

    /// Returns the members, the policy and the leaving backend servers for a starting daemon.
    #[method(name = "snapshot")]
    async fn snapshot(&self) -> Result<Snapshot, jsonrpsee::types::ErrorObjectOwned>;

    /// Returns the changes of the store's mirror after the revision `after` of `era`, once there are some, the mirror is
    /// confirmed again or `wait_ms` have passed; or a page of all keys that follow the key `from` if that is not empty.
    /// `None` if the mirror is still empty. An earlier build sends no era; it stands for zero.
    #[method(name = "changes")]
    async fn changes(
        &self,
        after: u64,
        from: String,
        wait_ms: u64,
        era: Option<u64>,
    ) -> Result<Option<Changes>, jsonrpsee::types::ErrorObjectOwned>;

    /// Lends the sender's share of the quotas of client accounts, and returns tokens for requests of these accounts.
    #[method(name = "tokens")]
    async fn tokens(&self, ask: Ask) -> Result<Grant, jsonrpsee::types::ErrorObjectOwned>;

    /// Returns the status of the key with the hash `key`, in hexadecimal; `Unknown` if `incarnation` is not that of
    /// this process.
    #[method(name = "word")]
    async fn claim_status(
        &self,
        incarnation: u64,
        key: String,
    ) -> Result<ClaimStatus, jsonrpsee::types::ErrorObjectOwned>;
}
