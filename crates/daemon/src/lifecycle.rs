//! The daemon's life cycle: start, reload of the settings, graceful stop.

use std::sync::Arc;
use std::time::Duration;

use config::configs::{Settings, Source};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::adapter::Adapter;
use crate::{Context, logs, operators, plugin, policies};

/// Maximum number of threads for blocking calls, which claim keyed requests in the store.
const MAX_BLOCKING_THREADS: usize = 64;
/// Time between two checks whether all work is done.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for blocking calls that still run after the components were closed.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Exit code of a daemon that is interrupted while it stops.
const EXIT_INTERRUPTED: i32 = 1;

/// Why a daemon did not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The policy file that the settings name is not valid.
    #[error(transparent)]
    Policy(#[from] config::Error),
    /// A component did not start.
    #[error(transparent)]
    Component(#[from] kernel::Error),
    /// The operating system refused a call at the start.
    #[error("start: {0}")]
    System(#[from] std::io::Error),
}

/// The result of running a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Runs a daemon on this thread until a signal stops it; `source` is where `settings` were read from, for reloads.
pub fn run(source: &Source, settings: Settings, adapter: Adapter) -> Result<()> {
    let runtime = Builder::new_current_thread().max_blocking_threads(MAX_BLOCKING_THREADS).enable_all().build()?;
    let mut signals = {
        let _guard = runtime.enter();
        Signals::new()?
    };
    let Daemon { context, kernel, runtime } = Daemon::start_on(runtime, settings, adapter)?;
    runtime.block_on(async {
        signals.wait_for_stop(&context, source).await;
        let (shared, source) = (Arc::clone(&context), source.clone());
        tokio::spawn(async move {
            signals.wait_for_interrupt(&shared, &source).await;
            std::process::exit(EXIT_INTERRUPTED);
        });
        stop(&context, kernel).await;
    });
    runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
    Ok(())
}

/// Reads the settings again. New log levels apply at once; anything else needs a restart, and the log names it.
pub fn reload(context: &Context, source: &Source) {
    let settings = match source.read() {
        Ok(settings) => settings,
        Err(error) => return log::warn!("life: reload refused, nothing changed reason={:?}", error.to_string()),
    };
    logs::set(logs::Levels::new(&settings));
    let mut differing = match context.settings.differing_keys(&settings) {
        Ok(differing) => differing,
        Err(error) => {
            return log::warn!("life: reloaded, settings could not be compared reason={:?}", error.to_string());
        }
    };
    differing.retain(|name| !name.starts_with("log") || name == "log_lines");
    let names = differing.join(",");
    log::info!(restart_for = names.as_str(); "life: reloaded");
}

/// Signals of the operating system.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the first signal to stop; reloads the settings meanwhile.
    async fn wait_for_stop(&mut self, context: &Context, source: &Source) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => reload(context, source),
            }
        }
    }

    /// Waits for an interrupt during the stop, by which someone at a terminal ends it at once. A second terminate signal
    /// changes nothing: a supervisor may send it twice, and the stop is still a planned one, which cuts no request.
    async fn wait_for_interrupt(&mut self, context: &Context, source: &Source) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => log::info!("life: stop signal received again, already stopping"),
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => reload(context, source),
            }
        }
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    kernel: kernel::Kernel,
    runtime: Runtime,
}

impl Daemon {
    /// Starts all plug-ins on an event loop with a thread of its own.
    pub fn start(settings: Settings, adapter: Adapter) -> Result<Self> {
        let mut builder = Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).max_blocking_threads(MAX_BLOCKING_THREADS).enable_all().build()?;
        Self::start_on(runtime, settings, adapter)
    }

    fn start_on(runtime: Runtime, settings: Settings, adapter: Adapter) -> Result<Self> {
        let context = Arc::new(Context::new(settings, adapter, runtime.handle().clone()));
        policies::apply_from_settings(&context)?;
        let kernel = kernel::Kernel::start(plugin::all(), &context)?;
        let readiness = operators::readiness(&context);
        log::info!(
            "life: started callers={} operators={} peers={} ready={}",
            context.settings.callers.address,
            context.settings.operators.address,
            context.settings.fleet.address,
            readiness.ready
        );
        Ok(Self { context, kernel, runtime })
    }

    /// Returns the state that the plug-ins share.
    pub const fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Stops gracefully; blocks until that is done.
    pub fn stop(self) {
        self.runtime.block_on(stop(&self.context, self.kernel));
        self.runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
    }
}

/// Withdraws, waits until answers that callers keep from look-ups have expired, finishes all work, then closes.
async fn stop(context: &Context, mut kernel: kernel::Kernel) {
    let stop_started = context.now();
    log::info!("life: stopping");
    context.stop();
    kernel.withdraw();
    tokio::time::sleep(Duration::from_millis(context.settings.callers.answer_kept_ms)).await;
    let limit = Duration::from_millis(context.settings.callers.stop_ms);
    let mut drained = kernel.drain();
    while !drained && context.now().since(stop_started) < limit {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        drained = kernel.drain();
    }
    // Components release what they hold in the store by blocking calls, which need the event loop to keep running.
    if let Err(error) = tokio::task::spawn_blocking(move || kernel.close()).await {
        log::warn!("life: a component did not close reason={:?}", error.to_string());
    }
    log::info!("life: stopped drained={drained} after_ms={}", context.now().since(stop_started).as_millis());
}
