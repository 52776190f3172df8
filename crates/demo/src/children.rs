//! Processes of a deployment; they end with it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::error::{Error, Result};

/// Time between two looks at a process that should end.
const LOOK: Duration = Duration::from_millis(20);

/// Running processes by name.
#[derive(Debug)]
pub struct Children {
    programs: PathBuf,
    running: BTreeMap<String, Child>,
}

impl Children {
    /// Starts programs from the folder `programs`.
    pub fn new(programs: &Path) -> Self {
        Self { programs: programs.to_owned(), running: BTreeMap::new() }
    }

    /// Starts from the folder that the present program was built into.
    pub fn beside_this() -> Result<Self> {
        let own = std::env::current_exe().map_err(|error| Error::Start(error.to_string()))?;
        let mut folder = own.parent().unwrap_or(Path::new(".")).to_owned();
        // Test programs are built one folder further down.
        if folder.ends_with("deps") {
            folder.pop();
        }
        Ok(Self::new(&folder))
    }

    /// Starts `program` under `name`; what it writes is added to `log` if given.
    pub fn start(&mut self, name: &str, program: &str, arguments: &[&str], log: Option<&Path>) -> Result<()> {
        let failed = |reason: String| Error::Program { program: program.to_owned(), reason };
        let (lines, errors) = match log {
            Some(path) => log_file(path).map_err(|error| failed(error.to_string()))?,
            None => (Stdio::null(), Stdio::inherit()),
        };
        let mut command = Command::new(self.programs.join(program));
        command.args(arguments).stdin(Stdio::null()).stdout(lines).stderr(errors);
        let child = command.spawn().map_err(|error| failed(error.to_string()))?;
        self.running.insert(name.to_owned(), child);
        Ok(())
    }

    /// The process id of `name`.
    pub fn id(&self, name: &str) -> Option<u32> {
        self.running.get(name).map(Child::id)
    }

    /// Names of the processes.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.running.keys().map(String::as_str)
    }

    /// Sends a signal (`TERM`, `STOP`, `CONT`) to `name`.
    pub fn signal(&self, name: &str, signal: &str) -> Result<()> {
        let Some(id) = self.id(name) else {
            return Err(Error::Start(format!("{name} does not run")));
        };
        let sent = Command::new("kill").arg(format!("-{signal}")).arg(id.to_string()).status();
        match sent {
            Ok(status) if status.success() => Ok(()),
            other => Err(Error::Start(format!("{name}: signal {signal} not sent: {other:?}"))),
        }
    }

    /// Kills `name` at once.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.running.remove(name) {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Waits until `name` has ended by itself; gives its exit code.
    pub fn wait(&mut self, name: &str, most: Duration) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < most {
            let child = self.running.get_mut(name)?;
            if let Ok(Some(status)) = child.try_wait() {
                self.running.remove(name);
                return status.code();
            }
            thread::sleep(LOOK);
        }
        None
    }
}

/// The file at `path` twice, for standard output and standard error; lines of an earlier process stay.
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
