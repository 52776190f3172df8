//! The record of a run, and the clock that all stand-ins share.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static FILE: Mutex<Option<File>> = Mutex::new(None);

/// Seconds since the run began.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Opens `record.txt` in the folder of the case.
pub fn open(folder: &str) {
    now();
    *FILE.lock().unwrap() = File::create(format!("{folder}/record.txt")).ok();
}

/// Adds a line with the time.
pub fn line(text: &str) {
    let now = now();
    if let Some(file) = FILE.lock().unwrap().as_mut() {
        let _ = writeln!(file, "{now:9.3} {text}");
    }
}

/// Adds a line and prints it.
pub fn say(text: &str) {
    println!("{text}");
    line(text);
}
