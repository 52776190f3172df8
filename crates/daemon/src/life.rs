//! From start to graceful stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use config::configs::Settings;

use crate::{Context, operators, plugin, policies};

/// Threads that run sockets.
const SOCKET_THREADS: usize = 2;
/// Threads beyond those of attempts: cancellations, claims to delete.
const SPARE_THREADS: usize = 32;
/// Time between two looks at what is still open.
const LOOK: Duration = Duration::from_millis(20);

/// Why a daemon did not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The policy of the settings is not valid.
    #[error(transparent)]
    Policy(#[from] config::Error),
    /// A part did not start.
    #[error(transparent)]
    Part(#[from] kernel::Error),
    /// The system refused something at the start.
    #[error("start: {0}")]
    System(#[from] std::io::Error),
}

/// The result of running a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Runs a daemon until it is told to stop by a signal.
pub fn run(settings: Settings) -> Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    let now = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        // A second signal ends the process at once.
        signal_hook::flag::register_conditional_shutdown(signal, 1, Arc::clone(&now))?;
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let daemon = Daemon::start(settings)?;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(LOOK);
    }
    now.store(true, Ordering::Relaxed);
    daemon.stop();
    Ok(())
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    kernel: kernel::Kernel,
    runtime: tokio::runtime::Runtime,
}

impl Daemon {
    /// Starts all plug-ins.
    pub fn start(settings: Settings) -> Result<Self> {
        let blocking = settings.dispatch.max_in_flight as usize + SPARE_THREADS;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(SOCKET_THREADS)
            .max_blocking_threads(blocking)
            .enable_all()
            .build()?;
        let context = Arc::new(Context::new(settings, runtime.handle().clone()));
        policies::from_settings(&context)?;
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

    /// Stops gracefully: withdraws, waits until callers forgot old answers, finishes all work, closes.
    pub fn stop(mut self) {
        log::info!("life: stopping");
        self.context.stop();
        self.kernel.withdraw();
        std::thread::sleep(Duration::from_secs(self.context.settings.callers.answer_kept_s));
        let drained = self.kernel.drain(LOOK, |pause| {
            std::thread::sleep(pause);
            true
        });
        self.kernel.close();
        log::info!("life: stopped drained={drained}");
        self.runtime.shutdown_timeout(Duration::from_secs(1));
    }
}
