//! Data structures that keep the cost per operation nearly independent of the number of machines.
//!
//! They read no clock and do no I/O; callers pass times in. The controller uses them where a loop over all machines,
//! jobs or cancellations for every heartbeat or offer would make the total work quadratic.

#![warn(missing_docs)]

mod by_kind;
mod cursor_log;
mod expiring_map;
mod first_fit;

pub use by_kind::FirstFitByKind;
pub use cursor_log::{Cursor, CursorLog};
pub use expiring_map::ExpiringMap;
pub use first_fit::FirstFit;
