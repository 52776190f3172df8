//! One caller's connection: requests are read ahead and run side by side, and answered in their order.

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

/// Requests of one connection that run at once.
const PIPELINED: usize = 16;
/// Room made for each read, in bytes.
const READ_BYTES: usize = 4_096;
/// Bytes read ahead of the requests that run, at most.
const AHEAD_BYTES: usize = 65_536;
/// Bytes of answers that a caller has not taken yet, beyond which none of its further requests is begun.
const UNTAKEN_BYTES: usize = 65_536;
/// Time for a caller to take the last answer before the connection is dropped.
const LINGER: Duration = Duration::from_secs(2);

/// A whole request.
#[derive(Debug)]
pub struct Incoming {
    /// Its head.
    pub head: head::Request,
    /// Its body.
    pub body: Bytes,
    /// Where it came from.
    pub peer: IpAddr,
}

/// An answer with what it answers.
struct Answered {
    method: Method,
    reply: Reply,
    last: bool,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// None is under way.
    Open,
    /// Callers are asked to go elsewhere; what they still send is served.
    Leaving,
    /// No new work is taken.
    Closing,
}

/// A request as far as it could be read.
enum Step {
    Run(Box<Incoming>),
    Refuse(Kind),
}

/// A request whose body is still coming.
struct Partial {
    head: head::Request,
    decoder: Decoder,
    body: BytesMut,
}

/// What the next bytes came to.
enum Parsed {
    Request(head::Request, Bytes),
    Refused(Kind),
    /// More bytes are needed.
    More,
}

/// Reads requests off a buffer.
struct Reader {
    max_head: usize,
    max_body: u64,
    chunked: bool,
    partial: Option<Partial>,
    /// Set when the caller waits for a word before it sends its body.
    expects: bool,
}

impl Reader {
    fn next(&mut self, buffer: &mut BytesMut) -> Parsed {
        match self.try_next(buffer) {
            Ok(Some((head, body))) => Parsed::Request(head, body),
            Ok(None) => Parsed::More,
            Err(kind) => Parsed::Refused(kind),
        }
    }

    fn try_next(&mut self, buffer: &mut BytesMut) -> Result<Option<(head::Request, Bytes)>, Kind> {
        if self.partial.is_none() {
            let Some(head) = head::Request::parse(buffer, self.max_head).map_err(kind)? else {
                return Ok(None);
            };
            self.partial = Some(self.start(head)?);
        }
        let Some(partial) = &mut self.partial else { return Ok(None) };
        while let Some(part) = partial.decoder.decode(buffer).map_err(kind)? {
            if partial.body.len() as u64 + part.len() as u64 > self.max_body {
                return Err(Kind::BodyTooLarge);
            }
            partial.body.extend_from_slice(&part);
        }
        if !partial.decoder.is_complete() {
            return Ok(None);
        }
        self.expects = false;
        Ok(self.partial.take().map(|partial| (partial.head, partial.body.freeze())))
    }

    fn start(&mut self, head: head::Request) -> Result<Partial, Kind> {
        let framing = Framing::of_request(&head.headers);
        if head.headers.contains_key(TRANSFER_ENCODING) && !self.chunked {
            return Err(Kind::LengthRequired);
        }
        let framing = framing.map_err(kind)?;
        if matches!(framing, Framing::Length(length) if length > self.max_body) {
            return Err(Kind::BodyTooLarge);
        }
        self.expects = head.headers.contains_key(EXPECT);
        Ok(Partial { head, decoder: Decoder::new(framing), body: BytesMut::new() })
    }

    /// Whether a request has begun and is not whole.
    fn begun(&self, buffer: &BytesMut) -> bool {
        self.partial.is_some() || !buffer.is_empty()
    }
}

fn kind(error: h1::Error) -> Kind {
    match error {
        h1::Error::Ambiguous => Kind::AmbiguousFraming,
        h1::Error::BodyTooLarge => Kind::BodyTooLarge,
        h1::Error::Malformed | h1::Error::HeadTooLarge | h1::Error::Cut => Kind::Malformed,
    }
}

async fn answer(context: Arc<Context>, step: Step) -> Answered {
    match step {
        Step::Run(incoming) => {
            let (method, keep_alive) = (incoming.head.method.clone(), incoming.head.keep_alive);
            let reply = route(&context, *incoming).await;
            Answered { method, last: !keep_alive || reply.close, reply }
        }
        Step::Refuse(kind) => Answered { method: Method::GET, reply: Reply::error(kind, &context.dialect), last: true },
    }
}

/// A connection with its requests under way; `F` is the answering of one of them.
struct Connection<R, F: Future> {
    context: Arc<Context>,
    run: R,
    peer: IpAddr,
    reader: Reader,
    input: BytesMut,
    output: BytesMut,
    /// A request that must not run twice and waits for the answers before it.
    held: Option<Incoming>,
    answers: FuturesOrdered<F>,
    /// No further request is taken.
    closing: bool,
    /// When the request that is coming must be whole, or an idle connection ends.
    due: Instant,
    /// When the caller last took bytes of an answer, or the first of them was written for it.
    taken: Instant,
}

