//! One connection towards a server: one request at a time, whole answers.

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
use crate::{encode, head};

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;
/// Interim answers, and answers to earlier requests, that are passed over for one request.
const MAX_PASSED_OVER: usize = 16;
/// Room made for each read, in bytes.
const READ_BYTES: usize = 4_096;
/// Time without traffic after which an open connection is probed; the system counts in whole seconds.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 2;

/// Why there is no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The connection ended before a byte of the request was written.
    #[error("no byte was sent")]
    Unsent,
    /// The connection ended after bytes of the request were written and before an answer began.
    #[error("the connection was lost without an answer")]
    Lost,
    /// The answer was cut short.
    #[error("the answer was cut short")]
    Cut,
    /// The bytes received are no answer.
    #[error("the answer is not valid HTTP/1.1")]
    Malformed,
    /// The answer says that it is larger than allowed.
    #[error("the answer is too large")]
    TooLarge,
    /// Bytes came without an end in sight.
    #[error("the answer does not end")]
    Endless,
}

/// A request.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// The method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a str,
    /// All headers but those that frame the body.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: &'a Bytes,
    /// Largest body of an answer, in bytes.
    pub max_answer_bytes: usize,
    /// Where the bodies of answers are held while they come.
    pub budget: &'a Budget,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the end of the body was told; otherwise the connection's end told it.
    pub framed: bool,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

impl Answer {
    /// How long the server keeps an idle connection, if it says so.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        let value = head::text(&self.headers, &HeaderName::from_static("keep-alive"))?;
        let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
        let seconds = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?.1.trim().parse().ok()?;
        Some(Duration::from_secs(seconds))
    }
}

/// A connection towards a server.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Whether a request was sent before.
    used: bool,
}

impl Connection {
    /// Connects to `address`; bytes that stay unacknowledged for `silence` end the connection.
    pub async fn open(address: SocketAddr, silence: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(silence))?;
        let probes =
            socket2::TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER).with_retries(PROBES);
        socket.set_tcp_keepalive(&probes)?;
        Ok(Self { stream, buffer: BytesMut::new(), used: false })
    }

    /// Whether an idle connection is still of use: it is open, and nothing came that nobody asked for.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty() && read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether a request was sent before, so that an answer may be to an earlier one.
    pub const fn used(&self) -> bool {
        self.used
    }

    /// Sends `call` and gives its whole answer. Answers for which `ours` does not hold belong to an earlier
    /// request and are dropped.
    pub async fn exchange(&mut self, call: Call<'_>, ours: impl Fn(&head::Response) -> bool) -> Result<Answer, Fault> {
        self.used = true;
        let mut out = BytesMut::new();
        encode::request(&mut out, call.method, call.target, call.headers, call.body.len());
        out.extend_from_slice(call.body);
        let length = out.len();
        let mut reading = Reading::new(call);
        let (mut reader, mut writer) = self.stream.split();
        let mut writable = true;
        loop {
            if let Some(answer) = reading.step(&mut self.buffer, &ours)? {
                let reusable = answer.reusable && out.is_empty() && self.buffer.is_empty();
                return Ok(Answer { reusable, ..answer });
            }
            self.buffer.reserve(READ_BYTES);
            tokio::select! {
                written = writer.write_buf(&mut out), if writable && !out.is_empty() => {
                    // An answer may still come: a server may answer before it has read the whole body.
                    writable = written.is_ok_and(|bytes| bytes > 0);
                    if !writable && out.len() == length {
                        return Err(Fault::Unsent);
                    }
                }
                read = reader.read_buf(&mut self.buffer) => match read {
                    Ok(bytes) if bytes > 0 => {}
                    Ok(_) => return reading.end().ok_or(reading.fault(out.len() == length)),
                    Err(_) => return Err(reading.fault(out.len() == length)),
                }
            }
        }
    }
}

/// The answer as far as it has come.
struct Reading<'a> {
    call: Call<'a>,
    head: Option<head::Response>,
    decoder: Decoder,
    body: BytesMut,
    part: Reservation<'a>,
    /// Bytes of the body that have come.
    length: usize,
    stray: bool,
    /// Heads that were passed over.
    passed_over: usize,
}

impl<'a> Reading<'a> {
    fn new(call: Call<'a>) -> Self {
        Self {
            call,
            head: None,
            decoder: Decoder::new(Framing::Length(0)),
            body: BytesMut::new(),
            part: call.budget.reserve(),
            length: 0,
            stray: false,
            passed_over: 0,
        }
    }

    /// Takes what has come; gives the answer once it is whole.
    fn step(&mut self, buffer: &mut BytesMut, ours: impl Fn(&head::Response) -> bool) -> Result<Option<Answer>, Fault> {
        loop {
            if self.head.is_none() && !self.start(buffer, &ours)? {
                return Ok(None);
            }
            while let Some(part) = self.decoder.decode(buffer).map_err(fault)? {
                self.hold(&part)?;
            }
            if !self.decoder.is_complete() {
                return Ok(None);
            }
            let body = self.body.split().freeze();
            let Some(head) = self.head.take() else { return Ok(None) };
            if !self.stray {
                return Ok(Some(whole(head, body, true)));
            }
        }
    }

    /// Keeps a part of the body; what belongs to nobody is only counted.
    fn hold(&mut self, part: &[u8]) -> Result<(), Fault> {
        self.length += part.len();
        if self.length > self.call.max_answer_bytes || (!self.stray && !self.part.grow(part.len())) {
            return Err(Fault::Endless);
        }
        if !self.stray {
            self.body.extend_from_slice(part);
        }
        Ok(())
    }

    /// Reads the head of an answer; says whether there is one.
    fn start(&mut self, buffer: &mut BytesMut, ours: impl Fn(&head::Response) -> bool) -> Result<bool, Fault> {
        loop {
            let Some(head) = head::Response::parse(buffer, MAX_HEAD_BYTES).map_err(fault)? else {
                return Ok(false);
            };
            let interim = head.status.is_informational();
            self.stray = !interim && !ours(&head);
            self.passed_over += usize::from(interim || self.stray);
            if self.passed_over > MAX_PASSED_OVER {
                return Err(Fault::Endless);
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

    /// The connection ended in order: the answer, if that makes it whole.
    fn end(&mut self) -> Option<Answer> {
        if self.stray || !self.decoder.until_close() {
            return None;
        }
        let head = self.head.take()?;
        Some(whole(head, self.body.split().freeze(), false))
    }

    /// What it means that the connection ended now.
    fn fault(&self, unsent: bool) -> Fault {
        match &self.head {
            Some(_) if !self.stray => Fault::Cut,
            _ if unsent => Fault::Unsent,
            _ => Fault::Lost,
        }
    }
}

fn whole(head: head::Response, body: Bytes, framed: bool) -> Answer {
    Answer { status: head.status, headers: head.headers, body, framed, reusable: framed && head.keep_alive }
}

fn fault(error: Error) -> Fault {
    match error {
        Error::HeadTooLarge | Error::BodyTooLarge => Fault::Endless,
        Error::Cut => Fault::Cut,
        Error::Malformed | Error::Ambiguous => Fault::Malformed,
    }
}
