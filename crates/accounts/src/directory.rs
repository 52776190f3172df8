//! Finds the account that holds a key.

use std::collections::BTreeMap;

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::key::Digest;

/// The keys of all accounts.
///
/// Digests are looked up by a hash that also covers a secret of this process, so the time of a look-up tells a caller
/// nothing about the digests that are stored.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    secret: u64,
    holders: BTreeMap<[u8; 32], Holder>,
}

#[derive(Debug, Clone)]
struct Holder {
    digest: Digest,
    account: String,
}

impl Directory {
    /// Creates a directory without keys; `secret` is random and stays in this process.
    pub const fn new(secret: u64) -> Self {
        Self { secret, holders: BTreeMap::new() }
    }

    /// Adds the keys of `account`.
    #[must_use]
    pub fn with_account(mut self, account: &str, keys: &[Digest]) -> Self {
        for digest in keys {
            let holder = Holder { digest: *digest, account: account.to_owned() };
            self.holders.insert(self.index(digest), holder);
        }
        self
    }

    /// Returns the name of the account that holds `key`; `None` if none does.
    pub fn account_of(&self, key: &[u8]) -> Option<&str> {
        let digest = Digest::of(key);
        let holder = self.holders.get(&self.index(&digest))?;
        let is_same: bool = holder.digest.as_bytes().ct_eq(digest.as_bytes()).into();
        is_same.then_some(holder.account.as_str())
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no account holds a key.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn index(&self, digest: &Digest) -> [u8; 32] {
        Sha256::new().chain_update(self.secret.to_le_bytes()).chain_update(digest.as_bytes()).finalize().into()
    }
}
