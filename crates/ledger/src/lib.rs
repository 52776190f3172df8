//! Execution of non-idempotent requests at most once.
//!
//! [`Ledger`] holds the idempotency keys that one daemon knows; the platform's store arbitrates between daemons. A
//! request runs only after its claim was written to the store by compare-and-swap, or after it was claimed here in a
//! session of this incarnation. See `docs/design/at-most-once.md`.

pub mod acquire;
pub mod cache;
pub mod claim;
pub mod table;

pub use acquire::{Acquisition, Outcome};
pub use claim::Claim;
pub use table::{Admission, Ledger};
