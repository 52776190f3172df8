//! One caller connection: pipelined requests are read ahead, run concurrently and answered in order of arrival.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use base::error::Kind;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use futures_util::stream::FuturesOrdered;
use h1::body::{Decoder, Framing};
use h1::head;
use http::Method;
use http::header::{EXPECT, TRANSFER_ENCODING};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use super::reply::Reply;
use super::{forward, route};
use crate::Context;

/// Maximum number of requests of one connection that run concurrently.
const MAX_PIPELINED: usize = 16;
/// Buffer space reserved before each read, in bytes.
const READ_BYTES: usize = 4_096;
/// Unparsed input, in bytes, beyond which no more is read from the socket.
const MAX_READ_AHEAD_BYTES: usize = 65_536;
/// Unsent reply bytes beyond which no further request of this connection is started.
const MAX_UNSENT_BYTES: usize = 65_536;
/// How long a caller may take to read the last reply and close before the connection is dropped.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// A complete request from a caller.
#[derive(Debug)]
pub struct Incoming {
    /// The request line and headers.
    pub head: head::Request,
    /// The whole body.
    pub body: Bytes,
    /// The IP address of the connected caller.
    pub peer: IpAddr,
}

/// A reply that is ready to be written.
struct ReadyReply {
    /// The request's method: a reply to `HEAD` has no body.
    method: Method,
    reply: Reply,
    /// Whether the connection ends after this reply.
    last: bool,
}

/// The progress of a planned shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No shutdown is in progress.
    Open,
    /// Replies ask callers to reconnect elsewhere; requests that still arrive are served.
    Leaving,
    /// The ports stop accepting connections, and idle connections are closed.
    Closing,
}

/// What to do for one request that was read.
enum Job {
    Run(Box<Incoming>),
    Refuse(Kind),
}

/// A request whose head was parsed and whose body is incomplete.
struct Partial {
    head: head::Request,
    decoder: Decoder,
    body: BytesMut,
}

/// The result of parsing the buffered input.
enum Parsed {
    Request(head::Request, Bytes),
    Refused(Kind),
    /// More bytes are needed.
    Incomplete,
}

/// Parses requests from a buffer, within the configured limits.
struct Parser {
    max_head: usize,
    max_body: u64,
    /// Whether request bodies with `Transfer-Encoding` are accepted.
    allow_chunked: bool,
    partial: Option<Partial>,
    /// Set while the caller waits for `100 Continue` before it sends its body.
    expects_continue: bool,
}

impl Parser {
    /// Parses the next request; `buffer` may hold any part of it.
    fn next(&mut self, buffer: &mut BytesMut) -> Parsed {
        match self.try_next(buffer) {
            Ok(Some((head, body))) => Parsed::Request(head, body),
            Ok(None) => Parsed::Incomplete,
            Err(kind) => Parsed::Refused(kind),
        }
    }

    fn try_next(&mut self, buffer: &mut BytesMut) -> Result<Option<(head::Request, Bytes)>, Kind> {
        if self.partial.is_none() {
            let Some(head) = head::Request::parse(buffer, self.max_head).map_err(error_kind)? else {
                return Ok(None);
            };
            self.partial = Some(self.start_body(head)?);
        }
        let Some(partial) = &mut self.partial else { return Ok(None) };
        while let Some(chunk) = partial.decoder.decode(buffer).map_err(error_kind)? {
            if partial.body.len() as u64 + chunk.len() as u64 > self.max_body {
                return Err(Kind::BodyTooLarge);
            }
            partial.body.extend_from_slice(&chunk);
        }
        if !partial.decoder.is_complete() {
            return Ok(None);
        }
        self.expects_continue = false;
        Ok(self.partial.take().map(|partial| (partial.head, partial.body.freeze())))
    }

    /// Checks the framing of a request's body against the limits and prepares to decode it.
    fn start_body(&mut self, head: head::Request) -> Result<Partial, Kind> {
        let framing = Framing::of_request(&head.headers);
        if head.headers.contains_key(TRANSFER_ENCODING) && !self.allow_chunked {
            return Err(Kind::LengthRequired);
        }
        let framing = framing.map_err(error_kind)?;
        if matches!(framing, Framing::Length(length) if length > self.max_body) {
            return Err(Kind::BodyTooLarge);
        }
        self.expects_continue = head.headers.contains_key(EXPECT);
        Ok(Partial { head, decoder: Decoder::new(framing), body: BytesMut::new() })
    }

