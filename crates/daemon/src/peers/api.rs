//! The calls between daemons.

use fleet::Document;
use fleet::message::{Message, Snapshot};
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use store::Changes;

use crate::response::WireResponse;

/// What a daemon can say of a key it claimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// It ran, and this was the answer.
    Ran(WireResponse),
    /// It runs now.
    Running,
    /// It never ran and never will under its claim.
    NeverRun,
    /// It may have run.
    Unknown,
}

/// The calls.
#[rpc(client, server)]
pub trait Peers {
    /// Exchanges news.
    #[method(name = "exchange")]
    async fn exchange(&self, message: Message) -> Result<Message, jsonrpsee::types::ErrorObjectOwned>;

    /// The policy in force if its revision is above `after`.
    #[method(name = "policy")]
    async fn policy(&self, after: u64) -> Result<Option<Document>, jsonrpsee::types::ErrorObjectOwned>;

    /// All that a starting daemon needs.
    #[method(name = "snapshot")]
    async fn snapshot(&self) -> Result<Snapshot, jsonrpsee::types::ErrorObjectOwned>;

    /// What the copy of the store knows beyond the revision `after`, once there is something or `wait_ms` have passed;
    /// a page of all keys behind `from` if that is named. Nothing if there is no copy yet.
    #[method(name = "changes")]
    async fn changes(
        &self,
        after: u64,
        from: String,
        wait_ms: u64,
    ) -> Result<Option<Changes>, jsonrpsee::types::ErrorObjectOwned>;

    /// What is known of the key with the hash `key`, in hexadecimal, by the incarnation that claimed it.
    #[method(name = "word")]
    async fn word(&self, incarnation: u64, key: String) -> Result<Word, jsonrpsee::types::ErrorObjectOwned>;
}
