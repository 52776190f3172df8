//! What all plug-ins share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use base::rate::Bucket;
use base::stall;
use base::time::Time;
use config::configs::Settings;
use config::policy::Policy;
use dispatch::Engine;
use dispatch::engine::{Budgets, Limits};
use fleet::message::{Record, State};
use fleet::replica::Replica;
use fleet::roster::{Roster, Timeouts};
use h1::Budget;
use ledger::Ledger;
use steer::grant::Manager;
use steer::shift::Controller;

use crate::adapter::{Adapter, Catalog};
use crate::at_most_once::ClaimLease;
use crate::backends::pool::Pool;
use crate::clock::{self, Clock};
use crate::dialect::Dialect;
use crate::driver::Driver;
use crate::instance_list::{List, ServerEntries};
use crate::metrics::Metrics;
use crate::mirror::Learning;
use crate::peers;
use crate::policies::ActivePolicy;
use crate::response::Response;
use crate::view::{Prepared, Preparing, Steering};

/// Keys of sessions remembered at most.
const SESSION_KEYS: usize = 65_536;

/// What is known of backend servers beside the list of instances.
#[derive(Debug, Clone, Default)]
pub struct CatalogState {
    /// Entries of the store as they were read last.
    pub entries: ServerEntries,
    /// Why entries were passed over.
    pub entries_passed_over: BTreeSet<String>,
    /// Why the policy was refused last.
    pub policy_error: Option<String>,
    /// What of the policy cannot be used or is not known.
    pub policy_passed_over: BTreeSet<String>,
}

/// The shared state of a daemon.
#[derive(Debug)]
pub struct Context {
    /// Settings of this daemon.
    pub settings: Settings,
    /// What callers and backend servers call the things that cross the wire.
    pub dialect: Arc<Dialect>,
    /// Notices that the process stood still.
    pub stall_detector: Mutex<stall::Detector>,
    /// The clock.
    pub clock: Clock,
    /// When the process started.
    started_at: Time,
    /// Random number of this process; no two are equal.
    pub incarnation: u64,
    /// Runs the sockets of callers and peers.
    pub runtime: tokio::runtime::Handle,
    /// The platform's store.
    pub store: store::Client,
    /// Reads policy and backend servers from the store, if the platform keeps them there.
    pub catalog: Option<Catalog>,
    /// A copy of the store's keys, if the platform keeps policy and backend servers there.
    pub mirror: Mutex<store::Mirror>,
    /// How that copy learns of changes.
    pub mirror_sync: Learning,
    /// What is known of backend servers beside the list of instances.
    pub catalog_state: Mutex<CatalogState>,
    /// The policy in force, with its copy for peers.
    pub policy_replica: Mutex<Replica>,
    /// The policy in force, parsed.
    pub active_policy: RwLock<Arc<ActivePolicy>>,
    /// Membership and loads.
    pub roster: Mutex<Roster>,
    /// Bounds how often peers are told at once of losses and of leaving servers.
    pub gossip_limiter: Mutex<Bucket>,
    /// Shares of links and other regions.
    pub grant_manager: Mutex<Manager>,
    /// Shifts of callers between regions.
    pub shift_controller: Mutex<Controller>,
    /// What look-ups read.
    pub steering: RwLock<Arc<Steering>>,
    /// Held while the state is prepared, so that an older state never follows a newer one.
    pub preparing: Mutex<Preparing>,
    /// Instances in the platform's list.
    pub instance_list: Mutex<List>,
    /// Answers of backend servers that are being read.
    pub answer_memory: Budget,
    /// Idle connections to backend servers.
    pub pool: Pool,
    /// Requests under way.
    pub driver: Driver,
    /// Keys of non-idempotent requests.
    pub ledger: Mutex<Ledger<Arc<Response>>>,
    /// The lease that new claims hang on.
    pub claim_lease: Mutex<Option<ClaimLease>>,
    /// Service-level counts by class.
    pub burn: Mutex<BTreeMap<String, burn::Series>>,
    /// Counters for operators.
    pub metrics: Metrics,
    /// The last time the store answered, in microseconds of the clock.
    pub store_answered_at: AtomicU64,
    /// The last time a peer answered, in microseconds of the clock.
    pub peer_answered_at: AtomicU64,
    stopping: AtomicBool,
}

