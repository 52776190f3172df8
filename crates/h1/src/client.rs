//! A client connection to a server, which sends one request at a time and reads complete answers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{HeaderMap, HeaderName};
use http::{Method, StatusCode};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::body::{Decoder, Framing};
use crate::budget::{Budget, Reservation};
use crate::error::Error;
use crate::payload::{Payload, Remainder};
use crate::{encode, head};

/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;
/// Maximum number of interim answers and answers to earlier requests that are skipped for one request.
const MAX_SKIPPED: usize = 16;
/// Spare buffer capacity for each read, in bytes.
const READ_BYTES: usize = 4_096;
/// Size of a body up to which it is copied behind the head.
const SMALL_BODY_BYTES: usize = 16_384;
/// Idle time before, and interval between, TCP keep-alive probes; the system counts in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Why there is no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The connection ended before any byte of the request was written.
    #[error("the connection ended before any byte of the request was sent")]
    Unsent,
    /// The connection ended after bytes of the request were written and before the head of its answer was complete.
    #[error("the connection was lost without an answer")]
    Lost,
    /// The answer was cut short.
    #[error("the answer was cut short")]
    Cut,
    /// The received bytes are not a valid answer.
    #[error("the answer is not valid HTTP/1.1")]
    Malformed,
    /// The answer declares a body larger than allowed.
    #[error("the answer is too large")]
    TooLarge,
    /// The received bytes exceed a limit: of the head, of the body, of the memory budget, or of skipped answers.
    #[error("the answer exceeds a limit")]
    LimitExceeded,
}

/// A request.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// The method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a str,
    /// All headers except those that frame the body.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: &'a Payload,
    /// Maximum size of the answer's body, in bytes.
    pub max_answer_bytes: usize,
    /// Memory budget for the answer's head and body while they are read.
    pub budget: &'a Budget,
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the end of the body was declared by its framing; otherwise it ended with the connection.
    pub framed: bool,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

impl Answer {
    /// Returns how long the server keeps an idle connection, from its `Keep-Alive` header; `None` if it declares no
    /// timeout.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        let value = head::text(&self.headers, &HeaderName::from_static("keep-alive"))?;
        let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
        let seconds = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?.1.trim().parse().ok()?;
        Some(Duration::from_secs(seconds))
    }
}

/// A connection to a server.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Whether a request was sent before.
    used: bool,
}

impl Connection {
    /// Connects to `address`; the connection ends if sent bytes stay unacknowledged for `user_timeout`.
    pub async fn open(address: SocketAddr, user_timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(user_timeout))?;
        let keepalive = socket2::TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        socket.set_tcp_keepalive(&keepalive)?;
        Ok(Self { stream, buffer: BytesMut::new(), used: false })
    }

    /// Returns whether the connection can carry a request: it is open, and no unexpected bytes have arrived.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty() && read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether a request was sent before, so that an answer may belong to an earlier one.
    pub const fn used(&self) -> bool {
        self.used
    }

    /// Sends `call` and returns its complete answer. Answers for which `is_ours` returns false belong to an earlier
    /// request and are dropped.
    pub async fn exchange(
        &mut self,
        call: Call<'_>,
        is_ours: impl Fn(&head::Response) -> bool,
    ) -> Result<Answer, Fault> {
        self.used = true;
        let mut out = BytesMut::new();
        encode::request(&mut out, call.method, call.target, call.headers, call.body.len());
        // The body is sent from where it is: a copy of a large one could exceed the machine's memory.
        let mut body = Remainder::new(call.body);
        let length = out.len() + body.len();
        let mut reading = Reading::new(call);
        let (mut reader, mut writer) = self.stream.split();
        let mut writable = true;
        loop {
            if let Some(answer) = reading.advance(&mut self.buffer, &is_ours)? {
                let reusable = answer.reusable && out.is_empty() && body.is_empty() && self.buffer.is_empty();
                return Ok(Answer { reusable, ..answer });
            }
            self.buffer.reserve(READ_BYTES);
            tokio::select! {
                written = write_next(&mut writer, &mut out, &mut body), if writable && !(out.is_empty() && body.is_empty()) => {
                    // An answer may still arrive: a server may answer before it has read the whole body.
                    writable = written.is_ok_and(|bytes| bytes > 0);
                    if !writable && out.len() + body.len() == length {
                        return Err(Fault::Unsent);
                    }
                }
                read = reader.read_buf(&mut self.buffer) => match read {
                    Ok(bytes) if bytes > 0 => {}
                    Ok(_) if writable => return reading.end().ok_or(reading.fault(out.len() + body.len() == length)),
                    // The system reports the error of a connection once. A write has taken it, so this may be a reset.
                    Ok(_) | Err(_) => return Err(reading.fault(out.len() + body.len() == length)),
                }
            }
        }
    }
}

