//! Data structures whose cost per operation does not grow with the size of the fleet.
//!
//! They hold no clock and do no I/O: callers pass times in. The controller uses them wherever a plain loop over all
//! machines, jobs or cancellations for every heartbeat or offer would make the total work grow with the square.

#![warn(missing_docs)]

mod by_kind;
mod cursor_log;
mod expiring_map;
mod first_fit;

pub use by_kind::FirstFitByKind;
pub use cursor_log::{Cursor, CursorLog};
pub use expiring_map::ExpiringMap;
pub use first_fit::FirstFit;
