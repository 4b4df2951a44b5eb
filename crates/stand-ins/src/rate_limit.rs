//! Rate limits of the outside systems.

use std::cell::Cell;

const MICROS_PER_SECOND: f64 = 1e6;

/// A token bucket that holds the tokens of a few seconds. Each request or changed key takes one token.
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: Cell<f64>,
    refilled_at: Cell<u64>,
}

impl TokenBucket {
    /// Creates a full bucket that gains `per_second` tokens a second and holds those of `seconds`.
    pub fn new(per_second: f64, seconds: f64) -> TokenBucket {
        TokenBucket {
            per_second,
            burst: per_second * seconds,
            tokens: Cell::new(per_second * seconds),
            refilled_at: Cell::new(0),
        }
    }

    /// Takes `tokens` at `now`, in microseconds, if the bucket holds as many, and returns whether it did.
    pub fn try_take(&self, now: u64, tokens: f64) -> bool {
        let elapsed_s = (now - self.refilled_at.replace(now)) as f64 / MICROS_PER_SECOND;
        let available = (self.tokens.get() + elapsed_s * self.per_second).min(self.burst);
        let enough = available >= tokens;
        self.tokens.set(if enough {
            available - tokens
        } else {
            available
        });
        enough
    }
}