    /// Whether part of a request has arrived.
    fn has_partial(&self, buffer: &BytesMut) -> bool {
        self.partial.is_some() || !buffer.is_empty()
    }
}

fn error_kind(error: h1::Error) -> Kind {
    match error {
        h1::Error::Ambiguous => Kind::AmbiguousFraming,
        h1::Error::BodyTooLarge => Kind::BodyTooLarge,
        h1::Error::Malformed | h1::Error::HeadTooLarge | h1::Error::Cut => Kind::Malformed,
    }
}

async fn handle(context: Arc<Context>, job: Job) -> ReadyReply {
    match job {
        Job::Run(incoming) => {
            let (method, keep_alive) = (incoming.head.method.clone(), incoming.head.keep_alive);
            let reply = route(&context, *incoming).await;
            ReadyReply { method, last: !keep_alive || reply.close, reply }
        }
        Job::Refuse(kind) => {
            ReadyReply { method: Method::GET, reply: Reply::error(kind, &context.dialect), last: true }
        }
    }
}

/// A connection and its requests in progress. `R` starts the handling of a request, `F` is the future it returns.
struct Connection<R, F: Future> {
    context: Arc<Context>,
    handler: R,
    peer: IpAddr,
    parser: Parser,
    input: BytesMut,
    output: BytesMut,
    /// A non-idempotent request that waits until all earlier replies are ready.
    deferred: Option<Incoming>,
    /// Replies of the running requests, in order of arrival.
    replies: FuturesOrdered<F>,
    /// Set once no further request is read; the connection ends when the remaining replies are written.
    closing: bool,
    /// When a partial request must be complete; for an idle connection, when it is closed.
    read_deadline: Instant,
    /// When bytes were last sent, or when the first bytes were added to an empty output buffer.
    last_write: Instant,
}

/// Serves one connection until it ends.
pub async fn serve(context: Arc<Context>, mut stream: TcpStream, peer: IpAddr, mut phase: watch::Receiver<Phase>) {
    let mut connection = Connection::new(context, peer, handle);
    let (mut reader, mut writer) = stream.split();
    loop {
        connection.start_requests(*phase.borrow() == Phase::Closing);
        if connection.is_finished() {
            break;
        }
        let may_read = connection.input.len() < MAX_READ_AHEAD_BYTES;
        connection.input.reserve(READ_BYTES);
        let deadline = connection.next_deadline();
        tokio::select! {
            Some(ready) = connection.replies.next(), if !connection.replies.is_empty() => {
                connection.write(&ready, *phase.borrow() >= Phase::Leaving);
            }
            read = reader.read_buf(&mut connection.input), if may_read => match read {
                Ok(bytes) if bytes > 0 => {}
                // The caller disconnected: dropping the connection abandons its running requests.
                Ok(_) | Err(_) => return,
            },
            written = writer.write_buf(&mut connection.output), if !connection.output.is_empty() => {
                if !written.is_ok_and(|bytes| bytes > 0) {
                    return;
                }
                connection.last_write = Instant::now();
            }
            () = tokio::time::sleep_until(deadline.unwrap_or(connection.read_deadline)), if deadline.is_some() => {
                if !connection.output.is_empty() {
                    return log::info!("callers: connection dropped, the caller does not read its answer");
                }
                connection.expire();
            }
            changed = phase.changed() => if changed.is_err() { return },
        }
    }
    linger(&mut stream).await;
}

/// Shuts down sending and waits for the caller to close: closing at once could reset the connection before the caller
/// has read the last reply.
async fn linger(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut discarded = [0; 512];
    let drained = async { while stream.read(&mut discarded).await.is_ok_and(|bytes| bytes > 0) {} };
    if tokio::time::timeout(LINGER_TIMEOUT, drained).await.is_err() {
        log::debug!("callers: connection dropped, the caller did not close");
    }
}

