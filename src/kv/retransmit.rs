//! When an unanswered transaction is sent again.

use crate::units::Micros;

/// A transaction is not sent again before this; responses normally take a few milliseconds.
const MIN_RETRANSMIT: Micros = Micros::millis(400);

/// Estimates response times as TCP estimates its round-trip time, and from them when to give up waiting for a response.
///
/// Guards against a slow service that is asked everything twice: its responses would take longer still, and the budget of
/// requests and changes would be used up by copies.
#[derive(Debug, Default)]
pub struct RetransmitTimer {
    smoothed: Micros,
    variation: Micros,
}

impl RetransmitTimer {
    /// Takes in how long a response took.
    pub fn observe(&mut self, took: Micros) {
        if self.smoothed == Micros::ZERO {
            self.smoothed = took;
            self.variation = took.scaled(1, 2);
            return;
        }
        let difference = took.since(self.smoothed).max(self.smoothed.since(took));
        self.variation = self.variation.scaled(3, 4) + difference.scaled(1, 4);
        self.smoothed = self.smoothed.scaled(7, 8) + took.scaled(1, 8);
    }

    /// Returns how long to wait for a response before a transaction is sent again.
    pub fn retransmit_after(&self) -> Micros {
        (self.smoothed + self.variation.scaled(4, 1)).max(MIN_RETRANSMIT)
    }
}

#[cfg(test)]
mod tests;
