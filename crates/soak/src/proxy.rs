//! A link that can be delayed, cut one way, silenced, reset, or forget its open connections.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::plan::Cut;

/// Time between two looks at what the link does.
const LOOK: Duration = Duration::from_millis(20);
/// Pause of a thread that has nothing to do.
const PAUSE: Duration = Duration::from_millis(2);
/// Bytes read at once.
const READ_BYTES: usize = 16_384;

/// What a link does now.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    delay: Duration,
    /// Whether bytes towards the server are held back.
    up: bool,
    /// Whether bytes back are held back.
    down: bool,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Rises whenever open connections are to be reset.
    resets: AtomicU64,
    /// Rises whenever open connections are to carry nothing any more.
    forgets: AtomicU64,
    /// Set when no more connections are to be taken.
    ends: AtomicBool,
}

/// What had happened to a link when a connection over it began.
#[derive(Debug, Clone, Copy)]
struct Begun {
    resets: u64,
    forgets: u64,
}

impl Begun {
    fn now(shared: &Shared) -> Self {
        Self { resets: shared.resets.load(Ordering::Relaxed), forgets: shared.forgets.load(Ordering::Relaxed) }
    }
}

/// A link from its own address to a server's.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    taking: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Passes connections to `address` on to `target`.
    pub fn start(address: &str, target: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let shared = Arc::new(Shared::default());
        listener.set_nonblocking(true)?;
        let (seen, target) = (Arc::clone(&shared), target.to_owned());
        let taking = thread::spawn(move || take(&seen, &listener, &target));
        Ok(Self { shared, taking: Some(taking) })
    }

    /// Begins a fault.
    pub fn cut(&self, cut: Cut) {
        let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        match cut {
            Cut::Delay(ms) => state.delay = Duration::from_millis(ms),
            Cut::Up => state.up = true,
            Cut::Down => state.down = true,
            Cut::Silent => (state.up, state.down) = (true, true),
            Cut::Reset => drop(self.shared.resets.fetch_add(1, Ordering::Relaxed)),
            Cut::Forget => drop(self.shared.forgets.fetch_add(1, Ordering::Relaxed)),
        }
    }

    /// Ends all faults; what was held back is passed on, but over connections that were forgotten.
    pub fn heal(&self) {
        *self.shared.state.lock().unwrap_or_else(PoisonError::into_inner) = State::default();
    }
}

impl Drop for Proxy {
    /// Frees the address.
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::Relaxed);
        self.shared.resets.fetch_add(1, Ordering::Relaxed);
        drop(self.taking.take().map(JoinHandle::join));
    }
}

/// Takes connections until the link ends.
fn take(shared: &Arc<Shared>, listener: &TcpListener, target: &str) {
    while !shared.ends.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => pass(shared, stream, target),
            Err(_) => thread::sleep(PAUSE),
        }
    }
}

/// Carries one connection on two threads; the link's end resets both sides.
fn pass(shared: &Arc<Shared>, client: TcpStream, target: &str) {
    // Before the server sees the connection: what happens to the link from then on happens to it too.
    let begun = Begun::now(shared);
    // An accepted connection blocks, whatever its listener does.
    let blocking = client.set_nonblocking(false);
    let (Ok(server), Ok(())) = (TcpStream::connect(target), blocking) else { return reset(&client) };
    let (Ok(client_too), Ok(server_too)) = (client.try_clone(), server.try_clone()) else { return };
    let (up, down) = (Arc::clone(shared), Arc::clone(shared));
    thread::spawn(move || pump(&up, client, server, begun, |state| state.up));
    thread::spawn(move || pump(&down, server_too, client_too, begun, |state| state.down));
}

/// Carries bytes from `from` to `to` until either ends or the link is reset.
fn pump(shared: &Shared, mut from: TcpStream, mut to: TcpStream, begun: Begun, held: impl Fn(&State) -> bool) {
    let mut buffer = [0; READ_BYTES];
    let state = || *shared.state.lock().unwrap_or_else(PoisonError::into_inner);
    let whole = || shared.resets.load(Ordering::Relaxed) == begun.resets;
    let forgotten = || shared.forgets.load(Ordering::Relaxed) != begun.forgets;
    if from.set_read_timeout(Some(LOOK)).is_err() {
        return;
    }
    while whole() {
        let length = match from.read(&mut buffer) {
            Ok(length) => length,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        let came = Instant::now();
        while whole() && (forgotten() || held(&state()) || came.elapsed() < state().delay) {
            thread::sleep(PAUSE);
        }
        if !whole() {
            break;
        }
        if length == 0 {
            // The end of one direction is passed on; the other may go on.
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

/// Ends a connection so that its other side sees a reset.
fn reset(stream: &TcpStream) {
    drop(socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)));
    drop(stream.shutdown(Shutdown::Both));
}
