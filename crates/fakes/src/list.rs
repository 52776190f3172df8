//! The platform's list of instances as an HTTP server; readers see changes after a delay.
//!
//! `GET /instances` returns the list, `POST /instances` adds or replaces one entry, `POST /remove?name=` removes one.
//! After `POST /fault?down=true`, connections are closed without an answer until `POST /fault?down=false`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base::instance::Instance;
use tiny_http::{Method, Request};

use crate::http;

/// A change that readers see from `visible_at` on.
#[derive(Debug, Clone)]
struct Pending {
    visible_at: Instant,
    name: String,
    /// The new entry; `None` removes the entry.
    instance: Option<Instance>,
}

#[derive(Debug)]
struct Shared {
    lag: Duration,
    visible: BTreeMap<String, Instance>,
    pending: Vec<Pending>,
    down: bool,
}

impl Shared {
    /// Applies the changes that are due and returns all visible instances.
    fn read(&mut self, now: Instant) -> Vec<Instance> {
        let (due, pending) = self.pending.drain(..).partition(|change| change.visible_at <= now);
        self.pending = pending;
        for change in due {
            match change.instance {
                Some(instance) => self.visible.insert(change.name, instance),
                None => self.visible.remove(&change.name),
            };
        }
        self.visible.values().cloned().collect()
    }

    fn change(&mut self, name: &str, instance: Option<Instance>, now: Instant) {
        self.pending.push(Pending { visible_at: now + self.lag, name: name.to_owned(), instance });
    }
}

/// A running list; dropping it stops it.
pub struct Running {
    listener: Arc<tiny_http::Server>,
    shared: Arc<Mutex<Shared>>,
}

impl std::fmt::Debug for Running {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Running").field("address", &self.address()).finish_non_exhaustive()
    }
}

impl Running {
    /// Starts a list at `address`: `instances` are visible at once, later changes after `lag`.
    pub fn start(address: &str, instances: Vec<Instance>, lag: Duration) -> std::io::Result<Self> {
        let listener = Arc::new(tiny_http::Server::http(address).map_err(std::io::Error::other)?);
        let visible = instances.into_iter().map(|instance| (instance.name.clone(), instance)).collect();
        let shared = Arc::new(Mutex::new(Shared { lag, visible, pending: Vec::new(), down: false }));
        let handler_state = Arc::clone(&shared);
        http::serve(Arc::clone(&listener), move |request| {
            handle(request, &handler_state);
        });
        Ok(Self { listener, shared })
    }

    /// Returns the address the list listens at, `IP:PORT`.
    pub fn address(&self) -> String {
        self.listener.server_addr().to_string()
    }

    /// Adds or replaces an instance; readers see it after the lag.
    pub fn put(&self, instance: Instance) {
        let name = instance.name.clone();
        lock(&self.shared).change(&name, Some(instance), Instant::now());
    }

    /// Removes an instance; readers see it until the lag has passed.
    pub fn remove(&self, name: &str) {
        lock(&self.shared).change(name, None, Instant::now());
    }

    /// Sets whether connections are closed without an answer.
    pub fn set_down(&self, down: bool) {
        lock(&self.shared).down = down;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.listener.unblock();
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().expect("no handler panics while holding the list")
}

fn handle(mut request: Request, shared: &Mutex<Shared>) {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    let now = Instant::now();
    match (request.method().clone(), path) {
        (Method::Post, "/fault") => {
            lock(shared).down = http::query_param(&url, "down") == Some("true");
            http::answer_status(request, 200);
        }
        _ if lock(shared).down => drop(request.into_writer()),
        (Method::Get, "/instances") => {
            let instances = lock(shared).read(now);
            http::answer_json(request, &instances);
        }
        (Method::Post, "/instances") => {
            let body = http::read_body(&mut request);
            let Ok(instance) = serde_json::from_slice::<Instance>(&body) else {
                return http::answer_status(request, 400);
            };
            let name = instance.name.clone();
            lock(shared).change(&name, Some(instance), now);
            http::answer_status(request, 200);
        }
        (Method::Post, "/remove") => {
            let name = http::query_param(&url, "name").unwrap_or_default();
            lock(shared).change(name, None, now);
            http::answer_status(request, 200);
        }
        _ => http::answer_status(request, 404),
    }
}
