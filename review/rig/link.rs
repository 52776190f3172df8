//! A link that can be cut: a proxy that holds all bytes, in both directions, while it is.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone)]
pub struct Link(Arc<AtomicBool>);

impl Link {
    /// Passes connections from `from` on to `to`.
    pub fn start(from: &str, to: &str) -> Self {
        let link = Self(Arc::new(AtomicBool::new(false)));
        let listener = TcpListener::bind(from).expect("the link's address is free");
        let (shared, to) = (link.clone(), to.to_owned());
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let (link, to) = (shared.clone(), to.clone());
                std::thread::spawn(move || link.pass(near, &to));
            }
        });
        link
    }

    pub fn set_cut(&self, cut: bool) {
        self.0.store(cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.0.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn pass(&self, near: TcpStream, to: &str) {
        self.wait();
        let Ok(far) = TcpStream::connect(to) else { return };
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let link = self.clone();
        std::thread::spawn(move || link.copy(far_copy, near_copy));
        self.copy(near, far);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 16_384];
        loop {
            let read = from.read(&mut bytes).unwrap_or(0);
            self.wait();
            if read == 0 || to.write_all(&bytes[..read]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Both);
                let _ = from.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}
