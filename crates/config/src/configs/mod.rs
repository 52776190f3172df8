//! Settings of a daemon, one module per section of the settings file.

mod callers;
mod dispatch;
mod fleet;
mod list;
mod machine;
mod operators;
mod platform;
mod source;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

pub use self::callers::Callers;
pub use self::dispatch::Dispatch;
pub use self::fleet::Fleet;
pub use self::list::List;
pub use self::machine::Machine;
pub use self::operators::Operators;
pub use self::platform::Platform;
pub use self::source::Source;
use crate::error::{Error, Result};

/// Memory for callers where neither the setting nor the machine's memory is known.
const DEFAULT_CALLER_MEMORY_BYTES: u64 = 96 << 20;
/// Part of the machine's memory for what callers make the daemon hold. Many bodies of different sizes take half as much memory
/// again, as freed pieces are not used at once.
const CALLER_MEMORY_PERCENT: u64 = 42;
/// The same while one body takes most of it.
const ONE_BODY_MEMORY_PERCENT: u64 = 62;
/// Memory that is kept for small requests and for answers, as a part of that for callers: one in this number.
const SMALL_REQUEST_PART: u64 = 8;
/// Part of the machine's memory for answers that are being read.
const ANSWER_MEMORY_PERCENT: u64 = 12;
/// Log levels, from the least to the most verbose.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
/// Components of a daemon that log, by the prefix of their lines; `log_parts` accepts these names.
pub const LOG_COMPONENTS: [&str; 14] = [
    "callers",
    "dispatch",
    "grants",
    "kernel",
    "life",
    "list",
    "metrics",
    "mirror",
    "operators",
    "orders",
    "peers",
    "policy",
    "probe",
    "reader",
];

