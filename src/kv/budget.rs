//! Client-side rate limiting of requests to the key-value store.
//!
//! The store accepts a limited number of requests and of key changes (writes and removals) per second from all
//! controllers together, and refuses the excess. Each controller limits itself to its share, so that refusals stay rare
//! and urgent requests succeed.

use crate::clock::{Clock, sleep};
use crate::units::Micros;
use std::cell::{Cell, RefCell};

/// Whether a request may be delayed when the request budget is exhausted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// Never delayed: lease renewals, elections, watches, the reads of read barriers, and commits, of which the API for
    /// users limits the number in flight.
    Now,
    /// Waits until the budget covers it: listings and contacts.
    Paced,
}

/// A token bucket whose capacity is one second of its rate.
struct TokenBucket {
    per_second: f64,
    level: Cell<f64>,
    refilled_at: Cell<Micros>,
}

impl TokenBucket {
    fn new(per_second: f64) -> TokenBucket {
        TokenBucket {
            per_second,
            level: Cell::new(per_second),
            refilled_at: Cell::new(Clock.now()),
        }
    }

    /// Takes `n` tokens, possibly into debt, and returns the time until the debt is repaid.
    fn take(&self, n: f64) -> Micros {
        let now = Clock.now();
        let gained = now.since(self.refilled_at.get()).as_secs_f64() * self.per_second;
        self.refilled_at.set(now);
        // The debt is limited to one second, so that a burst of urgent requests can't starve paced ones for long.
        let level = (self.level.get() + gained).min(self.per_second) - n;
        self.level.set(level.max(-self.per_second));
        Micros::from_secs_f64(-level / self.per_second)
    }

    fn is_below_half(&self) -> bool {
        self.take(0.0);
        self.level.get() < self.per_second / 2.0
    }
}

/// Rate limits for requests and for the key changes that they contain.
pub(super) struct RequestBudget {
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
}

impl RequestBudget {
    /// Creates a full budget with `rps` requests and `write_rps` key changes per second.
    pub fn new(rps: f64, write_rps: f64) -> RequestBudget {
        RequestBudget {
            requests: RefCell::new(TokenBucket::new(rps)),
            writes: RefCell::new(TokenBucket::new(write_rps)),
        }
    }

    /// Changes the rates, and keeps the current tokens or debt of both buckets.
    pub fn set_rates(&self, rps: f64, write_rps: f64) {
        self.requests.borrow_mut().per_second = rps;
        self.writes.borrow_mut().per_second = write_rps;
    }

    /// Returns whether less than half of the write budget's capacity is available.
    pub fn is_write_budget_below_half(&self) -> bool {
        self.writes.borrow().is_below_half()
    }

    /// Charges one request with `writes` key changes, and delays a paced request until the budget covers it.
    pub async fn pace(&self, urgency: Urgency, writes: usize) {
        let wait = self
            .requests
            .borrow()
            .take(1.0)
            .max(self.writes.borrow().take(writes as f64));
        if urgency == Urgency::Paced && wait > Micros::ZERO {
            sleep(wait).await;
        }
    }
}
