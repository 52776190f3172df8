//! Which lines are written, by the part that they come from.

use std::collections::BTreeMap;
use std::sync::{PoisonError, RwLock};

use config::configs::Settings;
use log::{Level, LevelFilter};

/// Levels in force in this process: it has one log.
static IN_FORCE: RwLock<Option<Levels>> = RwLock::new(None);

/// The level of each part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Levels {
    usual: LevelFilter,
    parts: BTreeMap<String, LevelFilter>,
}

impl Levels {
    /// The levels that the settings name; `info` where they name none.
    pub fn new(settings: &Settings) -> Self {
        let level = |text: &String| text.parse().unwrap_or(LevelFilter::Info);
        let parts = settings.log_parts.iter().map(|(part, text)| (part.clone(), level(text)));
        Self { usual: level(&settings.log), parts: parts.collect() }
    }

    /// Whether a line of `level` that begins with the name of its part is written.
    pub fn allow(&self, line: &str, level: Level) -> bool {
        let part = line.split(':').next().unwrap_or_default();
        level <= self.parts.get(part).copied().unwrap_or(self.usual)
    }

    fn most(&self) -> LevelFilter {
        self.parts.values().copied().fold(self.usual, Ord::max)
    }
}

/// Puts levels into force; lines that no part wants cost nothing.
pub fn set(levels: Levels) {
    log::set_max_level(levels.most());
    *IN_FORCE.write().unwrap_or_else(PoisonError::into_inner) = Some(levels);
}

/// Whether a line is written by the levels in force.
pub fn allowed(line: &str, level: Level) -> bool {
    let in_force = IN_FORCE.read().unwrap_or_else(PoisonError::into_inner);
    in_force.as_ref().is_none_or(|levels| levels.allow(line, level))
}
