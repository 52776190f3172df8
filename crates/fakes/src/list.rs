//! The platform's list of instances as an HTTP server; it tells of changes late.
//!
//! `GET /instances` reads, `POST /instances` replaces one entry, `POST /remove?name=` removes one,
//! `POST /fault?down=true|false` closes connections without an answer.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base::instance::Instance;
use tiny_http::{Method, Request, Server};

use crate::http;

/// A change that readers see from `shown` on.
#[derive(Debug, Clone)]
struct Pending {
    shown: Instant,
    name: String,
    instance: Option<Instance>,
}

#[derive(Debug)]
struct Shared {
    lag: Duration,
    shown: BTreeMap<String, Instance>,
    pending: Vec<Pending>,
    down: bool,
}

impl Shared {
    fn read(&mut self, now: Instant) -> Vec<Instance> {
        let (due, pending) = self.pending.drain(..).partition(|change| change.shown <= now);
        self.pending = pending;
        for change in due {
            match change.instance {
                Some(instance) => self.shown.insert(change.name, instance),
                None => self.shown.remove(&change.name),
            };
        }
        self.shown.values().cloned().collect()
    }

    fn change(&mut self, name: &str, instance: Option<Instance>, now: Instant) {
        self.pending.push(Pending { shown: now + self.lag, name: name.to_owned(), instance });
    }
}

/// A running list.
pub struct Running {
    server: Arc<Server>,
    shared: Arc<Mutex<Shared>>,
}

impl std::fmt::Debug for Running {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Running").field("address", &self.address()).finish_non_exhaustive()
    }
}

impl Running {
    /// Starts a list at `address` that shows `instances` at once and later changes after `lag`.
    pub fn start(address: &str, instances: Vec<Instance>, lag: Duration) -> std::io::Result<Self> {
        let server = Arc::new(Server::http(address).map_err(std::io::Error::other)?);
        let shown = instances.into_iter().map(|instance| (instance.name.clone(), instance)).collect();
        let shared = Arc::new(Mutex::new(Shared { lag, shown, pending: Vec::new(), down: false }));
        let handle = Arc::clone(&shared);
        http::serve(Arc::clone(&server), move |request| {
            answer(request, &handle);
        });
        Ok(Self { server, shared })
    }

    /// Where the list listens, `IP:PORT`.
    pub fn address(&self) -> String {
        self.server.server_addr().to_string()
    }

    /// Adds or replaces an instance.
    pub fn put(&self, instance: Instance) {
        let name = instance.name.clone();
        lock(&self.shared).change(&name, Some(instance), Instant::now());
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        lock(&self.shared).change(name, None, Instant::now());
    }

    /// Closes connections without an answer while `down`.
    pub fn set_down(&self, down: bool) {
        lock(&self.shared).down = down;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().expect("no handler panics while holding the list")
}

fn answer(mut request: Request, shared: &Mutex<Shared>) {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    let now = Instant::now();
    match (request.method().clone(), path) {
        (Method::Post, "/fault") => {
            lock(shared).down = http::query(&url, "down") == Some("true");
            http::answer_status(request, 200);
        }
        _ if lock(shared).down => drop(request.into_writer()),
        (Method::Get, "/instances") => {
            let instances = lock(shared).read(now);
            http::answer_json(request, &instances);
        }
        (Method::Post, "/instances") => {
            let body = http::body(&mut request);
            let Ok(instance) = serde_json::from_slice::<Instance>(&body) else {
                return http::answer_status(request, 400);
            };
            let name = instance.name.clone();
            lock(shared).change(&name, Some(instance), now);
            http::answer_status(request, 200);
        }
        (Method::Post, "/remove") => {
            let name = http::query(&url, "name").unwrap_or_default();
            lock(shared).change(name, None, now);
            http::answer_status(request, 200);
        }
        _ => http::answer_status(request, 404),
    }
}
