//! The regions that an instance names with a request that it passes on, since the other one may go by an older policy.
//!
//! They are a JSON list in a value of `Proxy-Authorization` with a scheme of its own, behind the one that names the account. No
//! build passes on that header to backend servers. Builds up to f5d1856 read its first value only, and name no regions.

use config::policy::Allowed;
use http::header::{HeaderMap, HeaderValue, PROXY_AUTHORIZATION};

use crate::callers::identity;

/// Scheme of the value, in lower case.
const SCHEME: &str = "regions";

/// Adds the regions in which a request may run to its headers, if there are any that it must not run in.
pub fn append(allowed: &Allowed, headers: &mut HeaderMap) {
    let Allowed::Only(names) = allowed else { return };
    let value =
        serde_json::to_string(names).ok().and_then(|names| HeaderValue::try_from(format!("{SCHEME} {names}")).ok());
    // Without readable names the other instance refuses the request.
    headers.append(PROXY_AUTHORIZATION, value.unwrap_or(HeaderValue::from_static(SCHEME)));
}

/// Returns the regions that another instance names with a request; none if they cannot be read.
pub fn named(headers: &HeaderMap) -> Allowed {
    let is_named = |value: &&HeaderValue| {
        value.as_bytes().get(..SCHEME.len()).is_some_and(|scheme| scheme.eq_ignore_ascii_case(SCHEME.as_bytes()))
    };
    headers.get_all(PROXY_AUTHORIZATION).iter().find(is_named).map_or(Allowed::All, |value| {
        let names = identity::credentials(value, SCHEME).and_then(|names| serde_json::from_slice(names).ok());
        Allowed::Only(names.unwrap_or_default())
    })
}
