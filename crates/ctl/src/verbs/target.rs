//! `set-target`: changes a target of a class.

use config::policy::Policy;

use crate::error::{Error, Result};

/// Sets `key` of the class `name` to `value`.
pub fn set(policy: &mut Policy, name: &str, key: &str, value: &str) -> Result<()> {
    let names: Vec<String> = policy.classes.keys().cloned().collect();
    let Some(class) = policy.classes.get_mut(name) else {
        return Err(Error::Usage(format!("`{name}` is not a class; use one of {}", names.join(", "))));
    };
    let invalid = || Error::Usage(format!("`{value}` is not a valid value of {key}"));
    match key {
        "target-ms" => class.target_ms = value.parse().map_err(|_source| invalid())?,
        "target-share" => class.target_share = value.parse().map_err(|_source| invalid())?,
        "deadline-ms" => class.deadline_ms = value.parse().map_err(|_source| invalid())?,
        "rank" => class.rank = value.parse().map_err(|_source| invalid())?,
        other => {
            let advice = "use target-ms, target-share, deadline-ms or rank";
            return Err(Error::Usage(format!("`{other}` is not a target; {advice}")));
        }
    }
    Ok(policy.check("policy")?)
}