/// Serves one connection to its end.
pub async fn serve(context: Arc<Context>, mut stream: TcpStream, peer: IpAddr, mut stop: watch::Receiver<Phase>) {
    let mut connection = Connection::new(context, peer, answer);
    let (mut reader, mut writer) = stream.split();
    loop {
        connection.take_requests(*stop.borrow() == Phase::Closing);
        if connection.done() {
            break;
        }
        let room = connection.input.len() < AHEAD_BYTES;
        connection.input.reserve(READ_BYTES);
        let limit = connection.limit();
        tokio::select! {
            Some(answered) = connection.answers.next(), if !connection.answers.is_empty() => {
                connection.write(&answered, *stop.borrow() >= Phase::Leaving);
            }
            read = reader.read_buf(&mut connection.input), if room => match read {
                Ok(bytes) if bytes > 0 => {}
                // The caller has left: what runs for it is given up.
                Ok(_) | Err(_) => return,
            },
            written = writer.write_buf(&mut connection.output), if !connection.output.is_empty() => {
                if !written.is_ok_and(|bytes| bytes > 0) {
                    return;
                }
                connection.taken = Instant::now();
            }
            () = tokio::time::sleep_until(limit.unwrap_or(connection.due)), if limit.is_some() => {
                if !connection.output.is_empty() {
                    return log::info!("callers: connection dropped, the caller takes no answer");
                }
                connection.expire();
            }
            changed = stop.changed() => if changed.is_err() { return },
        }
    }
    linger(&mut stream).await;
}

/// Lets the caller take the last answer: closing at once could reset the connection before it is read.
async fn linger(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0; 512];
    let drained = async { while stream.read(&mut rest).await.is_ok_and(|bytes| bytes > 0) {} };
    if tokio::time::timeout(LINGER, drained).await.is_err() {
        log::debug!("callers: connection dropped, the caller did not close");
    }
}

impl<R, F> Connection<R, F>
where
    R: Fn(Arc<Context>, Step) -> F,
    F: Future<Output = Answered>,
{
    fn new(context: Arc<Context>, peer: IpAddr, run: R) -> Self {
        let settings = &context.settings.callers;
        let reader = Reader {
            max_head: settings.max_header_bytes as usize,
            max_body: settings.max_body_bytes,
            chunked: settings.chunked_bodies,
            partial: None,
            expects: false,
        };
        let due = Instant::now() + Duration::from_millis(settings.header_timeout_ms);
        Self {
            context,
            run,
            peer,
            reader,
            input: BytesMut::new(),
            output: BytesMut::new(),
            held: None,
            answers: FuturesOrdered::new(),
            closing: false,
            due,
            taken: due,
        }
    }

    /// Whether the connection has nothing more to do.
    fn done(&self) -> bool {
        self.closing && self.answers.is_empty() && self.output.is_empty()
    }

    /// Until when something must happen: the caller takes what is written, or sends more.
    fn limit(&self) -> Option<Instant> {
        if !self.output.is_empty() {
            return Some(self.taken + Duration::from_millis(self.context.settings.callers.idle_timeout_ms));
        }
        self.answers.is_empty().then_some(self.due)
    }

    /// Whether nothing of a further request has come.
    fn quiet(&self) -> bool {
        self.held.is_none() && !self.reader.begun(&self.input)
    }

    /// Starts what has come whole.
    fn take_requests(&mut self, stopping: bool) {
        while !self.closing && self.answers.len() < PIPELINED && self.output.len() < UNTAKEN_BYTES {
            if let Some(held) = self.held.take() {
                self.start(held);
                if self.held.is_some() {
                    return;
                }
                continue;
            }
            let begun = self.reader.begun(&self.input);
            match self.reader.next(&mut self.input) {
                Parsed::More => {
                    self.note_waiting(begun);
                    self.closing |= stopping && self.quiet() && self.answers.is_empty();
                    return;
                }
                Parsed::Refused(kind) => {
                    self.closing = true;
                    self.push(Step::Refuse(kind));
                }
                Parsed::Request(head, body) => self.start(Incoming { head, body, peer: self.peer }),
            }
        }
    }

    /// Sets the time by which more must come.
    fn note_waiting(&mut self, begun_before: bool) {
        let settings = &self.context.settings.callers;
        if self.reader.expects {
            self.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            self.reader.expects = false;
        }
        if self.reader.begun(&self.input) && !begun_before {
            let body = self.reader.partial.is_some();
            let wait = if body { settings.body_timeout_ms } else { settings.header_timeout_ms };
            self.due = Instant::now() + Duration::from_millis(wait);
        }
    }

    /// Starts a request. One that must not run twice waits for the answers before it: should the connection end
    /// with one of them, the caller may send it again.
    fn start(&mut self, incoming: Incoming) {
        if !self.answers.is_empty() && !forward::repeatable(&self.context, &incoming.head) {
            self.held = Some(incoming);
            return;
        }
        self.closing |= !incoming.head.keep_alive;
        self.push(Step::Run(Box::new(incoming)));
    }

    fn push(&mut self, step: Step) {
        self.answers.push_back((self.run)(Arc::clone(&self.context), step));
    }

    /// Writes an answer; while stopping, the last one says that the connection ends.
    fn write(&mut self, answered: &Answered, stopping: bool) {
        if self.output.is_empty() {
            self.taken = Instant::now();
        }
        let last = answered.last || (stopping && self.answers.is_empty() && self.quiet());
        answered.reply.write(&mut self.output, &answered.method, last);
        if last {
            self.closing = true;
            // Requests behind the last answer count as not read; those that run are given up.
            self.answers.clear();
            self.held = None;
        }
        let idle = Duration::from_millis(self.context.settings.callers.idle_timeout_ms);
        self.due = Instant::now() + idle;
    }

    /// A caller that began a request and did not finish it in time is told; an idle one is not.
    fn expire(&mut self) {
        self.closing = true;
        if self.reader.partial.is_some() {
            Reply::error(Kind::SlowSender, &self.context.dialect).write(&mut self.output, &Method::GET, true);
        }
        self.input.clear();
        self.reader.partial = None;
    }
}
