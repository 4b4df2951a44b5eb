//! Detects pauses of this process, during which it could not receive any message.

use crate::units::Micros;
use log::info;
use std::cell::Cell;

/// Interval of the periodic check, which is made in addition to the checks before decisions that depend on it.
pub const PAUSE_CHECK_INTERVAL: Micros = Micros::millis(100);
/// The process counts as paused if the time between two checks exceeds this.
const PAUSE_THRESHOLD: Micros = Micros::secs(1);

/// Detects process pauses by unusually long gaps between frequent checks.
pub struct PauseDetector {
    node: String,
    last_check: Cell<Micros>,
}

impl PauseDetector {
    /// Creates a detector for the controller `node`; the first gap is measured from `now`.
    pub fn new(node: &str, now: Micros) -> PauseDetector {
        PauseDetector {
            node: node.to_owned(),
            last_check: Cell::new(now),
        }
    }

    /// Returns and logs the time since the last check if it exceeds the pause threshold.
    pub fn check(&self, now: Micros) -> Option<Micros> {
        let gap = now.since(self.last_check.replace(now));
        if gap <= PAUSE_THRESHOLD {
            return None;
        }
        info!("event=process_paused node={} for={gap}", self.node);
        Some(gap)
    }
}

#[cfg(test)]
mod tests;