/// Writes a part of a request: of its head, or of its body once the head is written. A small body goes with the head, since each
/// write costs a call.
async fn write_next<W>(writer: &mut W, head: &mut BytesMut, body: &mut Remainder) -> io::Result<usize>
where
    W: tokio::io::AsyncWrite + Unpin,
{
    if !head.is_empty() && body.len() <= SMALL_BODY_BYTES {
        body.drain_into(head);
    }
    if !head.is_empty() {
        return writer.write_buf(head).await;
    }
    let written = writer.write(body.next()).await?;
    body.advance(written);
    Ok(written)
}

/// The answer as far as it has been received.
struct Reading<'a> {
    call: Call<'a>,
    head: Option<head::Response>,
    decoder: Decoder,
    body: BytesMut,
    reservation: Reservation<'a>,
    /// Bytes of the body that have been received.
    length: usize,
    /// Whether the answer belongs to an earlier request.
    stray: bool,
    /// Number of heads that were skipped.
    skipped: usize,
}

impl<'a> Reading<'a> {
    fn new(call: Call<'a>) -> Self {
        Self {
            call,
            head: None,
            decoder: Decoder::new(Framing::Length(0)),
            body: BytesMut::new(),
            reservation: call.budget.reserve(),
            length: 0,
            stray: false,
            skipped: 0,
        }
    }

    /// Decodes the received bytes in `buffer`; returns the answer once it is complete.
    fn advance(
        &mut self,
        buffer: &mut BytesMut,
        is_ours: impl Fn(&head::Response) -> bool,
    ) -> Result<Option<Answer>, Fault> {
        loop {
            if self.head.is_none() && !self.read_head(buffer, &is_ours)? {
                return if self.reservation.hold(buffer.len()) { Ok(None) } else { Err(Fault::LimitExceeded) };
            }
            while let Some(part) = self.decoder.decode(buffer).map_err(fault)? {
                self.append(&part)?;
            }
            if !self.decoder.is_complete() {
                return Ok(None);
            }
            let body = self.body.split().freeze();
            let Some(head) = self.head.take() else { return Ok(None) };
            if !self.stray {
                return Ok(Some(answer(head, body, true)));
            }
        }
    }

    /// Appends a part of the body; the parts of a stray answer are counted and dropped.
    fn append(&mut self, part: &[u8]) -> Result<(), Fault> {
        self.length += part.len();
        if self.length > self.call.max_answer_bytes || (!self.stray && !self.reservation.grow(part.len())) {
            return Err(Fault::LimitExceeded);
        }
        if !self.stray {
            self.body.extend_from_slice(part);
        }
        Ok(())
    }

    /// Reads the head of an answer that is not interim; returns whether it is complete.
    fn read_head(&mut self, buffer: &mut BytesMut, is_ours: impl Fn(&head::Response) -> bool) -> Result<bool, Fault> {
        loop {
            let Some(head) = head::Response::parse(buffer, MAX_HEAD_BYTES).map_err(fault)? else {
                return Ok(false);
            };
            if head.status == StatusCode::SWITCHING_PROTOCOLS {
                // Nobody asked for another protocol, and what follows is none of HTTP.
                return Err(Fault::Malformed);
            }
            let interim = head.status.is_informational();
            self.stray = !interim && !is_ours(&head);
            self.skipped += usize::from(interim || self.stray);
            if self.skipped > MAX_SKIPPED {
                return Err(Fault::LimitExceeded);
            }
            if interim {
                continue;
            }
            let framing = Framing::of_response(self.call.method, head.status, &head.headers).map_err(fault)?;
            if matches!(framing, Framing::Length(length) if length > self.call.max_answer_bytes as u64) {
                return Err(Fault::TooLarge);
            }
            self.length = 0;
            if self.stray && framing == Framing::UntilClose {
                return Err(Fault::Malformed);
            }
            self.decoder = Decoder::new(framing);
            self.head = Some(head);
            return Ok(true);
        }
    }

    /// Handles the orderly end of the connection: returns the answer if that completes it.
    fn end(&mut self) -> Option<Answer> {
        if self.stray || !self.decoder.until_close() {
            return None;
        }
        let head = self.head.take()?;
        Some(answer(head, self.body.split().freeze(), false))
    }

    /// Returns the fault if the connection ends now; `unsent` means that no byte of the request was written.
    fn fault(&self, unsent: bool) -> Fault {
        match &self.head {
            Some(_) if !self.stray => Fault::Cut,
            _ if unsent => Fault::Unsent,
            _ => Fault::Lost,
        }
    }
}

fn answer(head: head::Response, body: Bytes, framed: bool) -> Answer {
    Answer { status: head.status, headers: head.headers, body, framed, reusable: framed && head.keep_alive }
}

fn fault(error: Error) -> Fault {
    match error {
        Error::HeadTooLarge | Error::BodyTooLarge => Fault::LimitExceeded,
        Error::Cut => Fault::Cut,
        Error::Malformed | Error::Ambiguous => Fault::Malformed,
    }
}
