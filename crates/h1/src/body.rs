//! Framing of bodies.

use bytes::{Buf as _, Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Method, StatusCode};

use crate::error::{Error, Result};

/// Maximum length of a line between chunks if no other is set, in bytes.
const MAX_LINE_BYTES: usize = 4_096;
/// Maximum length of all trailer lines after the last chunk if no other is set, in bytes; they are dropped as they come.
const MAX_TRAILER_BYTES: usize = 100 * MAX_LINE_BYTES;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends when the connection does.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a request's body; an ambiguous one is an error.
    pub fn of_request(headers: &HeaderMap) -> Result<Self> {
        match (length(headers)?, chunked(headers)?) {
            (Some(_), true) => Err(Error::Ambiguous),
            (None, true) => Ok(Self::Chunked),
            (length, false) => Ok(Self::Length(length.unwrap_or(0))),
        }
    }

    /// Returns the framing of the body of an answer to a request with `method`; an ambiguous one is an error.
    pub fn of_response(method: &Method, status: StatusCode, headers: &HeaderMap) -> Result<Self> {
        let bodiless = *method == Method::HEAD || status.is_informational();
        if bodiless || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
            return Ok(Self::Length(0));
        }
        match (length(headers)?, chunked(headers)?) {
            (Some(_), true) => Err(Error::Ambiguous),
            (None, true) => Ok(Self::Chunked),
            (Some(length), false) => Ok(Self::Length(length)),
            (None, false) => Ok(Self::UntilClose),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Within a body of known length, with the bytes left.
    Data(u64),
    /// Before the line with a chunk's size.
    Size,
    /// Within a chunk, with the bytes left.
    Chunk(u64),
    /// Before the line break after a chunk.
    Break,
    /// Before a trailer line, with the length of the trailer lines before it in bytes.
    Trailer(usize),
    UntilClose,
    End,
}

/// Decodes a body incrementally from a buffer.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: State,
    max_line_bytes: usize,
    max_trailer_bytes: usize,
}

impl Decoder {
    /// Creates a decoder at the start of a body.
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::End,
            Framing::Length(length) => State::Data(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, max_line_bytes: MAX_LINE_BYTES, max_trailer_bytes: MAX_TRAILER_BYTES }
    }

    /// Sets the maximum length of a line between chunks, and of all trailer lines after the last one, in bytes.
    #[must_use]
    pub const fn with_max_line_bytes(self, bytes: usize) -> Self {
        Self { max_line_bytes: bytes, max_trailer_bytes: bytes, ..self }
    }

    /// Returns whether the whole body was decoded.
    pub fn is_complete(&self) -> bool {
        self.state == State::End
    }

    /// Returns whether the body ends only with the connection.
    pub fn until_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Removes the next part of the body from `buffer` and returns it; `None` if more bytes are needed or the body has
    /// ended.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>> {
        loop {
            match self.state {
                State::End => return Ok(None),
                State::Data(left) | State::Chunk(left) => {
                    if buffer.is_empty() {
                        return Ok(None);
                    }
                    let part = left.min(buffer.len() as u64);
                    let data = buffer.split_to(part as usize).freeze();
                    self.state = self.state_with_left(left - part);
                    return Ok(Some(data));
                }
                State::UntilClose if buffer.is_empty() => return Ok(None),
                State::UntilClose => return Ok(Some(buffer.split().freeze())),
                State::Size => {
                    let Some(size) = chunk_size(buffer, self.max_line_bytes)? else { return Ok(None) };
                    self.state = if size == 0 { State::Trailer(0) } else { State::Chunk(size) };
                }
                State::Break => {
                    let Some(line) = line(buffer, self.max_line_bytes)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Error::Malformed);
                    }
                    self.state = State::Size;
                }
                State::Trailer(bytes) if bytes > self.max_trailer_bytes => return Err(Error::Malformed),
                State::Trailer(bytes) => {
                    let before = buffer.len();
                    let Some(line) = line(buffer, self.max_line_bytes)? else { return Ok(None) };
                    let bytes = bytes + before - buffer.len();
                    self.state = if line.is_empty() { State::End } else { State::Trailer(bytes) };
                }
            }
        }
    }

    /// Handles the orderly end of the connection; returns [`Error::Cut`] if the body is incomplete.
    pub fn close(&mut self) -> Result<()> {
        match self.state {
            State::End => Ok(()),
            State::UntilClose => {
                self.state = State::End;
                Ok(())
            }
            _ => Err(Error::Cut),
        }
    }

    /// Returns the state within or after the current data with `left` bytes left.
    const fn state_with_left(&self, left: u64) -> State {
        match (self.state, left) {
            (State::Data(_), 0) => State::End,
            (State::Data(_), left) => State::Data(left),
            (_, 0) => State::Break,
            (_, left) => State::Chunk(left),
        }
    }
}

fn chunk_size(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<u64>> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            buffer.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() < max_bytes => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(Error::Malformed),
    }
}

/// Removes a line from `buffer` and returns it without its line break; `None` if it is not complete yet.
fn line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<BytesMut>> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() < max_bytes { Ok(None) } else { Err(Error::Malformed) };
    };
    let mut line = buffer.split_to(end + 1);
    line.truncate(end);
    if line.last() == Some(&b'\r') {
        line.truncate(end - 1);
    }
    Ok(Some(line))
}

/// Returns the declared length; `None` if there is none. More than one, or one that is not a number, is an error.
fn length(headers: &HeaderMap) -> Result<Option<u64>> {
    let mut found = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let text = value.to_str().unwrap_or_default();
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) || found.is_some() {
            return Err(Error::Ambiguous);
        }
        found = Some(text.parse::<u64>().map_err(|_e| Error::Ambiguous)?);
    }
    Ok(found)
}

/// Returns whether the body is chunked; any other transfer encoding is an error.
fn chunked(headers: &HeaderMap) -> Result<bool> {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(value) = values.next() else { return Ok(false) };
    let is_chunked = value.to_str().is_ok_and(|text| text.trim().eq_ignore_ascii_case("chunked"));
    if is_chunked && values.next().is_none() { Ok(true) } else { Err(Error::Ambiguous) }
}
