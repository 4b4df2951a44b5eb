//! Retransmission timeout of transactions.

use crate::units::Micros;

/// Minimum retransmission timeout; responses normally take a few milliseconds.
const MIN_RETRANSMIT: Micros = Micros::millis(400);

/// Computes the retransmission timeout from a smoothed response time and its variation, as TCP does for round-trip
/// times (RFC 6298).
///
/// With a fixed timeout, every transaction would be sent twice while the store is slow. This would slow it down
/// further, and the duplicates would exhaust the budget of requests and writes.
#[derive(Debug, Default)]
pub struct RetransmitTimer {
    smoothed: Micros,
    variation: Micros,
}

impl RetransmitTimer {
    /// Updates the estimates with the response time of one request.
    pub fn observe(&mut self, response_time: Micros) {
        if self.smoothed == Micros::ZERO {
            self.smoothed = response_time;
            self.variation = response_time.scaled(1, 2);
            return;
        }
        let difference = response_time
            .since(self.smoothed)
            .max(self.smoothed.since(response_time));
        self.variation = self.variation.scaled(3, 4) + difference.scaled(1, 4);
        self.smoothed = self.smoothed.scaled(7, 8) + response_time.scaled(1, 8);
    }

    /// Returns how long to wait for a response before sending the transaction again.
    pub fn retransmit_after(&self) -> Micros {
        (self.smoothed + self.variation.scaled(4, 1)).max(MIN_RETRANSMIT)
    }
}

#[cfg(test)]
mod tests;
