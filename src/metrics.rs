//! Counters that a periodic log event sums up, in place of a line for each request.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// Number of occurrences since the last summary.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Counts one occurrence.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Returns the number and starts again at zero.
    pub fn take(&self) -> u64 {
        self.0.take()
    }
}

/// Number of occurrences since the last summary, by reason.
#[derive(Debug)]
pub struct ReasonCounter<R>(RefCell<BTreeMap<R, u64>>);

impl<R> Default for ReasonCounter<R> {
    fn default() -> ReasonCounter<R> {
        ReasonCounter(RefCell::default())
    }
}

impl<R: Ord> ReasonCounter<R> {
    /// Counts one occurrence.
    pub fn increment(&self, reason: R) {
        *self.0.borrow_mut().entry(reason).or_default() += 1;
    }

    /// Returns the numbers and starts again without any.
    pub fn take(&self) -> ReasonCounts<R> {
        ReasonCounts(self.0.take())
    }
}

/// Numbers of occurrences by reason, for the log.
#[derive(Debug)]
pub struct ReasonCounts<R>(BTreeMap<R, u64>);

impl<R: Display> Display for ReasonCounts<R> {
    /// Writes `reason:number` for each reason, separated by commas, or `none`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("none");
        }
        for (n, (reason, count)) in self.0.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{reason}:{count}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
