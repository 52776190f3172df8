//! Registration of the daemon's plug-ins, and the periodic threads of some.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Context;

/// A plug-in of the daemon.
#[derive(Debug)]
pub struct Plugin(pub kernel::Plugin<Context>);

inventory::collect!(Plugin);

/// Returns all registered plug-ins, in no particular order.
pub fn all() -> impl Iterator<Item = &'static kernel::Plugin<Context>> {
    inventory::iter::<Plugin>().map(|plugin| &plugin.0)
}

/// Longest sleep between two checks of the stop flag.
const MAX_SLEEP: Duration = Duration::from_millis(20);

/// A thread that runs the same task periodically.
#[derive(Debug)]
pub struct PeriodicThread {
    stop: Arc<AtomicBool>,
}

impl PeriodicThread {
    /// Starts a thread that calls `task` at once and then after each pause that it returns.
    pub fn start<F>(name: &str, mut task: F) -> Result<Self, String>
    where
        F: FnMut() -> Duration + Send + 'static,
    {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stop);
        let body = move || {
            while !stop_flag.load(Ordering::Relaxed) {
                sleep(task(), &stop_flag);
            }
        };
        thread::Builder::new().name(name.to_owned()).spawn(body).map_err(|error| error.to_string())?;
        Ok(Self { stop })
    }

    /// Ends the thread after the present run of its task; does not wait for it.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl kernel::Component for PeriodicThread {
    fn close(&mut self) {
        self.stop();
    }
}

/// Sleeps for `left`, or until `stop` is set.
fn sleep(mut left: Duration, stop: &AtomicBool) {
    while !left.is_zero() && !stop.load(Ordering::Relaxed) {
        let pause = left.min(MAX_SLEEP);
        thread::sleep(pause);
        left -= pause;
    }
}
