//! `check`: checks a policy file or a daemon's settings file.

use std::path::Path;

use config::configs::Settings;
use config::policy::Policy;

use crate::error::{Error, Result};

/// Section headers that only a policy has.
const POLICY_KEYS: [&str; 4] = ["[regions", "[classes", "[[links", "[[blocks"];

/// Checks the file at `path`, as a policy if it contains a key of [`POLICY_KEYS`], otherwise as settings.
pub fn run(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::Policy(config::Error::Read { path: path.to_owned(), source }))?;
    let name = path.display().to_string();
    if POLICY_KEYS.iter().any(|key| text.contains(key)) {
        let policy = Policy::parse(&name, &text)?;
        return Ok(format!(
            "{name}: good policy, {} regions, {} classes\n",
            policy.regions.len(),
            policy.classes.len()
        ));
    }
    let settings = Settings::parse(&name, &text)?;
    Ok(format!("{name}: good settings of instance {}\n", settings.instance))
}
