//! Running a non-idempotent request at most once.
//!
//! [`Ledger`] is one daemon's memory of idempotency keys; the platform's store arbitrates between daemons. A
//! request runs only after its claim was made there by compare-and-swap, or after it was claimed here in a
//! session of this incarnation. See `docs/design/at-most-once.md`.

pub mod claim;
pub mod kept;
pub mod make;
pub mod table;

pub use claim::Claim;
pub use make::{Held, Maker};
pub use table::{Ledger, Step};
