//! Life cycle of a daemon that consists of plug-ins.
//!
//! The kernel does not depend on any plug-in. A daemon collects its registered plug-ins at link time; the kernel starts
//! them in the order of their stages and stops them in reverse order, in three steps: withdraw, drain, close.

use std::sync::Arc;

/// Why a plug-in did not start.
#[derive(Debug, thiserror::Error)]
#[error("{plugin}: {reason}")]
pub struct Error {
    /// The plug-in.
    pub plugin: &'static str,
    /// What went wrong and what to change.
    pub reason: String,
}

/// The result of starting a plug-in.
pub type Result<T> = std::result::Result<T, Error>;

/// The running component of a plug-in.
pub trait Component: Send {
    /// Announces to others that this daemon stops; work continues.
    fn withdraw(&mut self) {}

    /// Stops accepting work and returns whether all work is done. Called repeatedly until it is, or until the time for
    /// draining has passed.
    fn drain(&mut self) -> bool {
        true
    }

    /// Stops the component.
    fn close(&mut self) {}
}

/// A component that does nothing, for a plug-in that the settings do not need.
#[derive(Debug, Clone, Copy)]
pub struct Idle;

impl Component for Idle {}

/// The result of a plug-in's start function: the running component, or what went wrong and what to change.
pub type StartResult = std::result::Result<Box<dyn Component>, String>;

/// A plug-in over the context `C`.
#[derive(Debug)]
pub struct Plugin<C> {
    /// Short name, also the prefix of its log lines.
    pub name: &'static str,
    /// Lower stages start first and close last.
    pub stage: u8,
    /// Starts the plug-in.
    pub start: fn(&Arc<C>) -> StartResult,
}

/// The running components of a daemon.
pub struct Kernel {
    components: Vec<(&'static str, Box<dyn Component>)>,
}

impl std::fmt::Debug for Kernel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let names: Vec<_> = self.components.iter().map(|(name, _)| name).collect();
        f.debug_struct("Kernel").field("parts", &names).finish()
    }
}

impl Kernel {
    /// Starts `plugins` in the order of stage and name; if one fails, closes those already started.
    pub fn start<'a, C: 'static>(plugins: impl IntoIterator<Item = &'a Plugin<C>>, context: &Arc<C>) -> Result<Self> {
        let mut ordered: Vec<&Plugin<C>> = plugins.into_iter().collect();
        ordered.sort_by_key(|plugin| (plugin.stage, plugin.name));
        let mut kernel = Self { components: Vec::new() };
        for plugin in ordered {
            log::debug!("kernel: starting part={}", plugin.name);
            match (plugin.start)(context) {
                Ok(component) => kernel.components.push((plugin.name, component)),
                Err(reason) => {
                    kernel.close();
                    return Err(Error { plugin: plugin.name, reason });
                }
            }
        }
        Ok(kernel)
    }

    /// Withdraws all components, last started first.
    pub fn withdraw(&mut self) {
        for (name, component) in self.components.iter_mut().rev() {
            log::debug!("kernel: withdrawing part={name}");
            component.withdraw();
        }
    }

    /// Drains the components, last started first, each once those started after it are; returns whether all work is
    /// done. Called repeatedly until it is.
    pub fn drain(&mut self) -> bool {
        self.components.iter_mut().rev().all(|(_, component)| component.drain())
    }

    /// Closes all components, last started first.
    pub fn close(&mut self) {
        while let Some((name, mut component)) = self.components.pop() {
            log::debug!("kernel: closing part={name}");
            component.close();
        }
    }
}
