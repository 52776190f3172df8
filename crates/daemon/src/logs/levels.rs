//! Log levels by component.

use std::collections::BTreeMap;
use std::sync::{PoisonError, RwLock};

use config::configs::Settings;
use log::{Level, LevelFilter};

/// The levels in force; one for the process, which has one log.
static IN_FORCE: RwLock<Option<Levels>> = RwLock::new(None);

/// The log level of each component.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Levels {
    /// The level of components that have none of their own.
    default: LevelFilter,
    components: BTreeMap<String, LevelFilter>,
}

impl Levels {
    /// Returns the levels of the settings; `info` where they name none.
    pub fn new(settings: &Settings) -> Self {
        let level = |text: &String| text.parse().unwrap_or(LevelFilter::Info);
        let components = settings.log_parts.iter().map(|(component, text)| (component.clone(), level(text)));
        Self { default: level(&settings.log), components: components.collect() }
    }

    /// Whether a line of `level` is written; it begins with its component's name and a colon.
    pub fn allow(&self, line: &str, level: Level) -> bool {
        let component = line.split(':').next().unwrap_or_default();
        level <= self.components.get(component).copied().unwrap_or(self.default)
    }

    /// Returns the most verbose level of all components.
    fn max(&self) -> LevelFilter {
        self.components.values().copied().fold(self.default, Ord::max)
    }
}

/// Applies levels to this process. Lines above all components' levels are then not even formatted.
pub fn set(levels: Levels) {
    log::set_max_level(levels.max());
    *IN_FORCE.write().unwrap_or_else(PoisonError::into_inner) = Some(levels);
}

/// Whether the levels in force allow a line of `level`; all lines pass before any are set.
pub fn allowed(line: &str, level: Level) -> bool {
    let in_force = IN_FORCE.read().unwrap_or_else(PoisonError::into_inner);
    in_force.as_ref().is_none_or(|levels| levels.allow(line, level))
}
