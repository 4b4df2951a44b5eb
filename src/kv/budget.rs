//! The controller's share of the state service's request budget.
//!
//! The service takes a bounded number of requests and of changes a second from all controllers together; what goes beyond is
//! refused. Each controller paces itself to its share, so that refusals stay rare and urgent requests get through.

use crate::clock::{Clock, sleep};
use crate::units::Micros;
use std::cell::{Cell, RefCell};

/// How urgent a request is when the budget is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// Lease renewals, elections, submissions, cancellations: never delayed.
    Now,
    /// Everything else: waits for its share of the budget.
    Paced,
}

/// A token bucket holding one second's worth.
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

    /// Takes `n` tokens, perhaps into debt, and returns how long it takes until the debt is paid.
    fn take(&self, n: f64) -> Micros {
        let now = Clock.now();
        let gained = now.since(self.refilled_at.get()).as_secs_f64() * self.per_second;
        self.refilled_at.set(now);
        // Debt is bounded so that a burst of urgent requests can't starve the paced ones for long.
        let level = (self.level.get() + gained).min(self.per_second) - n;
        self.level.set(level.max(-self.per_second));
        Micros::from_secs_f64(-level / self.per_second)
    }

    fn is_below_half(&self) -> bool {
        self.take(0.0);
        self.level.get() < self.per_second / 2.0
    }
}

/// Paces requests, and the changes that they carry, to so many a second.
pub(super) struct RequestBudget {
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
}

impl RequestBudget {
    /// A full budget of requests and of changes per second.
    pub fn new(rps: f64, write_rps: f64) -> RequestBudget {
        RequestBudget {
            requests: RefCell::new(TokenBucket::new(rps)),
            writes: RefCell::new(TokenBucket::new(write_rps)),
        }
    }

    /// Changes the rates; what was saved up or is owed stays.
    pub fn set_rates(&self, rps: f64, write_rps: f64) {
        self.requests.borrow_mut().per_second = rps;
        self.writes.borrow_mut().per_second = write_rps;
    }

    /// Returns whether more than half of the changes that may be saved up are used.
    pub fn writes_are_short(&self) -> bool {
        self.writes.borrow().is_below_half()
    }

    /// Charges one request with so many changes; a paced one waits until the budget has room for it.
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
