//! `check`: checks a policy file or a daemon's settings file.

use std::path::Path;

use config::configs::Settings;
use config::policy::Policy;

use crate::error::{Error, Result};
use crate::findings::{self, Finding, Severity};

/// Starts of the section headers that only a policy has.
const POLICY_SECTIONS: [&str; 4] = ["[regions", "[classes", "[[links", "[[blocks"];

/// Checks the file at `path`, as a policy if it contains one of [`POLICY_SECTIONS`], otherwise as settings.
///
/// A policy is also compared with `against`, if that is given. Warnings are an error of their own, with the
/// whole report as its text.
pub fn run(path: &Path, against: Option<&Policy>, json: bool) -> Result<String> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::Policy(config::Error::Read { path: path.to_owned(), source }))?;
    let name = path.display().to_string();
    if POLICY_SECTIONS.iter().any(|section| text.contains(section)) {
        let policy = Policy::parse(&name, &text)?;
        let mut found = findings::warnings(&policy);
        if let Some(against) = against {
            found.extend(findings::changes(against, &policy));
        }
        return report(&name, &policy, &found, json);
    }
    let settings = Settings::parse(&name, &text)?;
    Ok(format!("{name}: good settings of instance {}\n", settings.instance))
}

/// Returns the report on a valid policy; as an error if it holds warnings.
fn report(name: &str, policy: &Policy, found: &[Finding], json: bool) -> Result<String> {
    let warnings = found.iter().filter(|finding| finding.severity == Severity::Warning).count();
    let text = if json {
        serde_json::to_string_pretty(found).map_err(|error| Error::Failed(error.to_string()))? + "\n"
    } else {
        let lines: String = found.iter().map(|finding| format!("{name}: {finding}\n")).collect();
        let (regions, classes) = (policy.regions.len(), policy.classes.len());
        format!("{lines}{name}: good policy, {regions} regions, {classes} classes, {warnings} warnings\n")
    };
    if warnings == 0 { Ok(text) } else { Err(Error::Warnings(text)) }
}
