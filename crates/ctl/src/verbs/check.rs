//! `check`: checks a policy file or a daemon's settings file.

use std::path::Path;

use config::configs::Settings;
use config::policy::Policy;

use crate::error::{Error, Result};

/// Starts of the section headers that only a policy has.
const POLICY_SECTIONS: [&str; 4] = ["[regions", "[classes", "[[links", "[[blocks"];

/// Checks the file at `path`, as a policy if it contains one of [`POLICY_SECTIONS`], otherwise as settings.
pub fn run(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::Policy(config::Error::Read { path: path.to_owned(), source }))?;
    let name = path.display().to_string();
    if POLICY_SECTIONS.iter().any(|section| text.contains(section)) {
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
