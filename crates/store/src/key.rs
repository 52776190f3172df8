//! Names of the keys we keep in the store.

/// The operators' policy.
pub const POLICY: &str = "hemlockcross/policy";

/// Claims of non-idempotent requests.
pub const CLAIMS: &str = "hemlockcross/claims/";

/// Grants of shares of links and regions.
pub const GRANTS: &str = "hemlockcross/grants/";

/// The claim of the request named by `hash`.
pub fn claim(hash: u128) -> String {
    format!("{CLAIMS}{hash:032x}")
}

/// The prefix of the grants of `region`.
pub fn grants(region: &str) -> String {
    format!("{GRANTS}{region}/")
}

/// Grant number `slot` of `region`.
pub fn grant(region: &str, slot: u32) -> String {
    format!("{GRANTS}{region}/{slot:04}")
}
