//! Parsing of callers' requests from the bytes that have arrived.

use base::error::Kind;
use bytes::BytesMut;
use h1::body::{Decoder, Framing};
use h1::head;
use h1::payload::Buffer;
use http::header::{EXPECT, TRANSFER_ENCODING};

use super::limits::Limits;

/// A request whose head was parsed and whose body is incomplete.
#[derive(Debug)]
struct Partial {
    head: head::Request,
    decoder: Decoder,
    body: Buffer,
}

/// The result of parsing the buffered input.
#[derive(Debug)]
pub enum Parsed {
    /// A complete request.
    Request(head::Request, Buffer),
    /// Input that is no acceptable request.
    Refused(Kind),
    /// More bytes are needed.
    Incomplete,
}

/// Parses requests from a buffer, within the configured limits.
#[derive(Debug)]
pub struct Parser {
    limits: Limits,
    /// Whether request bodies with `Transfer-Encoding` are accepted.
    allow_chunked: bool,
    partial: Option<Partial>,
    /// Set while the caller waits for `100 Continue` before it sends its body.
    expects_continue: bool,
}

impl Parser {
    /// Creates a parser with these `limits` that accepts bodies with `Transfer-Encoding` if `allow_chunked` is set.
    pub const fn new(limits: Limits, allow_chunked: bool) -> Self {
        Self { limits, allow_chunked, partial: None, expects_continue: false }
    }

    /// Replaces the limits. That of a body that is arriving is raised at most, since its caller began to send it under the one before.
    pub fn set_limits(&mut self, limits: Limits) {
        let max_body_bytes = match self.partial {
            Some(_) => self.limits.max_body_bytes.max(limits.max_body_bytes),
            None => limits.max_body_bytes,
        };
        self.limits = Limits { max_body_bytes, ..limits };
    }

    /// Parses the next request; `buffer` may hold any part of it.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Parsed {
        match self.try_next(buffer) {
            Ok(Some((head, body))) => Parsed::Request(head, body),
            Ok(None) => Parsed::Incomplete,
            Err(kind) => Parsed::Refused(kind),
        }
    }

    fn try_next(&mut self, buffer: &mut BytesMut) -> Result<Option<(head::Request, Buffer)>, Kind> {
        if self.partial.is_none() {
            let Some(head) = head::Request::parse(buffer, self.limits.max_header_bytes).map_err(error_kind)? else {
                return Ok(None);
            };
            self.partial = Some(self.start_body(head)?);
        }
        let Some(partial) = &mut self.partial else { return Ok(None) };
        while let Some(chunk) = partial.decoder.decode(buffer).map_err(error_kind)? {
            if partial.body.len() as u64 + chunk.len() as u64 > self.limits.max_body_bytes {
                return Err(Kind::BodyTooLarge);
            }
            partial.body.extend(&chunk);
        }
        if !partial.decoder.is_complete() {
            return Ok(None);
        }
        self.expects_continue = false;
        Ok(self.partial.take().map(|partial| (partial.head, partial.body)))
    }

    /// Checks the framing of a request's body against the limits and prepares to decode it.
    fn start_body(&mut self, head: head::Request) -> Result<Partial, Kind> {
        let framing = Framing::of_request(&head.headers);
        if head.headers.contains_key(TRANSFER_ENCODING) && !self.allow_chunked {
            return Err(Kind::LengthRequired);
        }
        let framing = framing.map_err(error_kind)?;
        if matches!(framing, Framing::Length(length) if length > self.limits.max_body_bytes) {
            return Err(Kind::BodyTooLarge);
        }
        self.expects_continue = head.headers.contains_key(EXPECT);
        let decoder = Decoder::new(framing).with_max_line_bytes(self.limits.max_header_bytes);
        let body = match framing {
            Framing::Length(length) => Buffer::new().with_length(length as usize),
            Framing::Chunked | Framing::UntilClose => Buffer::new(),
        };
        Ok(Partial { head, decoder, body })
    }

    /// Whether the head of a request has arrived, and not all of its body.
    pub const fn in_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns whether the caller waits for `100 Continue`, once for each request.
    pub const fn take_expects_continue(&mut self) -> bool {
        std::mem::replace(&mut self.expects_continue, false)
    }

    /// Returns the bytes of the body that have arrived of a request that is incomplete.
    pub fn body_bytes(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| partial.body.len())
    }

    /// Returns the bytes of memory that they take.
    pub fn body_capacity(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| partial.body.capacity())
    }

    /// Drops the part of a request that has arrived.
    pub fn clear(&mut self) {
        self.partial = None;
    }

    /// Whether part of a request has arrived.
    pub fn has_partial(&self, buffer: &BytesMut) -> bool {
        self.partial.is_some() || !buffer.is_empty()
    }
}

fn error_kind(error: h1::Error) -> Kind {
    match error {
        h1::Error::Ambiguous => Kind::AmbiguousFraming,
        h1::Error::BodyTooLarge => Kind::BodyTooLarge,
        h1::Error::HeadTooLarge => Kind::HeadTooLarge,
        h1::Error::Malformed | h1::Error::Cut => Kind::Malformed,
    }
}
