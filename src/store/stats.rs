//! What the view was read from, and when.

use super::barrier::BarrierFailure;
use crate::metrics::{Counter, ReasonCounter};
use crate::units::Micros;
use std::cell::Cell;

/// Counters of the reads that keep the view current, and of the read barriers that wait for it.
#[derive(Debug, Default)]
pub struct StoreStats {
    /// Complete listings.
    pub listings: Counter,
    /// Listings that failed, and are begun anew.
    pub failed_listings: Counter,
    /// Watches that were answered.
    pub watches: Counter,
    /// Watches that failed.
    pub failed_watches: Counter,
    /// Watches whose start revision the store no longer keeps, so that a listing follows.
    pub compacted_watches: Counter,
    /// Reads of the current revision after which the view reached it.
    pub passed_barriers: Counter,
    /// Reads of the current revision that failed, or after which the view did not reach it in time.
    pub failed_barriers: ReasonCounter<BarrierFailure>,
    /// Time of the last listing or answered watch.
    pub(super) last_update_at: Cell<Micros>,
}
