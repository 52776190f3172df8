//! Parsing of the heads of requests and answers.

use std::ops::RangeInclusive;

use bytes::{Buf as _, BytesMut};
use http::header::{CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};

use crate::error::{Error, Result};
use crate::target::Absolute;

/// Status codes that HTTP has (RFC 9110, 15). The parser accepts any three digits.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;
/// Number of header lines for which a head is parsed without an allocation; few heads have more.
const USUAL_LINES: usize = 100;
/// Maximum number of header lines in one head: a parsed line takes far more memory than the few bytes that it may have.
const MAX_LINES: usize = 4_096;
/// Copies of a head's text that are in memory at a time: the parsed one, and the one that is being sent.
const TEXT_COPIES: usize = 2;
/// Memory that a parsed header line takes beside its text, in bytes.
const LINE_MEMORY_BYTES: usize = 200;

/// Hop-by-hop headers, which apply to one connection only and are never forwarded.
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

/// The head of a request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query as sent; a target in absolute form is reduced to them, and its host stands in the headers.
    pub target: String,
    /// The headers.
    pub headers: HeaderMap,
    /// Whether the sender keeps the connection open for more requests.
    pub keep_alive: bool,
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// Whether the sender keeps the connection open for more requests.
    pub keep_alive: bool,
}

impl Request {
    /// Parses a head and removes it from the front of `buffer`; `None` if it is not complete yet. A head of more than
    /// `max_bytes` bytes is an error.
    pub fn parse(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>> {
        skip_blank_lines(buffer);
        let Some((request, length)) = parse_in_lines(buffer, max_bytes, Self::parse_in)? else { return Ok(None) };
        buffer.advance(length);
        Ok(Some(request))
    }

    fn parse_in<'b>(buffer: &'b [u8], max_bytes: usize, lines: &mut [httparse::Header<'b>]) -> Parsed<Self> {
        let mut parsed = httparse::Request::new(lines);
        let Some(length) = length(parsed.parse(buffer), buffer.len(), max_bytes)? else { return Ok(None) };
        let method = Method::from_bytes(parsed.method.unwrap_or_default().as_bytes()).map_err(|_e| Error::Malformed)?;
        let mut headers = headers(parsed.headers)?;
        let keep_alive = keeps_alive(parsed.version, &headers);
        let target = origin_form(parsed.path.unwrap_or_default(), &mut headers)?;
        Ok(Some((Self { method, target, headers, keep_alive }, length)))
    }

    /// Returns the memory that the head takes until its request is answered, in bytes: its text, here and in what is sent to a
    /// server, and the lines beyond the usual number.
    pub fn memory_bytes(&self) -> usize {
        let lines: usize = self.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let text = self.target.len() + lines;
        TEXT_COPIES * text + self.headers.len().saturating_sub(USUAL_LINES) * LINE_MEMORY_BYTES
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the query without the question mark; `None` if there is none.
    pub fn query(&self) -> Option<&str> {
        self.target.split_once('?').map(|(_, query)| query)
    }
}

impl Response {
    /// Parses a head and removes it from the front of `buffer`; `None` if it is not complete yet. A head of more than
    /// `max_bytes` bytes is an error.
    pub fn parse(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>> {
        let Some((response, length)) = parse_in_lines(buffer, max_bytes, Self::parse_in)? else { return Ok(None) };
        buffer.advance(length);
        Ok(Some(response))
    }

    fn parse_in<'b>(buffer: &'b [u8], max_bytes: usize, lines: &mut [httparse::Header<'b>]) -> Parsed<Self> {
        let mut parsed = httparse::Response::new(lines);
        let Some(length) = length(parsed.parse(buffer), buffer.len(), max_bytes)? else { return Ok(None) };
        let status = parsed.code.and_then(status).ok_or(Error::Malformed)?;
        let headers = headers(parsed.headers)?;
        let keep_alive = keeps_alive(parsed.version, &headers);
        Ok(Some((Self { status, headers, keep_alive }, length)))
    }
}

/// Returns the status with this code; `None` if HTTP has no such status.
pub fn status(code: u16) -> Option<StatusCode> {
    StatusCode::from_u16(code).ok().filter(|_| STATUS_CODES.contains(&code))
}

/// Returns whether a header applies to one connection only.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// Returns the value of a header as text; `None` if it is absent or not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A head with its length, `None` if it is not complete yet.
type Parsed<T> = std::result::Result<Option<(T, usize)>, Failure>;

/// Why a head was not parsed.
enum Failure {
    /// It has more lines than there was room for.
    TooManyLines,
    Invalid(Error),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::Invalid(error)
    }
}

/// Calls `parse` with room for the usual number of header lines and, if that is too little, with room for all that a head may
/// have.
fn parse_in_lines<'b, T>(
    buffer: &'b [u8],
    max_bytes: usize,
    parse: impl Fn(&'b [u8], usize, &mut [httparse::Header<'b>]) -> Parsed<T>,
) -> Result<Option<(T, usize)>> {
    let mut parsed = parse(buffer, max_bytes, &mut [httparse::EMPTY_HEADER; USUAL_LINES]);
    if matches!(parsed, Err(Failure::TooManyLines)) {
        parsed = parse(buffer, max_bytes, &mut vec![httparse::EMPTY_HEADER; MAX_LINES]);
    }
    parsed.map_err(|failure| match failure {
        Failure::TooManyLines => Error::HeadTooLarge,
        Failure::Invalid(error) => error,
    })
}

/// Returns the length of a head of which `received` bytes or more have arrived; `None` if it is not complete yet.
fn length(
    status: httparse::Result<usize>,
    received: usize,
    max_bytes: usize,
) -> std::result::Result<Option<usize>, Failure> {
    match status {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => Ok(Some(length)),
        Ok(httparse::Status::Partial) if received < max_bytes => Ok(None),
        Ok(_) => Err(Error::HeadTooLarge.into()),
        Err(httparse::Error::TooManyHeaders) => Err(Failure::TooManyLines),
        Err(_) => Err(Error::Malformed.into()),
    }
}

/// Returns path and query of a target. The host of one in absolute form replaces that of the header, as RFC 9112 (3.2.2) says.
fn origin_form(target: &str, headers: &mut HeaderMap) -> Result<String> {
    let Some(absolute) = Absolute::parse(target)? else { return Ok(target.to_owned()) };
    headers.insert(HOST, HeaderValue::from_str(absolute.authority).map_err(|_e| Error::Malformed)?);
    Ok(absolute.path)
}

/// Removes empty lines before a request, which HTTP/1.1 allows.
fn skip_blank_lines(buffer: &mut BytesMut) {
    let blank = buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    buffer.advance(blank);
}

fn headers(lines: &[httparse::Header<'_>]) -> Result<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(lines.len());
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes()).map_err(|_e| Error::Malformed)?;
        let value = HeaderValue::from_bytes(line.value).map_err(|_e| Error::Malformed)?;
        headers.append(name, value);
    }
    Ok(headers)
}

fn keeps_alive(minor: Option<u8>, headers: &HeaderMap) -> bool {
    let mut tokens =
        headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok()).flat_map(|v| v.split(','));
    if minor == Some(1) {
        return !tokens.any(|token| token.trim().eq_ignore_ascii_case("close"));
    }
    tokens.any(|token| token.trim().eq_ignore_ascii_case("keep-alive"))
}
