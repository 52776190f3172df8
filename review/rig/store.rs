//! The platform's metadata store: the calls that PROTOCOL.md names, as far as the daemons make them.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record;

/// Keys that one page of a list holds.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the value, `None` for a removal.
    events: Vec<(u64, String, Option<Item>)>,
    revision: u64,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts the store at `address`; its counter starts above zero.
    pub fn start(address: &str) -> Self {
        let store = Self::default();
        store.0 .0.lock().unwrap().revision = 100;
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key as the operator and the servers do; the return of this call is the ack.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.0 .0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: base64(value.as_bytes()), revision, created };
        state.items.insert(key.to_owned(), item.clone());
        state.events.push((revision, key.to_owned(), Some(item)));
        self.0 .1.notify_all();
        drop(state);
        record::line(&format!("store put {key} revision={revision} {value}"));
        revision
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.0 .0.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, key.to_owned(), None));
        self.0 .1.notify_all();
        drop(state);
        record::line(&format!("store remove {key} revision={revision}"));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (status, body) = self.handle(&request);
            std::thread::sleep(Duration::from_millis(4));
            if http::answer(&mut writer, status, "Content-Type: application/json\r\n", body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &http::Message) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        match request.path() {
            "/hemlockcross/kv-range" => self.range(prefix, request.query("after").unwrap_or_default()),
            "/hemlockcross/kv-watch" => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                self.watch(prefix, number("after"), Duration::from_millis(number("wait_ms").min(30_000)))
            }
            "/hemlockcross/kv-key" => self.key(request.query("key").unwrap_or_default()),
            other => {
                record::line(&format!("store refuses {other}"));
                (503, "{}".to_owned())
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.0 .0.lock().unwrap();
        let mut rest = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = rest.by_ref().take(PAGE).map(|(key, item)| json(key, item)).collect();
        let more = rest.next().is_some();
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"has_more\":{more},\"current_rev\":{}}}", state.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.0 .0.lock().unwrap();
        if after > state.revision {
            return (410, "{}".to_owned());
        }
        loop {
            let new = state.events.iter().filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = new
                .map(|(revision, key, item)| match item {
                    Some(item) => json(key, item),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"current_rev\":{}}}", events.join(","), state.revision));
            }
            state = self.0 .1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.0 .0.lock().unwrap();
        let found = state.items.get(key);
        found.map_or((404, format!("{{\"current_rev\":{}}}", state.revision)), |item| (200, json(key, item)))
    }
}

fn json(key: &str, item: &Item) -> String {
    let Item { value, revision, created } = item;
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}")
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let all = [part[0], *part.get(1).unwrap_or(&0), *part.get(2).unwrap_or(&0)];
        let bits = u32::from(all[0]) << 16 | u32::from(all[1]) << 8 | u32::from(all[2]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char;
            out.push(if place <= part.len() { digit } else { '=' });
        }
    }
    out
}
