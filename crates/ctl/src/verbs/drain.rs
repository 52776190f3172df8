//! `drain` and `undrain`: start and end drains.

use config::policy::{Drain, Policy, Scope};

use crate::error::Result;

/// Adds the drain of `name` to the policy.
pub fn start(policy: &mut Policy, scope: Scope, name: &str) -> Result<()> {
    let drain = Drain { scope, name: name.to_owned() };
    if !policy.drains.contains(&drain) {
        policy.drains.push(drain);
    }
    Ok(policy.check("policy")?)
}

/// Removes the drain of `name` from the policy.
pub fn end(policy: &mut Policy, scope: Scope, name: &str) -> Result<()> {
    policy.drains.retain(|drain| drain.scope != scope || drain.name != name);
    Ok(())
}