/// All settings of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The unique name of this instance.
    pub instance: String,
    /// The failure domain of this instance.
    pub domain: String,
    /// The region of this instance.
    pub region: String,
    /// The region of each failure domain; needed where the source of the policy does not supply it.
    pub domains: BTreeMap<String, String>,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`; empty for `info`.
    pub log: String,
    /// Log levels of single components, by the prefix of their lines; each takes precedence over `log`.
    pub log_parts: BTreeMap<String, String>,
    /// Maximum number of log lines per second.
    pub log_lines: u32,
    /// Path of the policy file that is used until the store or a peer supplies a newer policy; empty for none.
    pub policy: String,
    /// The addresses for callers.
    pub callers: Callers,
    /// The operators' port.
    pub operators: Operators,
    /// Gossip between daemons.
    pub fleet: Fleet,
    /// The platform's key-value store.
    pub platform: Platform,
    /// The platform's list of instances.
    pub list: List,
    /// Dispatch of requests to backend servers.
    pub dispatch: Dispatch,
    /// What the daemon's machine has.
    pub machine: Machine,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: String::new(),
            domain: String::new(),
            region: String::new(),
            domains: BTreeMap::new(),
            log: String::new(),
            log_parts: BTreeMap::new(),
            log_lines: 400,
            policy: String::new(),
            callers: Callers::default(),
            operators: Operators::default(),
            fleet: Fleet::default(),
            platform: Platform::default(),
            list: List::default(),
            dispatch: Dispatch::default(),
            machine: Machine::default(),
        }
    }
}

impl Settings {
    /// Reads and checks the settings in `path`.
    pub fn read(path: &Path) -> Result<Self> {
        Source::new(path).read()
    }

    /// Parses and checks `text`; errors call it `name`.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let settings: Self = toml::from_str(text).map_err(|source| Error::parse(name, &source))?;
        settings.check(name)?;
        Ok(settings)
    }

    /// Returns the memory for what callers make the daemon hold, in bytes: the setting, or else a part of the machine's memory.
    pub fn caller_memory_bytes(&self) -> u64 {
        match (self.callers.memory_bytes, self.machine.memory_bytes()) {
            (0, 0) => DEFAULT_CALLER_MEMORY_BYTES.max(self.callers.max_body_bytes),
            (0, machine) => machine / 100 * CALLER_MEMORY_PERCENT,
            (given, _) => given,
        }
    }

    /// Returns the same while one body takes most of it, in bytes: one of the largest size fits on the smallest machines.
    pub fn one_body_memory_bytes(&self) -> u64 {
        let machine = self.machine.memory_bytes() / 100 * ONE_BODY_MEMORY_PERCENT;
        if self.callers.memory_bytes == 0 { machine.max(self.caller_memory_bytes()) } else { self.callers.memory_bytes }
    }

    /// Returns the memory up to which small requests are accepted, in bytes: some more than large bodies may use.
    pub fn small_request_memory_bytes(&self) -> u64 {
        self.one_body_memory_bytes() + self.caller_memory_bytes() / SMALL_REQUEST_PART
    }

    /// Returns the maximum number of open connections at the address for requests: the setting, or fewer on a machine with few
    /// descriptors, since connections to backend servers, other daemons and the store need some too.
    pub fn caller_connections(&self) -> u32 {
        match self.machine.descriptors {
            0 => self.callers.max_connections,
            descriptors => self.callers.max_connections.min((descriptors / 2).max(1) as u32),
        }
    }

    /// Returns the memory for answers of backend servers that are being read, in bytes: the setting, or less on a machine with
    /// little memory.
    pub fn answer_memory_bytes(&self) -> u64 {
        match self.machine.memory_bytes() {
            0 => self.dispatch.answers_bytes,
            machine => self.dispatch.answers_bytes.min(machine / 100 * ANSWER_MEMORY_PERCENT),
        }
    }

    /// Returns the top-level keys whose values differ from those of `other`.
    pub fn differing_keys(&self, other: &Self) -> std::result::Result<Vec<String>, toml::ser::Error> {
        let (own, other) = (toml::Table::try_from(self)?, toml::Table::try_from(other)?);
        let names = own.keys().chain(other.keys().filter(|name| !own.contains_key(*name)));
        Ok(names.filter(|name| own.get(*name) != other.get(*name)).cloned().collect())
    }

    fn check_levels(&self, name: &str) -> Result<()> {
        if !self.log.is_empty() {
            check_level(name, "log", &self.log)?;
        }
        for (component, level) in &self.log_parts {
            let key = format!("log_parts.{component}");
            if !LOG_COMPONENTS.contains(&component.as_str()) {
                let advice = format!("does not name a component that logs; use one of {}", LOG_COMPONENTS.join(", "));
                return Err(Error::value(name, &key, advice));
            }
            check_level(name, &key, level)?;
        }
        Ok(())
    }

    fn check(&self, name: &str) -> Result<()> {
        let required = [("instance", &self.instance), ("domain", &self.domain), ("region", &self.region)];
        for (key, value) in required {
            if value.is_empty() {
                return Err(Error::value(name, key, "must be given; set it to a short unique name"));
            }
        }
        self.check_levels(name)?;
        check_range(name, "log_lines", self.log_lines.into(), 1, 1_000_000)?;
        self.callers.check(name)?;
        self.operators.check(name)?;
        self.fleet.check(name)?;
        self.platform.check(name)?;
        self.list.check(name)?;
        self.dispatch.check(name)?;
        self.machine.check(name)?;
        self.check_distinct(name)
    }

    /// Returns an error if two addresses to listen on are the same: what a request is for follows from its address.
    fn check_distinct(&self, name: &str) -> Result<()> {
        let mut keys = BTreeMap::new();
        let addresses = [
            ("callers.address", self.callers.address.clone()),
            ("callers.lookup_address", self.callers.lookup_address()),
            ("operators.address", self.operators.address.clone()),
            ("operators.metrics_address", self.operators.metrics_address.clone()),
            ("fleet.address", self.fleet.address.clone()),
            ("fleet.relay_port", self.fleet.relay_address()),
        ];
        for (key, address) in addresses.into_iter().filter(|(_, address)| !address.is_empty()) {
            if let Some(other) = keys.insert(address.clone(), key) {
                let advice = format!("is {address}, as `{other}`; set one of them to another address");
                return Err(Error::value(name, key, advice));
            }
        }
        Ok(())
    }
}

/// Returns `address` with `port`, or by default with the port after its own; empty if there is no such port.
fn with_port(address: &str, port: Option<u16>) -> String {
    let changed = address.parse::<SocketAddr>().ok().and_then(|mut address| {
        address.set_port(port.or_else(|| address.port().checked_add(1))?);
        Some(address)
    });
    changed.map_or_else(String::new, |address| address.to_string())
}

/// Returns an error unless `level` is a log level.
fn check_level(name: &str, key: &str, level: &str) -> Result<()> {
    if LOG_LEVELS.contains(&level) {
        return Ok(());
    }
    Err(Error::value(name, key, format!("is `{level}`; set it to one of {}", LOG_LEVELS.join(", "))))
}

/// Returns an error unless `value` is an address of the form `IP:PORT`.
fn check_address(name: &str, key: &str, value: &str) -> Result<()> {
    match value.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => {
            Err(Error::value(name, key, format!("`{value}` is not of the form IP:PORT; write it like 127.0.0.1:7001")))
        }
    }
}

/// Returns an error unless `value` is from zero to `high`.
fn check_float(name: &str, key: &str, value: f64, high: f64) -> Result<()> {
    if (0.0..=high).contains(&value) {
        return Ok(());
    }
    Err(Error::value(name, key, format!("is {value}; set it to a number from 0 to {high}")))
}

/// Returns an error unless `value` is in `low..=high`.
fn check_range(name: &str, key: &str, value: u64, low: u64, high: u64) -> Result<()> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(Error::value(name, key, format!("is {value}; set it to a number from {low} to {high}")))
}