impl<R, F> Connection<R, F>
where
    R: Fn(Arc<Context>, Job) -> F,
    F: Future<Output = ReadyReply>,
{
    fn new(context: Arc<Context>, peer: IpAddr, handler: R) -> Self {
        let settings = &context.settings.callers;
        let parser = Parser {
            max_head: settings.max_header_bytes as usize,
            max_body: settings.max_body_bytes,
            allow_chunked: settings.chunked_bodies,
            partial: None,
            expects_continue: false,
        };
        let read_deadline = Instant::now() + Duration::from_millis(settings.header_timeout_ms);
        Self {
            context,
            handler,
            peer,
            parser,
            input: BytesMut::new(),
            output: BytesMut::new(),
            deferred: None,
            replies: FuturesOrdered::new(),
            closing: false,
            read_deadline,
            last_write: read_deadline,
        }
    }

    /// Whether all replies are written and no further request is read.
    fn is_finished(&self) -> bool {
        self.closing && self.replies.is_empty() && self.output.is_empty()
    }

    /// When the connection times out if the caller neither reads nor sends anything; `None` while only requests run.
    fn next_deadline(&self) -> Option<Instant> {
        if !self.output.is_empty() {
            return Some(self.last_write + Duration::from_millis(self.context.settings.callers.idle_timeout_ms));
        }
        self.replies.is_empty().then_some(self.read_deadline)
    }

    /// Whether no part of a further request has been received.
    fn no_further_input(&self) -> bool {
        self.deferred.is_none() && !self.parser.has_partial(&self.input)
    }

    /// Starts the requests that were received completely, within the limits of the connection.
    fn start_requests(&mut self, stopping: bool) {
        while !self.closing && self.replies.len() < MAX_PIPELINED && self.output.len() < MAX_UNSENT_BYTES {
            if let Some(deferred) = self.deferred.take() {
                self.start(deferred);
                if self.deferred.is_some() {
                    return;
                }
                continue;
            }
            let was_partial = self.parser.has_partial(&self.input);
            match self.parser.next(&mut self.input) {
                Parsed::Incomplete => {
                    self.wait_for_input(was_partial);
                    self.closing |= stopping && self.no_further_input() && self.replies.is_empty();
                    return;
                }
                Parsed::Refused(kind) => {
                    self.closing = true;
                    self.push(Job::Refuse(kind));
                }
                Parsed::Request(head, body) => self.start(Incoming { head, body, peer: self.peer }),
            }
        }
    }

    /// Sends `100 Continue` if the caller expects it, and sets the read deadline when a new request has begun.
    fn wait_for_input(&mut self, was_partial: bool) {
        let settings = &self.context.settings.callers;
        if self.parser.expects_continue {
            self.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            self.parser.expects_continue = false;
        }
        if self.parser.has_partial(&self.input) && !was_partial {
            let in_body = self.parser.partial.is_some();
            let wait = if in_body { settings.body_timeout_ms } else { settings.header_timeout_ms };
            self.read_deadline = Instant::now() + Duration::from_millis(wait);
        }
    }

    /// Starts a request. A non-idempotent one is deferred until the earlier replies are ready: if one of them ends the
    /// connection, the caller may send the request again.
    fn start(&mut self, incoming: Incoming) {
        if !self.replies.is_empty() && !forward::is_idempotent(&self.context, &incoming.head) {
            self.deferred = Some(incoming);
            return;
        }
        self.closing |= !incoming.head.keep_alive;
        self.push(Job::Run(Box::new(incoming)));
    }

    fn push(&mut self, job: Job) {
        self.replies.push_back((self.handler)(Arc::clone(&self.context), job));
    }

    /// Adds a reply to the output. While stopping, the last one announces that the connection closes.
    fn write(&mut self, ready: &ReadyReply, stopping: bool) {
        if self.output.is_empty() {
            self.last_write = Instant::now();
        }
        let last = ready.last || (stopping && self.replies.is_empty() && self.no_further_input());
        ready.reply.write(&mut self.output, &ready.method, last);
        if last {
            self.closing = true;
            // Requests after the last reply count as not read; those already running are abandoned.
            self.replies.clear();
            self.deferred = None;
        }
        let idle = Duration::from_millis(self.context.settings.callers.idle_timeout_ms);
        self.read_deadline = Instant::now() + idle;
    }

    /// Handles the read deadline: a request with an incomplete body is answered with an error; a connection that is
    /// idle or has sent only part of a head is closed without a reply.
    fn expire(&mut self) {
        self.closing = true;
        if self.parser.partial.is_some() {
            Reply::error(Kind::SlowSender, &self.context.dialect).write(&mut self.output, &Method::GET, true);
        }
        self.input.clear();
        self.parser.partial = None;
    }
}
