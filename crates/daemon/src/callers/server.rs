//! The socket of the callers' port.
//!
//! The HTTP library here is hyper, not the house's `tiny_http`: that one has no read timeout, no cap on
//! connections and none on headers (`docs/STYLE.md`).

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, server::conn::http1};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::{forward, lookup, reply};
use crate::Context;
use crate::plugin::Plugin;

/// Time without an acknowledgement after which a connection is given up.
const USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without traffic after which a connection is probed.
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Time to take in connections that were made before the port closed.
const LAST_CALL: Duration = Duration::from_millis(100);
/// Longest wait for the last connections after the port closed.
const GRACE: Duration = Duration::from_mins(2);

inventory::submit! {
    Plugin(kernel::Plugin { name: "callers", stage: 60, start })
}

struct Port {
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl kernel::Part for Port {
    fn drained(&mut self) -> bool {
        self.stop.send_replace(true);
        self.task.is_finished()
    }

    fn close(&mut self) {
        self.task.abort();
    }
}

fn start(context: &Arc<Context>) -> kernel::Started {
    let address = &context.settings.callers.address;
    let listener = context.runtime.block_on(TcpListener::bind(address)).map_err(|error| {
        format!("key `callers.address`: cannot listen at {address}: {error}; choose a free address")
    })?;
    let (stop, stopped) = watch::channel(false);
    let task = context.runtime.spawn(accept(Arc::clone(context), listener, stopped));
    Ok(Box::new(Port { stop, task }))
}

async fn accept(context: Arc<Context>, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
    let slots = Arc::new(Semaphore::new(context.settings.callers.max_connections as usize));
    let graceful = GracefulShutdown::new();
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            break;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        match accepted {
            Ok((stream, peer)) => serve(&context, stream, peer, &graceful, slot, &open),
            Err(error) => {
                log::warn!("callers: connection not taken reason={:?}", error.to_string());
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
    last_call(&context, &listener, &slots, &graceful, &open).await;
    drop(listener);
    log::info!("callers: port closed open={}", open.load(Ordering::Relaxed));
    if tokio::time::timeout(GRACE, graceful.shutdown()).await.is_err() {
        log::warn!("callers: connections cut open={}", open.load(Ordering::Relaxed));
    }
}

/// Takes in the connections that wait at the port, so that closing it resets none.
async fn last_call(
    context: &Arc<Context>,
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
    graceful: &GracefulShutdown,
    open: &Arc<AtomicUsize>,
) {
    while let Ok(Ok((stream, peer))) = tokio::time::timeout(LAST_CALL, listener.accept()).await {
        let Ok(slot) = Arc::clone(slots).acquire_owned().await else {
            return;
        };
        serve(context, stream, peer, graceful, slot, open);
    }
}

fn serve(
    context: &Arc<Context>,
    stream: TcpStream,
    peer: SocketAddr,
    graceful: &GracefulShutdown,
    slot: tokio::sync::OwnedSemaphorePermit,
    open: &Arc<AtomicUsize>,
) {
    if let Err(error) = prepare(&stream) {
        log::debug!("callers: socket options skipped reason={:?}", error.to_string());
    }
    let settings = &context.settings.callers;
    let shared = Arc::clone(context);
    let service = service_fn(move |request| {
        let context = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(route(&context, request, peer.ip()).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(settings.header_timeout_ms))
        .max_buf_size(settings.max_header_bytes as usize)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    let open = Arc::clone(open);
    let metrics = Arc::clone(context);
    open.fetch_add(1, Ordering::Relaxed);
    metrics.metrics.connections.inc();
    context.runtime.spawn(async move {
        if let Err(error) = watched.await {
            log::debug!("callers: connection ended reason={:?}", error.to_string());
        }
        open.fetch_sub(1, Ordering::Relaxed);
        metrics.metrics.connections.dec();
        drop(slot);
    });
}

/// Notices callers that are silent for good.
fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_keepalive(true)?;
    socket.set_tcp_keepalive(&socket2::TcpKeepalive::new().with_time(KEEP_ALIVE))
}

async fn route(context: &Arc<Context>, request: Request<Incoming>, peer: IpAddr) -> reply::Reply {
    if request.uri().path() == lookup::PATH {
        return lookup::answer(context, request.uri().query(), peer);
    }
    forward::answer(context, request).await
}
