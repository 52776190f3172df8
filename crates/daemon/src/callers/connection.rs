//! One caller connection: pipelined requests are read ahead, run concurrently and answered in order of arrival.

use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use bytes::Buf as _;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesOrdered;
use h1::memory::{Hold, Usage};
use h1::{Payload, head};
use http::Method;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::sync::watch;
use tokio::time::Instant;

use super::arrival::Arrivals;
use super::buffer::Buffer;
use super::job::{self, Job, ReadyReply};
use super::limits::Limits;
use super::parser::{Parsed, Parser};
use super::purpose::Purpose;
use super::reply::Reply;
use super::slots::{Activity, Slot};
use super::stop::{Start, Stop};
use crate::Context;

/// Maximum number of requests of one connection that run concurrently.
const MAX_PIPELINED: usize = 16;
/// Buffer space reserved before each read, in bytes.
const READ_BYTES: usize = 4_096;
/// Unparsed input, in bytes, beyond which no more is read from the socket; a head may be longer.
const MAX_READ_AHEAD_BYTES: usize = 65_536;
/// Unsent reply bytes beyond which no further request of this connection is started.
const MAX_UNSENT_BYTES: usize = 65_536;
/// Unsent reply bytes that a connection may keep although the memory for callers is used up, such as those of a refusal.
const MAX_KEPT_BYTES: usize = 4_096;
/// Bytes of a body that must arrive within `callers.body_timeout_ms`.
const MIN_BODY_PROGRESS_BYTES: usize = 1_024;
/// Longest sleep of a connection on which nothing happens.
const MAX_SLEEP: Duration = Duration::from_hours(1);
/// How long a caller may take to read the last reply and close before the connection is dropped.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// A complete request from a caller.
#[derive(Debug)]
pub struct Incoming {
    /// The request line and headers.
    pub head: head::Request,
    /// The whole body.
    pub body: Payload,
    /// The IP address of the connected caller.
    pub peer: IpAddr,
    /// When the whole request had arrived.
    pub arrived_at: Time,
}

/// A connection and its requests in progress. `R` starts the handling of a request, `F` is the future it returns.
struct Connection<R, F: Future> {
    context: Arc<Context>,
    handler: R,
    /// What the address is for at which the connection was accepted.
    purpose: Purpose,
    peer: IpAddr,
    parser: Parser,
    input: Buffer,
    /// When the bytes of `input` and of the request that is being parsed arrived.
    arrivals: Arrivals,
    output: Buffer,
    /// A request that was read and is not started yet; it may wait until all earlier replies are ready.
    deferred: Option<Incoming>,
    /// Replies of the running requests, in order of arrival.
    replies: FuturesOrdered<F>,
    /// What the connection holds of the memory budget, besides the bodies of complete requests.
    hold: Hold,
    /// Bytes received and sent.
    moved: u64,
    /// Progress of the request body that is arriving: the bytes so far, and when it was last enough.
    body_progress: (usize, Instant),
    /// Whether part of a head has arrived, for which `read_deadline` is set.
    in_head: bool,
    /// Bytes that were read since the connection is closing, and dropped.
    discarded: usize,
    /// Set once no further request is read; the connection ends when the remaining replies are written.
    closing: bool,
    /// Whether a request was answered.
    has_answered: bool,
    /// When the connection was accepted.
    accepted_at: Time,
    /// When a partial request must be complete; for an idle connection, when it is closed.
    read_deadline: Instant,
    /// When bytes were last sent, or when the first bytes were added to an empty output buffer.
    last_write: Instant,
}

