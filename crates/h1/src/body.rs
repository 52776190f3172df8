//! Where a body ends.

use bytes::{Buf as _, Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Method, StatusCode};

use crate::error::{Error, Result};

/// Longest line between chunks, in bytes.
const MAX_LINE_BYTES: usize = 4_096;
/// Lines behind the last chunk at most.
const MAX_TRAILERS: u32 = 100;

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// Until the connection ends.
    UntilClose,
}

impl Framing {
    /// The framing of a request's body; one that can be read in two ways is an error.
    pub fn of_request(headers: &HeaderMap) -> Result<Self> {
        match (length(headers)?, chunked(headers)?) {
            (Some(_), true) => Err(Error::Ambiguous),
            (None, true) => Ok(Self::Chunked),
            (length, false) => Ok(Self::Length(length.unwrap_or(0))),
        }
    }

    /// The framing of the body of an answer to a request with `method`.
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
    Data(u64),
    /// Before the line that names a chunk's size.
    Size,
    Chunk(u64),
    /// Before the line break behind a chunk.
    Break,
    /// Before a line behind the last chunk, with the lines before it.
    Trailer(u32),
    UntilClose,
    End,
}

/// Takes a body off a buffer, part by part.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// A decoder at the start of a body.
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::End,
            Framing::Length(length) => State::Data(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Whether the whole body was taken.
    pub fn is_complete(&self) -> bool {
        self.state == State::End
    }

    /// Whether only the end of the connection ends the body.
    pub fn until_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Takes the next part of the body off `buffer`; `None` if more bytes are needed or the body has ended.
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
                    self.state = self.after(left - part);
                    return Ok(Some(data));
                }
                State::UntilClose if buffer.is_empty() => return Ok(None),
                State::UntilClose => return Ok(Some(buffer.split().freeze())),
                State::Size => {
                    let Some(size) = chunk_size(buffer)? else { return Ok(None) };
                    self.state = if size == 0 { State::Trailer(0) } else { State::Chunk(size) };
                }
                State::Break => {
                    let Some(line) = line(buffer)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Error::Malformed);
                    }
                    self.state = State::Size;
                }
                State::Trailer(MAX_TRAILERS) => return Err(Error::Malformed),
                State::Trailer(lines) => {
                    let Some(line) = line(buffer)? else { return Ok(None) };
                    self.state = if line.is_empty() { State::End } else { State::Trailer(lines + 1) };
                }
            }
        }
    }

    /// The connection ended in order; says whether that ends the body whole.
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

    const fn after(&self, left: u64) -> State {
        match (self.state, left) {
            (State::Data(_), 0) => State::End,
            (State::Data(_), left) => State::Data(left),
            (_, 0) => State::Break,
            (_, left) => State::Chunk(left),
        }
    }
}

fn chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            buffer.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() < MAX_LINE_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(Error::Malformed),
    }
}

/// Takes a line off `buffer`, without its end; `None` if it is not whole yet.
fn line(buffer: &mut BytesMut) -> Result<Option<BytesMut>> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() < MAX_LINE_BYTES { Ok(None) } else { Err(Error::Malformed) };
    };
    let mut line = buffer.split_to(end + 1);
    line.truncate(end);
    if line.last() == Some(&b'\r') {
        line.truncate(end - 1);
    }
    Ok(Some(line))
}

/// The declared length; several that differ, or no number, are an error.
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

/// Whether the body comes in chunks; any other encoding of the transfer is an error.
fn chunked(headers: &HeaderMap) -> Result<bool> {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(value) = values.next() else { return Ok(false) };
    let plain = value.to_str().is_ok_and(|text| text.trim().eq_ignore_ascii_case("chunked"));
    if plain && values.next().is_none() { Ok(true) } else { Err(Error::Ambiguous) }
}
