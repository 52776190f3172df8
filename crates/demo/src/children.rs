//! The child processes of a deployment; dropping [`Children`] kills them.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::error::{Error, Result};

/// Time between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Running processes by name.
#[derive(Debug)]
pub struct Children {
    program_folder: PathBuf,
    running: BTreeMap<String, Child>,
}

impl Children {
    /// Returns an empty set of processes; programs are started from `program_folder`.
    pub fn new(program_folder: &Path) -> Self {
        Self { program_folder: program_folder.to_owned(), running: BTreeMap::new() }
    }

    /// Returns an empty set of processes; programs are started from the folder into which this program was built.
    pub fn from_current_exe() -> Result<Self> {
        let executable = std::env::current_exe().map_err(|error| Error::Start(error.to_string()))?;
        let mut folder = executable.parent().unwrap_or(Path::new(".")).to_owned();
        // Test programs are in a subfolder of the folder of the other programs.
        if folder.ends_with("deps") {
            folder.pop();
        }
        Ok(Self::new(&folder))
    }

    /// Starts `program` under `name` and appends its output to `log`. Without a log, its standard output is discarded
    /// and its standard error is inherited.
    pub fn start(&mut self, name: &str, program: &str, arguments: &[&str], log: Option<&Path>) -> Result<()> {
        let failed = |reason: String| Error::Program { program: program.to_owned(), reason };
        let (stdout, stderr) = match log {
            Some(path) => log_file(path).map_err(|error| failed(error.to_string()))?,
            None => (Stdio::null(), Stdio::inherit()),
        };
        let mut command = Command::new(self.program_folder.join(program));
        command.args(arguments).stdin(Stdio::null()).stdout(stdout).stderr(stderr);
        let child = command.spawn().map_err(|error| failed(error.to_string()))?;
        self.running.insert(name.to_owned(), child);
        Ok(())
    }

    /// Returns the process id of `name`; `None` if it is not running.
    pub fn id(&self, name: &str) -> Option<u32> {
        self.running.get(name).map(Child::id)
    }

    /// Returns the names of the processes.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.running.keys().map(String::as_str)
    }

    /// Sends a signal (`TERM`, `STOP`, `CONT`) to `name`.
    pub fn signal(&self, name: &str, signal: &str) -> Result<()> {
        let Some(id) = self.id(name) else {
            return Err(Error::Start(format!("{name} is not running")));
        };
        let result = Command::new("kill").arg(format!("-{signal}")).arg(id.to_string()).status();
        match result {
            Ok(status) if status.success() => Ok(()),
            other => Err(Error::Start(format!("{name}: signal {signal} not sent: {other:?}"))),
        }
    }

    /// Kills `name` with SIGKILL; does nothing if it is not running.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.running.remove(name) {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Waits until `name` has ended by itself. Returns its exit code; `None` after `timeout`, if it was ended by a
    /// signal, or if it is not running.
    pub fn wait(&mut self, name: &str, timeout: Duration) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < timeout {
            let child = self.running.get_mut(name)?;
            if let Ok(Some(status)) = child.try_wait() {
                self.running.remove(name);
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }
}

/// Opens the file at `path` for appending, for standard output and standard error; lines of an earlier process stay.
fn log_file(path: &Path) -> std::io::Result<(Stdio, Stdio)> {
    let file = std::fs::File::options().create(true).append(true).open(path)?;
    Ok((file.try_clone()?.into(), file.into()))
}

impl Drop for Children {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            drop(child.kill());
        }
        for child in self.running.values_mut() {
            drop(child.wait());
        }
    }
}