impl Context {
    /// The state of a daemon that starts with `settings`.
    pub fn new(settings: Settings, adapter: Adapter, runtime: tokio::runtime::Handle) -> Self {
        let clock = Clock::new();
        let now = clock.now();
        let incarnation = fastrand::u64(1..);
        let record = Record {
            name: settings.instance.clone(),
            incarnation: clock::unix_time_ms(),
            refutations: 0,
            state: State::Alive,
            peer_address: settings.fleet.address.clone(),
            domain: settings.domain.clone(),
            caller_address: adapter.catalog.map_or_else(String::new, |_| settings.callers.address.clone()),
        };
        let timeouts = Timeouts { suspect: Duration::from_millis(settings.fleet.suspect_ms) };
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        let limits = Limits {
            max_queued: settings.dispatch.max_queued as usize,
            max_in_flight: settings.dispatch.max_in_flight as usize,
            quarantine: Duration::from_secs(settings.dispatch.quarantine_s),
            budgets: Budgets::DEFAULT,
        };
        let keys = ledger::table::Limits {
            retention: Duration::from_secs(settings.platform.claim_kept_s),
            max_session_keys: SESSION_KEYS,
            max_answer_bytes: settings.dispatch.kept_answers_bytes,
        };
        let kept = Duration::from_millis(settings.callers.answer_kept_ms);
        let address = &settings.platform.address;
        let store = store::Client::with_runtime(adapter.codec, address, timeout, runtime.clone());
        Self {
            dialect: Arc::new(adapter.dialect),
            catalog: adapter.catalog,
            mirror: Mutex::new(store::Mirror::new()),
            mirror_sync: Learning::new(),
            catalog_state: Mutex::new(CatalogState::default()),
            stall_detector: Mutex::new(stall::Detector::new(now)),
            clock,
            started_at: now,
            incarnation,
            runtime,
            store,
            policy_replica: Mutex::new(Replica::new()),
            active_policy: RwLock::new(Arc::new(ActivePolicy::new(0, Policy::default()))),
            roster: Mutex::new(Roster::new(record, timeouts, incarnation)),
            gossip_limiter: Mutex::new(peers::telling(now)),
            grant_manager: Mutex::new(Manager::new()),
            shift_controller: Mutex::new(Controller::new(0, kept, now)),
            steering: RwLock::new(Arc::new(Steering::default())),
            preparing: Mutex::new(Preparing::default()),
            instance_list: Mutex::new(List::default()),
            answer_memory: Budget::new(settings.dispatch.answers_bytes as usize),
            pool: Pool::new(),
            driver: Driver::new(Engine::new(Vec::new(), limits, incarnation)),
            ledger: Mutex::new(Ledger::new(keys)),
            claim_lease: Mutex::new(None),
            burn: Mutex::new(BTreeMap::new()),
            metrics: Metrics::new(),
            store_answered_at: AtomicU64::new(0),
            peer_answered_at: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            settings,
        }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Time since this process started.
    pub fn uptime(&self) -> Duration {
        self.now().since(self.started_at)
    }

    /// The policy in force.
    pub fn policy(&self) -> Arc<ActivePolicy> {
        Arc::clone(&self.active_policy.read().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// What look-ups read.
    pub fn steering(&self) -> Arc<Steering> {
        Arc::clone(&self.steering.read().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// What the prepared state rests on.
    pub fn prepared(&self) -> Prepared {
        lock(&self.preparing).rests_on
    }

    /// Puts a prepared state in the place of the one before.
    pub fn set_steering(&self, steering: Steering) {
        *self.steering.write().unwrap_or_else(std::sync::PoisonError::into_inner) = Arc::new(steering);
    }

    /// A port of the event loop at `address`.
    pub fn listen(&self, address: &str) -> std::io::Result<tokio::net::TcpListener> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let _inside = self.runtime.enter();
        tokio::net::TcpListener::from_std(listener)
    }

    /// Whether the daemon was told to stop.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Tells the daemon to stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// The session that callers may name: it ends with this process.
    pub fn session(&self) -> String {
        format!("{:016x}", self.incarnation)
    }
}

/// Locks `mutex`; state behind a panic elsewhere is still whole, since no decision panics half-way.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
