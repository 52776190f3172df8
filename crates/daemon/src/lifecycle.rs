//! From start to graceful stop.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use config::configs::Settings;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::adapter::Adapter;
use crate::{Context, logs, operators, plugin, policies};

/// Threads for calls that block: claims of orders.
const BLOCKING_THREADS: usize = 64;
/// Time between two looks at what is still open.
const LOOK: Duration = Duration::from_millis(20);
/// Time for what is left when the parts are closed.
const LAST: Duration = Duration::from_secs(1);
/// Exit code of a daemon that is interrupted while it stops.
const EXIT_AT_ONCE: i32 = 1;

/// Why a daemon did not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The policy of the settings is not valid.
    #[error(transparent)]
    Policy(#[from] config::Error),
    /// A part did not start.
    #[error(transparent)]
    Component(#[from] kernel::Error),
    /// The system refused something at the start.
    #[error("start: {0}")]
    System(#[from] std::io::Error),
}

/// The result of running a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Runs a daemon with the settings of the file `path` on this thread until it is told to stop by a signal.
pub fn run(path: &Path, settings: Settings, adapter: Adapter) -> Result<()> {
    let runtime = Builder::new_current_thread().max_blocking_threads(BLOCKING_THREADS).enable_all().build()?;
    let mut signals = {
        let _inside = runtime.enter();
        Signals::new()?
    };
    let Daemon { context, kernel, runtime } = Daemon::start_on(runtime, settings, adapter)?;
    runtime.block_on(async {
        signals.stop(&context, path).await;
        let (shared, path) = (Arc::clone(&context), path.to_owned());
        tokio::spawn(async move {
            signals.interrupt_stop(&shared, &path).await;
            std::process::exit(EXIT_AT_ONCE);
        });
        stop(&context, kernel).await;
    });
    runtime.shutdown_timeout(LAST);
    Ok(())
}

/// Reads the settings anew: log levels are taken at once, anything else needs a restart, which is told.
pub fn reload(context: &Context, path: &Path) {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => return log::warn!("life: reload refused, nothing changed reason={:?}", error.to_string()),
    };
    logs::set(logs::Levels::new(&settings));
    let mut differing = match context.settings.differing_keys(&settings) {
        Ok(differing) => differing,
        Err(error) => return log::warn!("life: reloaded, what differs is unknown reason={:?}", error.to_string()),
    };
    differing.retain(|name| !name.starts_with("log") || name == "log_lines");
    let names = differing.join(",");
    log::info!(restart_for = names.as_str(); "life: reloaded");
}

/// Signals of the system.
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

    /// Waits until the daemon is told to stop.
    async fn stop(&mut self, context: &Context, path: &Path) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => reload(context, path),
            }
        }
    }

    /// Waits until someone at a terminal does not want to wait for the stop. Told to stop again, a daemon goes on with
    /// it: what is told twice by a supervisor is still a planned stop, which cuts no request.
    async fn interrupt_stop(&mut self, context: &Context, path: &Path) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => log::info!("life: told to stop again, already stopping"),
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => reload(context, path),
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
    /// Starts all plug-ins on threads of their own.
    pub fn start(settings: Settings, adapter: Adapter) -> Result<Self> {
        let mut builder = Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).max_blocking_threads(BLOCKING_THREADS).enable_all().build()?;
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

    /// What the plug-ins share.
    pub const fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Stops gracefully.
    pub fn stop(self) {
        self.runtime.block_on(stop(&self.context, self.kernel));
        self.runtime.shutdown_timeout(LAST);
    }
}

/// Withdraws, waits until callers forgot old answers, finishes all work, closes.
async fn stop(context: &Context, mut kernel: kernel::Kernel) {
    let begun = context.now();
    log::info!("life: stopping");
    context.stop();
    kernel.withdraw();
    tokio::time::sleep(Duration::from_millis(context.settings.callers.answer_kept_ms)).await;
    let limit = Duration::from_millis(context.settings.callers.stop_ms);
    let mut drained = kernel.drain();
    while !drained && context.now().since(begun) < limit {
        tokio::time::sleep(LOOK).await;
        drained = kernel.drain();
    }
    // Parts give back what they hold in the store with calls that block, which need the event loop to go on.
    if let Err(error) = tokio::task::spawn_blocking(move || kernel.close()).await {
        log::warn!("life: a part did not close reason={:?}", error.to_string());
    }
    log::info!("life: stopped drained={drained} after_ms={}", context.now().since(begun).as_millis());
}
