//! Detects that this process was paused: it heard nobody meanwhile, whoever spoke.

use crate::units::Micros;
use log::info;
use std::cell::Cell;

/// How often the check is made, besides those before decisions that depend on it.
pub const PAUSE_CHECK_INTERVAL: Micros = Micros::millis(100);
/// A check that is late by this means that the process was paused.
const PAUSE_THRESHOLD: Micros = Micros::secs(1);

/// Finds process pauses by the gaps between checks that ought to be frequent.
pub struct PauseDetector {
    node: String,
    last_check: Cell<Micros>,
}

impl PauseDetector {
    /// A detector for a controller whose first gap begins now.
    pub fn new(node: &str, now: Micros) -> PauseDetector {
        PauseDetector {
            node: node.to_owned(),
            last_check: Cell::new(now),
        }
    }

    /// Returns how long the process was paused, if it was since the last check, and logs it.
    pub fn check(&self, now: Micros) -> Option<Micros> {
        let gap = now.since(self.last_check.replace(now));
        if gap <= PAUSE_THRESHOLD {
            return None;
        }
        info!("event=process_paused node={} for={gap}", self.node);
        Some(gap)
    }
}
