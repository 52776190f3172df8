//! Counts and logs replies that tell a caller that its request is wrong, at every address that this daemon opens.

use crate::Context;

/// Number of characters of a path that are logged.
const MAX_LOGGED_PATH: usize = 100;

/// A reply with a status 3xx or 4xx, and the request that it is for; a dash stands for what is not known.
#[derive(Debug, Clone, Copy)]
pub struct Rejection<'a> {
    /// What the address is for at which the request arrived.
    pub address: &'a str,
    /// Who made the reply.
    pub source: &'a str,
    /// The kind of error, as logs and metrics name it; a dash for a server's answer.
    pub kind: &'a str,
    /// The HTTP status of the reply.
    pub status: &'a str,
    /// Whether a backend server signed the reply.
    pub signed: bool,
    /// The request's id.
    pub request: &'a str,
    /// The host that the request names.
    pub host: &'a str,
    /// The path of the request.
    pub path: &'a str,
}

impl Rejection<'_> {
    /// Counts and logs the reply.
    pub fn record(&self, context: &Context) {
        let Self { address, source, kind, status, request, host, .. } = *self;
        let signed = if self.signed { "yes" } else { "no" };
        context.metrics.rejections.with_label_values(&[address, source, signed, kind, status]).inc();
        let path = shortened(self.path);
        let version = context.policy().version;
        log::info!(request, address, source, kind, status, signed, host, path, version:%; "callers: rejected");
    }
}

/// Returns the part of a path that is logged.
pub fn shortened(path: &str) -> &str {
    path.char_indices().nth(MAX_LOGGED_PATH).map_or(path, |(end, _)| &path[..end])
}
