//! The listening sockets for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::connection;
use super::purpose::Purpose;
use super::slots::{Slot, Slots};
use super::stop::{Phase, Stop};
use crate::Context;
use crate::plugin::Plugin;

/// Time for which sent data may stay unacknowledged before a connection is dropped.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle time after which TCP keep-alive probes are sent.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(30);
/// Pause after a failed accept, before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time between two checks whether a connection gives way to a new one.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(20);

inventory::submit! {
    Plugin(kernel::Plugin { name: "callers", stage: 60, start })
}

/// The accept loops of the addresses and the number of their open connections.
struct Port {
    context: Arc<Context>,
    stop: watch::Sender<Stop>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    open: Arc<AtomicUsize>,
}

impl kernel::Component for Port {
    fn withdraw(&mut self) {
        let length = Duration::from_millis(self.context.settings.callers.stop_ms);
        self.stop.send_replace(Stop::begin(length, self.context.now()));
    }

    fn drain(&mut self) -> bool {
        let now = self.context.now();
        let stop = *self.stop.borrow();
        if stop.phase() != Phase::Closing {
            self.stop.send_replace(stop.with_closing(now));
        }
        if stop.is_over(now) {
            self.context.driver.give_up_all(&self.context);
        }
        self.tasks.iter().all(tokio::task::JoinHandle::is_finished) && self.open.load(Ordering::Relaxed) == 0
    }

    fn close(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
        let open = self.open.load(Ordering::Relaxed);
        log::info!("callers: port closed open={open}");
    }
}

fn start(context: &Arc<Context>) -> kernel::StartResult {
    let settings = &context.settings.callers;
    let (stop, receiver) = watch::channel(Stop::none());
    let open = Arc::new(AtomicUsize::new(0));
    let mut tasks = Vec::new();
    let addresses = [
        ("callers.address", settings.address.clone(), Purpose::Requests),
        ("callers.lookup_address", settings.lookup_address(), Purpose::LookUps),
        ("fleet.relay_port", context.settings.fleet.relay_address(), Purpose::Relayed),
    ];
    for (key, address, purpose) in addresses {
        let listener = context
            .listen(&address)
            .map_err(|error| format!("key `{key}`: cannot listen at {address}: {error}; choose a free address"))?;
        let acceptor =
            Acceptor { context: Arc::clone(context), purpose, stop: receiver.clone(), open: Arc::clone(&open) };
        tasks.push(context.runtime.spawn(acceptor.run(listener)));
    }
    Ok(Box::new(Port { context: Arc::clone(context), stop, tasks, open }))
}

/// Accepts connections on one address until the port closes.
struct Acceptor {
    context: Arc<Context>,
    purpose: Purpose,
    stop: watch::Receiver<Stop>,
    open: Arc<AtomicUsize>,
}

impl Acceptor {
    async fn run(mut self, listener: TcpListener) {
        let slots = Arc::new(Slots::new(self.purpose.max_connections(&self.context.settings)));
        while self.stop.borrow_and_update().phase() != Phase::Closing {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, peer)) => self.serve(stream, self.slot(&slots, peer).await),
                    Err(error) => {
                        log::warn!("callers: connection not accepted reason={:?}", error.to_string());
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                changed = self.stop.changed() => if changed.is_err() { return },
            }
        }
        self.accept_backlog(&listener, &slots).await;
    }

    /// Accepts connections for a limited time, since callers may come back all the time, and then those that wait in the
    /// backlog already.
    async fn accept_backlog(&self, listener: &TcpListener, slots: &Arc<Slots>) {
        loop {
            let left = self.stop.borrow().port_closes_at().since(self.context.now());
            let Ok(Ok((stream, peer))) = tokio::time::timeout(left, listener.accept()).await else { return };
            self.serve(stream, self.slot(slots, peer).await);
        }
    }

    /// Waits for the slot of a connection that is accepted already: until then nobody knows whether one is needed.
    async fn slot(&self, slots: &Arc<Slots>, peer: SocketAddr) -> Slot {
        loop {
            if let Some(slot) = slots.take(peer.ip(), self.context.now()) {
                return slot;
            }
            tokio::select! {
                () = slots.changed() => {}
                () = tokio::time::sleep(SLOT_RETRY_DELAY) => {}
            }
        }
    }

    fn serve(&self, stream: TcpStream, slot: Slot) {
        if let Err(error) = set_options(&stream) {
            log::debug!("callers: socket options not set reason={:?}", error.to_string());
        }
        let (context, open) = (Arc::clone(&self.context), Arc::clone(&self.open));
        let serving = connection::serve(Arc::clone(&context), self.purpose, stream, slot, self.stop.clone());
        open.fetch_add(1, Ordering::Relaxed);
        context.metrics.connections.inc();
        self.context.runtime.spawn(async move {
            serving.await;
            open.fetch_sub(1, Ordering::Relaxed);
            context.metrics.connections.dec();
        });
    }
}

/// Sets the socket options that detect callers that are no longer reachable, and disables Nagle's algorithm.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    socket.set_keepalive(true)?;
    socket.set_tcp_keepalive(&socket2::TcpKeepalive::new().with_time(KEEP_ALIVE_AFTER))
}
