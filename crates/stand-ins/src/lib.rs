//! In-memory implementations of the external services that ravenhead depends on, for tests and load measurements.

#![warn(missing_docs)]

pub mod answers;
pub mod invariants;
pub mod keys;
pub mod rate_limit;
