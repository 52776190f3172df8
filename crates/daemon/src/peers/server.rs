//! The JSON-RPC server for peers.

use std::sync::Arc;
use std::time::Duration;

use base::error::Kind;
use fleet::Document;
use fleet::confirmation::Report;
use fleet::message::{self, Message, Snapshot};
use fleet::replica::Version;
use http::StatusCode;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::{HttpResponse, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use quota::message::{Ask, Grant};
use store::Changes;

use super::api::{ClaimStatus, PeersServer};
use super::exchange;
use crate::Context;
use crate::at_most_once;
use crate::confirmation;
use crate::context::lock;
use crate::mirror;
use crate::plugin::Plugin;
use crate::rejection::Rejection;

/// Maximum number of connections of peers.
const MAX_CONNECTIONS: u32 = 256;
/// Maximum size of a request and of an answer, in bytes.
const MAX_BODY_BYTES: u32 = 2 << 20;

inventory::submit! {
    Plugin(kernel::Plugin { name: "peers", stage: 10, start })
}

struct Handler {
    context: Arc<Context>,
}

impl Handler {
    /// Returns the policy in force if it is newer than `after`.
    fn newer_policy(&self, after: Version) -> Option<Document> {
        let replica = lock(&self.context.policy_replica);
        replica.document().filter(|document| document.version > after).cloned()
    }
}

#[async_trait]
impl PeersServer for Handler {
    async fn exchange(&self, message: Message) -> Result<Message, ErrorObjectOwned> {
        exchange::apply_message(&self.context, &message);
        Ok(exchange::answer(&self.context, &message))
    }

    async fn policy(&self, after: u64, version: Option<Version>) -> Result<Option<Document>, ErrorObjectOwned> {
        Ok(self.newer_policy(version.unwrap_or_else(|| after.into())))
    }

    async fn standing(&self, after: Option<Version>) -> Result<Report, ErrorObjectOwned> {
        let standing = confirmation::standing(&self.context);
        Ok(Report { standing, policy: after.and_then(|after| self.newer_policy(after)) })
    }

    async fn snapshot(&self) -> Result<Snapshot, ErrorObjectOwned> {
        let records = lock(&self.context.roster).records();
        let policy = lock(&self.context.policy_replica).document().cloned();
        let now = self.context.now();
        let engine = &self.context.driver;
        let leaving = engine.with_engine(|engine| engine.leaving_backends(now).collect());
        let limit = |(server, limit)| message::RateLimit::new(server, limit, now);
        let rate_limits = engine.with_engine(|engine| engine.rate_limits(now).map(limit).collect());
        let has_mirror = lock(&self.context.mirror).revision() > 0;
        Ok(Snapshot { records, policy, leaving, rate_limits, has_mirror })
    }

    async fn changes(
        &self,
        after: u64,
        from: String,
        wait_ms: u64,
        era: Option<u64>,
    ) -> Result<Option<Changes>, ErrorObjectOwned> {
        let after = store::Version::new(era.unwrap_or(0), after);
        Ok(mirror::changes(&self.context, after, &from, Duration::from_millis(wait_ms)).await)
    }

    async fn tokens(&self, ask: Ask) -> Result<Grant, ErrorObjectOwned> {
        Ok(self.context.quotas.answer(&ask, self.context.now()))
    }

    async fn claim_status(&self, incarnation: u64, key: String) -> Result<ClaimStatus, ErrorObjectOwned> {
        let key = u128::from_str_radix(&key, 16);
        let (Ok(key), true) = (key, incarnation == self.context.incarnation) else {
            return Ok(ClaimStatus::Unknown);
        };
        Ok(match at_most_once::claim_status(&self.context, key) {
            ledger::acquire::Status::Ran(response) => ClaimStatus::Ran(response.as_ref().clone().into()),
            ledger::acquire::Status::Running => ClaimStatus::Running,
            ledger::acquire::Status::NeverRun => ClaimStatus::NeverRun,
            ledger::acquire::Status::Unknown => ClaimStatus::Unknown,
        })
    }
}

struct Port(Option<ServerHandle>);

impl kernel::Component for Port {
    fn close(&mut self) {
        let stopped = self.0.take().map(|handle| handle.stop());
        if stopped.is_some_and(|stopped| stopped.is_err()) {
            log::debug!("peers: port closed already");
        }
    }
}

/// Counts and logs a reply to a request that is no call of a peer, such as one for work that was led here.
fn record_rejection(context: &Context, status: StatusCode) {
    if !status.is_redirection() && !status.is_client_error() {
        return;
    }
    let kind = if status == StatusCode::METHOD_NOT_ALLOWED { Kind::UnknownMethod } else { Kind::UnknownPath };
    let (address, source, none) = ("peers", "error", "-");
    let (kind, status) = (kind.as_str(), status.as_str());
    Rejection { address, source, kind, status, signed: false, request: none, host: none, path: none }.record(context);
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let address = context.settings.fleet.address.clone();
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_BODY_BYTES)
        .max_response_body_size(MAX_BODY_BYTES)
        .http_only()
        .build();
    let handler = Handler { context: Arc::clone(context) };
    let _guard = context.runtime.enter();
    let listener = std::net::TcpListener::bind(&address);
    let recorder = Arc::clone(context);
    let middleware = tower::ServiceBuilder::new().map_response(move |response: HttpResponse| {
        record_rejection(&recorder, response.status());
        response
    });
    let server = listener.and_then(|listener| {
        listener.set_nonblocking(true)?;
        jsonrpsee::server::Server::builder().set_config(config).set_http_middleware(middleware).build_from_tcp(listener)
    });
    let server = server
        .map_err(|error| format!("key `fleet.address`: cannot listen at {address}: {error}; choose a free address"))?;
    let handle = server.start(handler.into_rpc());
    Ok(Box::new(Port(Some(handle))))
}
