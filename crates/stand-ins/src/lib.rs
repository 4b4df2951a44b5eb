//! Stand-ins for the outside systems of ravenhead, by their published protocols, for tests and load measurements.

#![warn(missing_docs)]

pub mod keys;
