//! `set-target`.

use config::policy::Policy;

use crate::error::{Error, Result};

/// Sets `key` of the class `name` to `value`.
pub fn set(policy: &mut Policy, name: &str, key: &str, value: &str) -> Result<()> {
    let known: Vec<String> = policy.classes.keys().cloned().collect();
    let Some(class) = policy.classes.get_mut(name) else {
        return Err(Error::Usage(format!("`{name}` is no class; known are {}", known.join(", "))));
    };
    let wrong = || Error::Usage(format!("`{value}` is no value for {key}"));
    match key {
        "target-ms" => class.target_ms = value.parse().map_err(|_source| wrong())?,
        "target-share" => class.target_share = value.parse().map_err(|_source| wrong())?,
        "deadline-ms" => class.deadline_ms = value.parse().map_err(|_source| wrong())?,
        "rank" => class.rank = value.parse().map_err(|_source| wrong())?,
        other => {
            let advice = "use target-ms, target-share, deadline-ms or rank";
            return Err(Error::Usage(format!("`{other}` is no target; {advice}")));
        }
    }
    Ok(policy.check("policy")?)
}
