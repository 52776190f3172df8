//! The daemon's plug-ins register themselves here.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Context;

/// A plug-in of the daemon.
#[derive(Debug)]
pub struct Plugin(pub kernel::Plugin<Context>);

inventory::collect!(Plugin);

/// All registered plug-ins.
pub fn all() -> impl Iterator<Item = &'static kernel::Plugin<Context>> {
    inventory::iter::<Plugin>().map(|plugin| &plugin.0)
}

/// Longest sleep between two looks at the stop flag.
const NAP: Duration = Duration::from_millis(20);

/// A thread that does the same thing again and again.
#[derive(Debug)]
pub struct PeriodicThread {
    stop: Arc<AtomicBool>,
}

impl PeriodicThread {
    /// Calls `turn` at once and then after each pause that it returns.
    pub fn start<F>(name: &str, mut turn: F) -> Result<Self, String>
    where
        F: FnMut() -> Duration + Send + 'static,
    {
        let stop = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&stop);
        let body = move || {
            while !seen.load(Ordering::Relaxed) {
                nap(turn(), &seen);
            }
        };
        thread::Builder::new().name(name.to_owned()).spawn(body).map_err(|error| error.to_string())?;
        Ok(Self { stop })
    }

    /// Ends the loop after its present turn.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl kernel::Component for PeriodicThread {
    fn close(&mut self) {
        self.stop();
    }
}

fn nap(mut left: Duration, stop: &AtomicBool) {
    while !left.is_zero() && !stop.load(Ordering::Relaxed) {
        let part = left.min(NAP);
        thread::sleep(part);
        left -= part;
    }
}