/// Serves one connection until it ends or its slot is needed for another one; `purpose` is that of the address at which it was
/// accepted.
pub async fn serve(
    context: Arc<Context>,
    purpose: Purpose,
    mut stream: TcpStream,
    slot: Slot,
    mut stop: watch::Receiver<Stop>,
) {
    let mut connection = Connection::new(context, purpose, slot.address(), job::handle);
    let (mut reader, mut writer) = stream.split();
    loop {
        let current = *stop.borrow_and_update();
        if !connection.start_requests(&current, reader.as_ref()) {
            connection.context.metrics.callers_disconnected.inc();
            return log::info!(request = "-"; "callers: request not started, its caller has left");
        }
        if !connection.fits() {
            return log::info!(request = "-"; "callers: connection dropped, no memory for the answers that its caller does not read");
        }
        slot.set(connection.activity(), connection.moved, connection.context.now());
        if connection.is_finished() {
            break;
        }
        let may_read = connection.may_read();
        connection.prepare_buffers();
        let deadline = connection.next_deadline(&current);
        tokio::select! {
            // Bytes that have arrived are read before an idle connection is closed, however late this task runs.
            biased;
            Some(ready) = connection.replies.next(), if !connection.replies.is_empty() => {
                connection.write(&ready, &stop.borrow());
                // What the caller takes at once needs no memory.
                if connection.flush(&writer).is_err() {
                    return;
                }
            }
            written = writer.write_buf(&mut connection.output.bytes), if !connection.output.bytes.is_empty() => {
                match written {
                    Ok(bytes) if bytes > 0 => connection.moved += bytes as u64,
                    Ok(_) | Err(_) => return,
                }
                connection.last_write = Instant::now();
            }
            read = reader.read_buf(&mut connection.input.bytes), if may_read => match read {
                Ok(bytes) if bytes > 0 => {
                    connection.moved += bytes as u64;
                    connection.arrivals.record(bytes, connection.context.now());
                }
                // The caller disconnected: dropping the connection abandons its running requests.
                Ok(_) | Err(_) => return,
            },
            () = tokio::time::sleep_until(deadline.unwrap_or(connection.read_deadline)), if deadline.is_some() => {
                if !connection.output.bytes.is_empty() {
                    return log::info!(request = "-"; "callers: connection dropped, the caller does not read its answer");
                }
                connection.expire();
            }
            () = connection.hold.gives_way() => {
                if !connection.hold.must_give_way() {
                    continue;
                }
                if !connection.output.bytes.is_empty() {
                    return log::info!(request = "-"; "callers: connection dropped, its caller does not read and others need the memory");
                }
                connection.give_way();
            }
            () = slot.gives_way() => return connection.release(&writer),
            changed = stop.changed() => if changed.is_err() { return },
        }
    }
    // What it holds is free for others while the caller reads the last reply.
    drop(connection);
    tokio::select! {
        () = linger(&mut stream) => {}
        () = slot.gives_way() => {}
    }
}

