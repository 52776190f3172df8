//! Names of the keys that hemlockcross keeps in the store.

/// The operators' policy.
pub const POLICY: &str = "hemlockcross/policy";

/// Prefix of the claims of non-idempotent requests.
pub const CLAIMS: &str = "hemlockcross/claims/";

/// Prefix of the names of daemons that share the quotas of client accounts.
pub const INSTANCES: &str = "hemlockcross/instances/";

/// Prefix of the grants: shares of a region's outgoing links and of the capacity that it may use in other regions.
pub const GRANTS: &str = "hemlockcross/grants/";

/// Returns the key of the claim of the request whose idempotency key has the hash `hash`.
pub fn claim(hash: u128) -> String {
    format!("{CLAIMS}{hash:032x}")
}

/// Returns the prefix of the grants of `region`.
pub fn grants(region: &str) -> String {
    format!("{GRANTS}{region}/")
}

/// Returns the key of the grant of slot `slot` in `region`.
pub fn grant(region: &str, slot: u32) -> String {
    format!("{GRANTS}{region}/{slot:04}")
}
