//! A TCP proxy that stands for a link. It can delay bytes, hold them back in one or both directions, and reset or
//! blackhole its open connections.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::plan::LinkFault;

/// Read timeout, after which a thread checks whether its connection was reset.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Pause of a thread that waits for a new connection or for the end of a fault.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of bytes in one read.
const READ_BYTES: usize = 16_384;

/// The lasting faults of a link.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    delay: Duration,
    /// Whether bytes towards the server are held back.
    block_upstream: bool,
    /// Whether bytes towards the client are held back.
    block_downstream: bool,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Number of resets so far; each ends the connections that are open then.
    resets: AtomicU64,
    /// Number of blackhole faults so far; each silences the connections that are open then.
    blackholes: AtomicU64,
    /// Set when no more connections are to be accepted.
    closed: AtomicBool,
}

/// The numbers of resets and blackhole faults when a connection was accepted; it is affected by later ones only.
#[derive(Debug, Clone, Copy)]
struct Epoch {
    resets: u64,
    blackholes: u64,
}

impl Epoch {
    fn current(shared: &Shared) -> Self {
        Self { resets: shared.resets.load(Ordering::Relaxed), blackholes: shared.blackholes.load(Ordering::Relaxed) }
    }
}

/// A link from its own address to a server's.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy that listens at `address` and forwards connections to `target`.
    pub fn start(address: &str, target: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let shared = Arc::new(Shared::default());
        listener.set_nonblocking(true)?;
        let (acceptor_shared, target) = (Arc::clone(&shared), target.to_owned());
        let acceptor = thread::spawn(move || accept_connections(&acceptor_shared, &listener, &target));
        Ok(Self { shared, acceptor: Some(acceptor) })
    }

    /// Injects a fault; faults add up until [`Self::heal`].
    pub fn inject(&self, fault: LinkFault) {
        let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        match fault {
            LinkFault::Delay(ms) => state.delay = Duration::from_millis(ms),
            LinkFault::BlockUpstream => state.block_upstream = true,
            LinkFault::BlockDownstream => state.block_downstream = true,
            LinkFault::BlockBoth => (state.block_upstream, state.block_downstream) = (true, true),
            LinkFault::Reset => drop(self.shared.resets.fetch_add(1, Ordering::Relaxed)),
            LinkFault::Blackhole => drop(self.shared.blackholes.fetch_add(1, Ordering::Relaxed)),
        }
    }

    /// Ends all faults. Bytes that were held back are passed on, except over blackholed connections, which stay silent.
    pub fn heal(&self) {
        *self.shared.state.lock().unwrap_or_else(PoisonError::into_inner) = State::default();
    }
}

impl Drop for Proxy {
    /// Resets all connections, stops accepting new ones and frees the address.
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        self.shared.resets.fetch_add(1, Ordering::Relaxed);
        drop(self.acceptor.take().map(JoinHandle::join));
    }
}

/// Accepts and forwards connections until the proxy is dropped.
fn accept_connections(shared: &Arc<Shared>, listener: &TcpListener, target: &str) {
    while !shared.closed.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => forward(shared, stream, target),
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Forwards one connection on two threads, one for each direction.
fn forward(shared: &Arc<Shared>, client: TcpStream, target: &str) {
    // Read before connecting to the server, so that every fault that is injected once the server has the connection
    // affects it.
    let epoch = Epoch::current(shared);
    // On some systems an accepted connection inherits the listener's non-blocking mode.
    let blocking = client.set_nonblocking(false);
    let (Ok(server), Ok(())) = (TcpStream::connect(target), blocking) else { return reset(&client) };
    let (Ok(client_clone), Ok(server_clone)) = (client.try_clone(), server.try_clone()) else { return };
    let (up, down) = (Arc::clone(shared), Arc::clone(shared));
    thread::spawn(move || pump(&up, client, server, epoch, |state| state.block_upstream));
    thread::spawn(move || pump(&down, server_clone, client_clone, epoch, |state| state.block_downstream));
}

/// Copies bytes from `from` to `to` until `from` ends. Resets both sides if either fails or the link is reset.
fn pump(shared: &Shared, mut from: TcpStream, mut to: TcpStream, epoch: Epoch, is_blocked: impl Fn(&State) -> bool) {
    let mut buffer = [0; READ_BYTES];
    let state = || *shared.state.lock().unwrap_or_else(PoisonError::into_inner);
    let is_open = || shared.resets.load(Ordering::Relaxed) == epoch.resets;
    let is_blackholed = || shared.blackholes.load(Ordering::Relaxed) != epoch.blackholes;
    if from.set_read_timeout(Some(READ_TIMEOUT)).is_err() {
        return;
    }
    while is_open() {
        let length = match from.read(&mut buffer) {
            Ok(length) => length,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        let received_at = Instant::now();
        while is_open() && (is_blackholed() || is_blocked(&state()) || received_at.elapsed() < state().delay) {
            thread::sleep(POLL_INTERVAL);
        }
        if !is_open() {
            break;
        }
        if length == 0 {
            // Passes the end of this direction on; the other direction may continue.
            drop(to.shutdown(Shutdown::Write));
            return;
        }
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    reset(&from);
    reset(&to);
}

/// Closes a connection so that its peer sees a reset.
fn reset(stream: &TcpStream) {
    drop(socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)));
    drop(stream.shutdown(Shutdown::Both));
}