/// Whether the caller has closed its connection behind what was read so far. A connection that waited to be accepted brings its request
/// and its end at the same moment, and the event loop reports the end only after the request was read.
fn has_left(stream: &TcpStream) -> bool {
    let mut next = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut next) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
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
    R: Fn(Arc<Context>, Purpose, Job) -> F,
    F: Future<Output = ReadyReply>,
{
    fn new(context: Arc<Context>, purpose: Purpose, peer: IpAddr, handler: R) -> Self {
        let limits = purpose.limits(context.caller_limits());
        let parser = Parser::new(limits, context.settings.callers.chunked_bodies);
        let accepted_at = context.now();
        let read_deadline = Instant::now() + limits.header_timeout;
        let hold = context.caller_memory.open(accepted_at);
        Self {
            context,
            handler,
            purpose,
            peer,
            parser,
            input: Buffer::new(),
            arrivals: Arrivals::new(),
            output: Buffer::new(),
            deferred: None,
            replies: FuturesOrdered::new(),
            hold,
            moved: 0,
            body_progress: (0, read_deadline),
            in_head: false,
            discarded: 0,
            closing: false,
            has_answered: false,
            accepted_at,
            read_deadline,
            last_write: read_deadline,
        }
    }

    /// Returns the limits in force.
    fn limits(&self) -> Limits {
        self.purpose.limits(self.context.caller_limits())
    }

    /// Whether more is read from the socket.
    fn may_read(&self) -> bool {
        let max = MAX_READ_AHEAD_BYTES.max(self.limits().max_header_bytes);
        self.discarded + self.input.bytes.len() < max
    }

    /// Makes room for the next read, and frees what the buffers no longer need.
    fn prepare_buffers(&mut self) {
        if self.closing {
            // Nothing of it is parsed.
            self.discarded += self.input.bytes.len();
            self.clear_input();
        }
        self.input.release(READ_BYTES);
        self.input.reserve(READ_BYTES);
        self.output.release(0);
    }

    /// Whether all replies are written and no further request is read.
    fn is_finished(&self) -> bool {
        self.closing && self.replies.is_empty() && self.output.bytes.is_empty()
    }

    /// Returns what the connection does, by which it may have to give way to a new one.
    fn activity(&self) -> Activity {
        if self.is_finished() {
            Activity::Ending
        } else if !self.replies.is_empty() || !self.output.bytes.is_empty() || self.deferred.is_some() {
            Activity::Busy
        } else if self.parser.has_partial(&self.input.bytes) || !self.has_answered {
            Activity::Receiving
        } else {
            Activity::Idle
        }
    }

    /// Accounts for what the connection holds. If there is no room for the request that is arriving, refuses it; returns false
    /// if the connection must end.
    fn fits(&mut self) -> bool {
        let now = self.context.now();
        if self.hold.set(self.usage(), now) {
            return true;
        }
        if !self.closing && self.parser.has_partial(&self.input.bytes) {
            self.give_way();
            if self.hold.set(self.usage(), now) {
                return true;
            }
        }
        self.output.bytes.len() <= MAX_KEPT_BYTES
    }

    /// Whether there is room for a complete request that takes `request_bytes` of memory. It is asked before the request starts,
    /// since one that has started is answered.
    fn admits(&self, request_bytes: usize) -> bool {
        let usage = self.usage();
        let usage = Usage { bytes: usage.bytes + request_bytes, unfinished: false, ..usage };
        self.hold.set(usage, self.context.now())
    }

    /// Returns what the connection holds, without the bodies of complete requests.
    fn usage(&self) -> Usage {
        let answers = self.output.allocated();
        let waits = self.parser.has_partial(&self.input.bytes) || !self.output.bytes.is_empty();
        Usage {
            bytes: self.input.allocated() + self.parser.body_capacity() + answers,
            answers,
            moved: self.moved,
            unfinished: self.replies.is_empty() && waits,
        }
    }

    /// Sends as much of the output as the system takes at once.
    fn flush(&mut self, writer: &WriteHalf<'_>) -> io::Result<()> {
        match writer.try_write(&self.output.bytes) {
            Ok(bytes) => {
                self.output.bytes.advance(bytes);
                self.output.release(0);
                self.moved += bytes as u64;
                self.last_write = Instant::now();
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Refuses the request that is arriving, as others need the memory, and ends the connection.
    fn give_way(&mut self) {
        self.context.metrics.memory_refusals.inc();
        self.closing = true;
        self.clear_input();
        self.push(Job::Refuse(Kind::MemoryShort));
    }

    /// Ends the connection in favour of a new one. Its caller is told of a request with an incomplete body if that can be sent at
    /// once.
    fn release(&mut self, writer: &WriteHalf<'_>) {
        self.context.metrics.connections_displaced.inc();
        log::info!(request = "-", caller:% = self.peer; "callers: connection closed, a new one needs its place");
        self.expire();
        if let Err(error) = self.flush(writer) {
            log::debug!("callers: caller not told of the end of its connection reason={:?}", error.to_string());
        }
    }

    /// Drops what has arrived of further requests.
    fn clear_input(&mut self) {
        self.input = Buffer::new();
        self.parser.clear();
    }

    /// When the connection times out if the caller neither reads nor sends anything; `None` while only requests run.
    fn next_deadline(&self, stop: &Stop) -> Option<Instant> {
        if !self.output.bytes.is_empty() {
            return Some(self.last_write + self.limits().idle_timeout);
        }
        if !self.replies.is_empty() {
            return None;
        }
        let closes_at = stop.closes_at(self.accepted_at, self.parser.has_partial(&self.input.bytes));
        let until_close = closes_at.since(self.context.now());
        Some(self.read_deadline.min(Instant::now() + until_close.min(MAX_SLEEP)))
    }

    /// Starts the requests that were received completely, within the limits of the connection; returns false if their caller has
    /// left.
    fn start_requests(&mut self, stop: &Stop, stream: &TcpStream) -> bool {
        while !self.closing && self.replies.len() < MAX_PIPELINED && self.output.bytes.len() < MAX_UNSENT_BYTES {
            if stop.holds(self.replies.len()) {
                return true;
            }
            let Some(incoming) = self.deferred.take().or_else(|| self.parse()) else { return true };
            let is_first = !self.has_answered && self.replies.is_empty();
            if is_first && has_left(stream) {
                return false;
            }
            let demand = self.purpose.demand(&self.context, &incoming);
            match stop.start(demand, self.replies.len(), self.context.now()) {
                Start::Now => self.start(incoming),
                Start::Refused => self.push(Job::Decline(Box::new(incoming))),
                Start::AfterEarlier | Start::Never => {
                    self.deferred = Some(incoming);
                    return true;
                }
            }
        }
        true
    }

    /// Returns the next request that has arrived completely. Input that is no acceptable request is answered as the last
    /// of the connection.
    fn parse(&mut self) -> Option<Incoming> {
        let was_in_body = self.parser.in_body();
        self.parser.set_limits(self.limits());
        match self.parser.next(&mut self.input.bytes) {
            Parsed::Incomplete => self.wait_for_input(was_in_body),
            Parsed::Refused(kind) => {
                self.closing = true;
                self.push(Job::Refuse(self.purpose.reason(&self.context, kind)));
            }
            Parsed::Request(head, body) => {
                self.in_head = false;
                let memory = body.capacity() + head.memory_bytes();
                if !self.admits(memory) {
                    self.give_way();
                    return None;
                }
                let place = self.hold.hand_on(memory);
                let body = body.finish().with_place(place);
                let arrived_at = self.arrivals.take(self.input.bytes.len(), self.context.now());
                return Some(Incoming { head, body, peer: self.peer, arrived_at });
            }
        }
        None
    }

    /// Sends `100 Continue` if the caller expects it, and sets the read deadline when a new request has begun.
    fn wait_for_input(&mut self, was_in_body: bool) {
        if self.parser.take_expects_continue() {
            self.output.bytes.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let now = Instant::now();
        if self.parser.in_body() {
            let (before, _) = self.body_progress;
            let bytes = self.parser.body_bytes();
            // A body must progress; how long it may take in all follows from its size.
            if !was_in_body || bytes >= before + MIN_BODY_PROGRESS_BYTES {
                self.body_progress = (bytes, now);
                self.read_deadline = now + Duration::from_millis(self.context.settings.callers.body_timeout_ms);
            }
        } else if !self.input.bytes.is_empty() && !self.in_head {
            self.read_deadline = now + self.limits().header_timeout;
        }
        self.in_head = !self.parser.in_body() && !self.input.bytes.is_empty();
    }

    /// Dispatches a request; one that asks for the end of its connection is the last.
    fn start(&mut self, incoming: Incoming) {
        self.closing |= !incoming.head.keep_alive;
        self.push(Job::Run(Box::new(incoming)));
    }

    fn push(&mut self, job: Job) {
        self.replies.push_back((self.handler)(Arc::clone(&self.context), self.purpose, job));
    }

    /// Adds a reply to the output. During a stop, the last one announces that the connection closes.
    fn write(&mut self, ready: &ReadyReply, stop: &Stop) {
        if self.output.bytes.is_empty() {
            self.last_write = Instant::now();
        }
        self.has_answered = true;
        let last = ready.last || stop.is_last_reply(self.replies.len());
        ready.reply.write(&mut self.output.bytes, &ready.method, last);
        self.output.record();
        if last {
            self.closing = true;
            // Requests after the last reply count as not read; those already running are abandoned.
            self.replies.clear();
            self.deferred = None;
        }
        self.read_deadline = Instant::now() + self.limits().idle_timeout;
    }

    /// Handles the read deadline: a request with an incomplete body is answered with an error; a connection that is
    /// idle or has sent only part of a head is closed without a reply.
    fn expire(&mut self) {
        self.closing = true;
        if self.parser.in_body() {
            let reply = Reply::error(Kind::SlowSender, &self.context.dialect);
            self.purpose.complete(reply).write(&mut self.output.bytes, &Method::GET, true);
        }
        self.clear_input();
    }
}
