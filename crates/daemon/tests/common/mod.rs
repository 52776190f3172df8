//! A daemon with its own dialect inside the test process, and stand-ins for everything around it.
#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use base::instance::{Instance, Role, State};
use config::configs::Settings;
use daemon::adapter::Adapter;
use daemon::lifecycle::Daemon;
use fakes::backend::{Running, Setup};

pub const POLICY: &str = "[regions.r]\ndomains = [\"d\"]\n\
[classes.lookup]\nservice = \"s\"\npaths = [\"/stock\"]\nidempotent = true\nrank = 1\ntarget_ms = 100\ntarget_share = 0.99\ndeadline_ms = 2000\n\
[classes.order]\nservice = \"s\"\npaths = [\"/orders\"]\nidempotent = false\nrank = 0\ntarget_ms = 100\ntarget_share = 0.99\ndeadline_ms = 2000\n";

/// A daemon with stand-ins for a backend server, the instance list and the store.
pub struct Harness {
    pub backend: Running,
    _list: fakes::list::Running,
    pub store: fakes::store::Running,
    pub daemon: Option<Daemon>,
    pub address: String,
    lookup_address: String,
}

impl Harness {
    /// Starts everything on the addresses `127.0.{net}.*` and waits until a request succeeds.
    pub fn new(net: u8) -> Self {
        Self::with_policy(net, POLICY)
    }

    /// Does the same with another policy.
    pub fn with_policy(net: u8, policy_text: &str) -> Self {
        let backend =
            Running::start("127.0.0.1:0", Setup::new("b").with_work_ms(5)).expect("the stand-in backend starts");
        let store = fakes::store::Running::start("127.0.0.1:0").expect("the stand-in store starts");
        let instance = Instance {
            name: "b".to_owned(),
            role: Role::Backend,
            service: "s".to_owned(),
            region: "r".to_owned(),
            domain: "d".to_owned(),
            address: backend.address(),
            peers: String::new(),
            operators: String::new(),
            slots: 3,
            connections: 10,
            started_at: 0,
            state: State::Live,
        };
        let list = fakes::list::Running::start("127.0.0.1:0", vec![instance], Duration::ZERO)
            .expect("the stand-in list starts");
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let policy = folder.join(format!("port-{net}.toml"));
        std::fs::write(&policy, policy_text).expect("the file can be written");
        let text = format!(
            "instance = \"e\"\ndomain = \"d\"\nregion = \"r\"\npolicy = \"{}\"\n\
[callers]\naddress = \"127.0.{net}.1:7000\"\nheader_timeout_ms = 300\nbody_timeout_ms = 300\nmax_body_bytes = 1000\nmax_connections = 8\nanswer_kept_ms = 0\n\
[operators]\naddress = \"127.0.{net}.1:7100\"\n[fleet]\naddress = \"127.0.{net}.1:7200\"\n\
[platform]\naddress = \"{}\"\n[list]\naddress = \"{}\"\npoll_ms = 50\n",
            policy.display(),
            store.address(),
            list.address()
        );
        let settings = Settings::parse("test", &text).expect("the settings are valid");
        let address = settings.callers.address.clone();
        let lookup_address = settings.callers.lookup_address();
        let daemon = Daemon::start(settings, Adapter::native()).expect("the daemon starts");
        let harness = Self { backend, _list: list, store, daemon: Some(daemon), address, lookup_address };
        while !harness
            .exchange("GET /stock HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200")
        {
            std::thread::sleep(Duration::from_millis(20));
        }
        harness
    }

    pub fn connect(&self) -> TcpStream {
        Self::connect_to(&self.address)
    }

    fn connect_to(address: &str) -> TcpStream {
        let stream = TcpStream::connect(address).expect("the port is open");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("the timeout can be set");
        stream
    }

    /// Sends `text` to the address for requests and reads until the daemon closes the connection.
    pub fn exchange(&self, text: &str) -> String {
        Self::exchange_on(self.connect(), text)
    }

    /// Does the same at `address`, for threads: a harness can't be shared by them.
    pub fn exchange_at(address: &str, text: &str) -> String {
        Self::exchange_on(Self::connect_to(address), text)
    }

    /// Does the same at the address for look-ups.
    pub fn look_up(&self, text: &str) -> String {
        Self::exchange_on(Self::connect_to(&self.lookup_address), text)
    }

    fn exchange_on(mut stream: TcpStream, text: &str) -> String {
        stream.write_all(text.as_bytes()).expect("the daemon accepts the request");
        let mut answer = Vec::new();
        drop(stream.read_to_end(&mut answer));
        String::from_utf8_lossy(&answer).into_owned()
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        if let Some(daemon) = self.daemon.take() {
            daemon.stop();
        }
    }
}
