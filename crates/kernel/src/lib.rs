//! Life cycle of a daemon made of plug-ins that register themselves.
//!
//! The kernel knows no plug-in by name. A daemon collects its plug-ins at link time, and the kernel starts them
//! by stage and stops them in reverse, in three steps: withdraw, drain, close.

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

/// A running plug-in.
pub trait Component: Send {
    /// Tells others that this daemon stops; work goes on.
    fn withdraw(&mut self) {}

    /// Takes no new work; says whether all work is done. Called until it is.
    fn drain(&mut self) -> bool {
        true
    }

    /// Ends for good.
    fn close(&mut self) {}
}

/// A plug-in that has nothing to do here.
#[derive(Debug, Clone, Copy)]
pub struct Idle;

impl Component for Idle {}

/// What starting a plug-in gives: the running part, or what went wrong and what to change.
pub type StartResult = std::result::Result<Box<dyn Component>, String>;

/// A plug-in over the context `C`.
#[derive(Debug)]
pub struct Plugin<C> {
    /// Short name, also the prefix of its logs.
    pub name: &'static str,
    /// Lower stages start first and close last.
    pub stage: u8,
    /// Starts it.
    pub start: fn(&Arc<C>) -> StartResult,
}

/// Running plug-ins.
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
    /// Starts `plugins` by stage and name; if one fails, those started are closed again.
    pub fn start<'a, C: 'static>(plugins: impl IntoIterator<Item = &'a Plugin<C>>, context: &Arc<C>) -> Result<Self> {
        let mut ordered: Vec<&Plugin<C>> = plugins.into_iter().collect();
        ordered.sort_by_key(|plugin| (plugin.stage, plugin.name));
        let mut kernel = Self { components: Vec::new() };
        for plugin in ordered {
            log::debug!("kernel: starting part={}", plugin.name);
            match (plugin.start)(context) {
                Ok(part) => kernel.components.push((plugin.name, part)),
                Err(reason) => {
                    kernel.close();
                    return Err(Error { plugin: plugin.name, reason });
                }
            }
        }
        Ok(kernel)
    }

    /// Tells all parts to withdraw, last started first.
    pub fn withdraw(&mut self) {
        for (name, part) in self.components.iter_mut().rev() {
            log::debug!("kernel: withdrawing part={name}");
            part.withdraw();
        }
    }

    /// Has all parts take no new work, last started first; says whether all work is done. Called until it is.
    pub fn drain(&mut self) -> bool {
        self.components.iter_mut().rev().all(|(_, part)| part.drain())
    }

    /// Closes all parts, last started first.
    pub fn close(&mut self) {
        while let Some((name, mut part)) = self.components.pop() {
            log::debug!("kernel: closing part={name}");
            part.close();
        }
    }
}
