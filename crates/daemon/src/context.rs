//! The state that all plug-ins share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
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
use fleet::confirmation::Confirmation;
use fleet::message::Record;
use fleet::replica::{Replica, Version};
use fleet::roster::{Roster, Timeouts};
use h1::{Budget, Memory};
use ledger::Ledger;
use steer::grant::Manager;
use steer::shift::Controller;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Semaphore, watch};

use crate::accounts;
use crate::adapter::{Adapter, Catalog};
use crate::at_most_once::ClaimLease;
use crate::backends::pool::Pool;
use crate::backends::reach;
use crate::callers::limits;
use crate::clock::{self, Clock};
use crate::dialect::Dialect;
use crate::driver::Driver;
use crate::instance_list::{List, ServerEntries};
use crate::metrics::Metrics;
use crate::mirror::SyncState;
use crate::peers;
use crate::policies::ActivePolicy;
use crate::quotas;
use crate::response::Response;
use crate::view::{Inputs, RefreshState, Steering};

/// Maximum number of connections that wait to be accepted at an address. Beyond it callers' opening packets are dropped, and sent
/// again after a second.
const MAX_BACKLOG: u32 = 512;
/// Maximum number of idempotency keys of sessions that the ledger holds.
const MAX_SESSION_KEYS: usize = 65_536;

/// What was last read from the platform's store: entries of backend servers, and what could not be used of them and of
/// the policy.
#[derive(Debug, Clone, Default)]
pub struct CatalogState {
    /// Entries of backend servers as last read; each is parsed again only after it changed.
    pub entries: ServerEntries,
    /// Why entries were skipped, one reason each.
    pub entries_passed_over: BTreeSet<String>,
    /// Why the policy in the store was refused; `None` once one was accepted.
    pub policy_error: Option<String>,
    /// Era of the mirror and number of changes of the policy's keys there when the policy was last read; `None` before.
    pub policy_changes: Option<(u64, u64)>,
    /// Items of the policy in force that cannot be used or are unknown, one reason each.
    pub policy_passed_over: BTreeSet<String>,
}

/// The shared state of a daemon.
#[derive(Debug)]
pub struct Context {
    /// Settings of this daemon.
    pub settings: Settings,
    /// Names of headers and paths on the wire to callers and backend servers.
    pub dialect: Arc<Dialect>,
    /// Detects that the process was suspended or did not run.
    pub stall_detector: Mutex<stall::Detector>,
    /// Number of stalls after which dispatch is still suspended.
    pub unconfirmed_stalls: watch::Sender<u32>,
    /// The clock of all times in this state.
    pub clock: Clock,
    started_at: Time,
    /// Random number of this process, so that no two runs of a daemon are equal; never zero.
    pub incarnation: u64,
    /// The event loop, which runs the sockets of callers, peers and backend servers.
    pub runtime: tokio::runtime::Handle,
    /// Client of the platform's store.
    pub store: store::Client,
    /// Parser of policy and backend servers in the store; `None` if the platform does not keep them there.
    pub catalog: Option<Catalog>,
    /// Mirror of the store's keys; stays empty without a catalog.
    pub mirror: Mutex<store::Mirror>,
    /// State of the tasks that keep the mirror up to date.
    pub mirror_sync: SyncState,
    /// Entries of backend servers as last read from the mirror, and what could not be used of them and of the policy.
    pub catalog_state: Mutex<CatalogState>,
    /// The policy document in force, as peers may fetch it.
    pub policy_replica: Mutex<Replica>,
    /// A permit for each fetch of a policy from a peer.
    pub policy_fetches: Arc<Semaphore>,
    /// What other daemons have told of the age of the policy in force.
    pub confirmation: Mutex<Confirmation>,
    /// The policy in force, parsed.
    pub active_policy: RwLock<Arc<ActivePolicy>>,
    /// Gossip membership, and the loads, losses and leaving servers that are gossiped.
    pub roster: Mutex<Roster>,
    /// Limits how often losses and leaving servers are sent to peers at once instead of with the next exchange.
    pub gossip_limiter: Mutex<Bucket>,
    /// This daemon's slots of the links to other regions and of capacity there.
    pub grant_manager: Mutex<Manager>,
    /// Shifts callers between regions by load.
    pub shift_controller: Mutex<Controller>,
    /// The routing state that look-ups and dispatch read; always replaced as a whole.
    pub steering: RwLock<Arc<Steering>>,
    /// What `steering` was last built from. Locked while it is rebuilt, so that an older state never replaces a newer
    /// one.
    pub refresh_state: Mutex<RefreshState>,
    /// Instances that the platform lists.
    pub instance_list: Mutex<List>,
    /// Limits of what callers may send, and of how long they may take, with the version of the policy that operators declared them
    /// beside; `None` for those of the settings alone.
    caller_limits: RwLock<(limits::Limits, Option<Version>)>,
    /// Memory budget for what callers make the daemon hold: requests that arrive or run, and answers that they do not read.
    pub caller_memory: Arc<Memory>,
    /// Memory budget for backend servers' answers that are being read.
    pub answer_memory: Budget,
    /// Idle connections to backend servers.
    pub pool: Pool,
    /// Idle connections to other entry instances, by a hash of their addresses.
    pub peer_pool: Pool,
    /// Whether backend servers can be reached at all.
    pub reach: reach::State,
    /// The dispatch engine with the requests in flight.
    pub driver: Driver,
    /// Idempotency keys of non-idempotent requests, with the answers kept for re-sends.
    pub ledger: Mutex<Ledger<Arc<Response>>>,
    /// The lease that new claims are attached to; `None` before the first claim and after a refused write.
    pub claim_lease: Mutex<Option<ClaimLease>>,
    /// Good and bad answers over time, by class, for the service-level report.
    pub burn: Mutex<BTreeMap<String, burn::Series>>,
    /// Counts of the requests of client accounts.
    pub accounts: accounts::Tally,
    /// Quotas of client accounts.
    pub quotas: quotas::State,
    /// Metrics for operators.
    pub metrics: Metrics,
    /// When the store last answered, in microseconds of the clock; zero if it never did.
    pub store_answered_at: AtomicU64,
    /// When a peer last answered, in microseconds of the clock; zero if none ever did.
    pub peer_answered_at: AtomicU64,
    stopping: AtomicBool,
}

