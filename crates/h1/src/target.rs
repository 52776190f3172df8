//! Targets of requests in absolute form (RFC 9112, 3.2.2): `http://a.example/b`.

use crate::error::{Error, Result};

/// Schemes of targets in absolute form.
const SCHEMES: [&str; 2] = ["http://", "https://"];

/// A target in absolute form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Absolute<'a> {
    /// Host, and port if there is one.
    pub authority: &'a str,
    /// Path and query: the target in origin form.
    pub path: String,
}

impl<'a> Absolute<'a> {
    /// Parses a target; `None` if it has another form. A target that names no host is an error.
    pub fn parse(target: &'a str) -> Result<Option<Self>> {
        let Some(rest) = SCHEMES.iter().find_map(|scheme| strip_scheme(target, scheme)) else { return Ok(None) };
        let (authority, path) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
        let authority = authority.rsplit('@').next().unwrap_or_default();
        if authority.is_empty() || authority.starts_with(':') {
            return Err(Error::Malformed);
        }
        let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
        Ok(Some(Self { authority, path }))
    }
}

/// Removes `scheme` from the front of a target; schemes are compared without case.
fn strip_scheme<'a>(target: &'a str, scheme: &str) -> Option<&'a str> {
    let (start, rest) = target.split_at_checked(scheme.len())?;
    start.eq_ignore_ascii_case(scheme).then_some(rest)
}
