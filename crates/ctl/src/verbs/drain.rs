//! `drain` and `undrain`.

use config::policy::{Drain, Policy, Scope};

use crate::error::Result;

/// Announces the drain of `name`.
pub fn announce(policy: &mut Policy, scope: Scope, name: &str) -> Result<()> {
    let drain = Drain { scope, name: name.to_owned() };
    if !policy.drains.contains(&drain) {
        policy.drains.push(drain);
    }
    Ok(policy.check("policy")?)
}

/// Ends the drain of `name`.
pub fn end(policy: &mut Policy, scope: Scope, name: &str) -> Result<()> {
    policy.drains.retain(|drain| drain.scope != scope || drain.name != name);
    Ok(())
}