impl Context {
    /// Creates the state of a daemon that starts with `settings`.
    pub fn new(settings: Settings, adapter: Adapter, runtime: tokio::runtime::Handle) -> Self {
        let clock = Clock::new();
        let now = clock.now();
        let incarnation = fastrand::u64(1..);
        let record = Record {
            caller_address: adapter.catalog.map_or_else(String::new, |_| settings.callers.address.clone()),
            relay_port: settings.fleet.relay_address().parse().ok().map(|address: SocketAddr| address.port()),
            capacity: Some(settings.machine.capacity()),
            heeds_regions: true,
            ..Record::new(&settings.instance, clock::unix_time_ms(), &settings.fleet.address, &settings.domain)
        };
        let timeouts = Timeouts { suspect: Duration::from_millis(settings.fleet.suspect_ms) };
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        let limits = Limits {
            max_queued: settings.dispatch.max_queued as usize,
            max_in_flight: settings.dispatch.max_in_flight as usize,
            quarantine: Duration::from_secs(settings.dispatch.quarantine_s),
            budgets: Budgets::DEFAULT,
        };
        let ledger_limits = ledger::table::Limits {
            retention: Duration::from_secs(settings.platform.claim_kept_s),
            max_session_keys: MAX_SESSION_KEYS,
            max_answer_bytes: settings.dispatch.kept_answers_bytes,
        };
        let answer_ttl = Duration::from_millis(settings.callers.answer_kept_ms);
        let address = &settings.platform.address;
        let store = store::Client::with_runtime(adapter.codec, address, timeout, runtime.clone());
        Self {
            dialect: Arc::new(adapter.dialect),
            catalog: adapter.catalog,
            mirror: Mutex::new(
                adapter
                    .catalog
                    .map_or_else(store::Mirror::new, |catalog| store::Mirror::new().with_order(catalog.order)),
            ),
            mirror_sync: SyncState::new(),
            catalog_state: Mutex::new(CatalogState::default()),
            stall_detector: Mutex::new(stall::Detector::new(now)),
            unconfirmed_stalls: watch::Sender::new(0),
            clock,
            started_at: now,
            incarnation,
            runtime,
            store,
            policy_replica: Mutex::new(Replica::new()),
            policy_fetches: Arc::new(Semaphore::new(peers::exchange::MAX_POLICY_FETCHES)),
            confirmation: Mutex::new(Confirmation::default()),
            active_policy: RwLock::new(Arc::new(ActivePolicy::new(Version::default(), Policy::default()))),
            roster: Mutex::new(Roster::new(record, timeouts, incarnation)),
            gossip_limiter: Mutex::new(peers::gossip_limiter(now)),
            grant_manager: Mutex::new(Manager::new()),
            shift_controller: Mutex::new(Controller::new(0, answer_ttl, now)),
            steering: RwLock::new(Arc::new(Steering::default())),
            refresh_state: Mutex::new(RefreshState::default()),
            instance_list: Mutex::new(List::default()),
            caller_limits: RwLock::new((limits::Limits::new(&settings.callers), None)),
            caller_memory: Arc::new(caller_memory(&settings)),
            answer_memory: Budget::new(settings.answer_memory_bytes() as usize),
            pool: Pool::new(),
            peer_pool: Pool::new(),
            reach: reach::State::default(),
            driver: Driver::new(Engine::new(Vec::new(), limits, incarnation)),
            ledger: Mutex::new(Ledger::new(ledger_limits)),
            claim_lease: Mutex::new(None),
            burn: Mutex::new(BTreeMap::new()),
            accounts: accounts::Tally::default(),
            quotas: quotas::State::new(&settings.instance, incarnation, now),
            metrics: Metrics::new(),
            store_answered_at: AtomicU64::new(0),
            peer_answered_at: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            settings,
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the time since this process started.
    pub fn uptime(&self) -> Duration {
        self.now().since(self.started_at)
    }

    /// Returns the policy in force.
    pub fn policy(&self) -> Arc<ActivePolicy> {
        Arc::clone(&self.active_policy.read().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Whether `active` is still the policy in force.
    pub fn is_in_force(&self, active: &Arc<ActivePolicy>) -> bool {
        Arc::ptr_eq(active, &self.active_policy.read().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Returns the routing state that look-ups and dispatch read.
    pub fn steering(&self) -> Arc<Steering> {
        Arc::clone(&self.steering.read().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Returns what the current routing state was built from.
    pub fn steering_inputs(&self) -> Inputs {
        lock(&self.refresh_state).inputs
    }

    /// Replaces the routing state that look-ups and dispatch read.
    pub fn set_steering(&self, steering: Steering) {
        *self.steering.write().unwrap_or_else(std::sync::PoisonError::into_inner) = Arc::new(steering);
    }

    /// Returns the limits of what callers may send, and of how long they may take.
    pub fn caller_limits(&self) -> limits::Limits {
        self.caller_limits.read().unwrap_or_else(std::sync::PoisonError::into_inner).0
    }

    /// Whether these limits are those of the policy in force. They are not where the policy came from a peer, or there is none yet, as
    /// long as this daemon has not read from the store what operators declare beside it.
    pub fn knows_caller_limits(&self) -> bool {
        let (_, version) = *self.caller_limits.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        let in_force = self.policy().version;
        // A change of other keys of the operators gives their document another version, and leaves its own number as it is.
        let is_of =
            |version: Version| version >= in_force || (version.declared > 0 && version.declared == in_force.declared);
        self.catalog.is_none() || version.is_some_and(is_of)
    }

    /// Replaces the limits of what callers may send, and of how long they may take, by those beside the policy of `version`.
    pub fn set_caller_limits(&self, limits: limits::Limits, version: Version) {
        *self.caller_limits.write().unwrap_or_else(std::sync::PoisonError::into_inner) = (limits, Some(version));
    }

    /// Opens a listening socket at `address` on the event loop.
    pub fn listen(&self, address: &str) -> std::io::Result<TcpListener> {
        let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
        let _guard = self.runtime.enter();
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(MAX_BACKLOG)
    }

    /// Whether the daemon is stopping.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Marks the daemon as stopping; the plug-ins read this mark.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the id of the session that callers may name with their idempotency keys; it ends with this process.
    pub fn session(&self) -> String {
        format!("{:016x}", self.incarnation)
    }
}

/// Returns the memory budget for callers: one body of the largest size always fits, if no others hold much, and small requests
/// fit beside large bodies.
fn caller_memory(settings: &Settings) -> Memory {
    let bytes = settings.caller_memory_bytes();
    let with_one = settings.one_body_memory_bytes();
    let with_small = settings.small_request_memory_bytes();
    Memory::new(bytes as usize).with_one(with_one as usize).with_small(with_small as usize)
}

/// Locks `mutex`, also after a thread panicked while it held the lock: the state is still consistent, since no decision
/// panics in the middle of a change.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
