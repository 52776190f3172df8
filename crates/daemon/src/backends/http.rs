//! One request to one backend server over the HTTP library.

use std::time::Duration;

use base::error::Kind;
use dispatch::Ending;

use crate::driver::Outgoing;
use crate::whole::Whole;

/// Headers of one connection, never passed on.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header concerns one connection only.
pub fn hop_header(name: &str) -> bool {
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// An agent; `pooled` connections are kept for the next request.
pub fn agent(connect: Duration, pooled: usize) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_connect(Some(connect))
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .max_idle_connections(pooled)
        .max_idle_connections_per_host(pooled)
        .max_idle_age(Duration::from_secs(5))
        .build();
    config.into()
}

/// Where and how an attempt is sent.
#[derive(Debug, Clone, Copy)]
pub struct Route<'a> {
    /// The server, `IP:PORT`.
    pub address: &'a str,
    /// The attempt's id, for cancellation.
    pub id: &'a str,
    /// Whether the connection serves this attempt only.
    pub fresh: bool,
    /// Time for the whole answer.
    pub limit: Duration,
    /// Largest answer, in bytes.
    pub max_bytes: u64,
}

/// Sends `outgoing` along `route`.
pub fn send(agent: &ureq::Agent, outgoing: &Outgoing, route: Route<'_>) -> Result<Whole, Ending> {
    let Route { address, id, fresh, limit, max_bytes } = route;
    let mut builder = ureq::http::Request::builder()
        .method(outgoing.method.as_str())
        .uri(format!("http://{address}{}", outgoing.target));
    for (name, value) in &outgoing.headers {
        builder = builder.header(name, value);
    }
    if fresh {
        builder = builder.header("connection", "close");
    }
    builder = builder.header("x-request-id", id).header("x-deadline-ms", limit.as_millis().to_string());
    let request = builder.body(outgoing.body.to_vec()).map_err(|_source| Ending::Withheld(Kind::Malformed))?;
    let request = agent.configure_request(request).timeout_global(Some(limit)).allow_non_standard_methods(true).build();
    let response = agent.run(request).map_err(|error| ending(&error))?;
    receive(response, outgoing, max_bytes)
}

fn receive(
    mut response: ureq::http::Response<ureq::Body>,
    outgoing: &Outgoing,
    max_bytes: u64,
) -> Result<Whole, Ending> {
    let status = response.status().as_u16();
    let not_run = response.headers().get("x-outcome").is_some_and(|value| value == "not-run");
    if not_run && matches!(status, 429 | 503) {
        return Err(Ending::Shed);
    }
    if !delimited(&response, outgoing) {
        return Err(Ending::Cut);
    }
    let headers = response.headers().iter().filter_map(|(name, value)| {
        let passed = !hop_header(name.as_str()) && name != "content-length";
        passed.then(|| (name.as_str().to_owned(), value.to_str().unwrap_or_default().to_owned()))
    });
    let headers = headers.collect();
    // The library's limit is an error only past it.
    let read = response.body_mut().with_config().limit(max_bytes).read_to_vec();
    match read {
        Ok(body) => Ok(Whole { status, headers, body: body.into() }),
        Err(ureq::Error::BodyExceedsLimit(_)) => Err(Ending::TooLarge),
        Err(ureq::Error::Timeout(_)) => Err(Ending::Timeout),
        Err(_) => Err(Ending::Cut),
    }
}

/// Whether the end of the answer can be told from a lost connection.
fn delimited(response: &ureq::http::Response<ureq::Body>, outgoing: &Outgoing) -> bool {
    let status = response.status().as_u16();
    if outgoing.method == "HEAD" || matches!(status, 204 | 304) {
        return true;
    }
    let lengths = response.headers().get_all("content-length").iter().count();
    let chunked = response.headers().contains_key("transfer-encoding");
    (lengths == 1) != chunked
}

/// What an error of the library says of the request; in doubt it may have run.
fn ending(error: &ureq::Error) -> Ending {
    use std::io::ErrorKind;
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => Ending::Unreachable,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => Ending::Unreachable,
        ureq::Error::Io(io) if io.kind() == ErrorKind::ConnectionRefused => Ending::Unreachable,
        ureq::Error::Timeout(_) => Ending::Timeout,
        _ => Ending::Lost,
    }
}
