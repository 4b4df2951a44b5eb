//! Time in whole microseconds and resource amounts in whole millionths, so that sums are exact.
//!
//! Sums saturate, so that an extreme amount in a message can't cause an overflow that ends the process.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::time::Duration;

/// A duration, or a point on the monotonic clock of this process, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// A duration of zero.
    pub const ZERO: Micros = Micros(0);

    /// Creates a duration from whole milliseconds.
    pub const fn millis(ms: u64) -> Micros {
        Micros(ms * 1_000)
    }

    /// Creates a duration from whole seconds.
    pub const fn secs(s: u64) -> Micros {
        Micros(s * 1_000_000)
    }

    /// Creates a duration from decimal seconds, rounded to the nearest microsecond. Negative numbers and NaN become
    /// zero; numbers above the range become the longest duration.
    pub fn from_secs_f64(s: f64) -> Micros {
        Micros((s.max(0.0) * 1e6).round() as u64)
    }

    /// Returns the duration in decimal seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the duration in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time from `other` to `self`, or zero if `other` is later.
    pub const fn since(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// Returns `self * num / den`, rounded down.
    ///
    /// # Panics
    ///
    /// Panics if `den` is zero.
    pub const fn scaled(self, num: u64, den: u64) -> Micros {
        Micros(self.0.saturating_mul(num) / den)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl From<Micros> for Duration {
    fn from(t: Micros) -> Duration {
        Duration::from_micros(t.0)
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", self.as_secs_f64())
    }
}

/// Resources that a task needs or a machine has, in millionths of the unit of each.
///
/// The amounts are integers, because ten tasks of 0.1 cores must fill exactly one core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resources {
    /// Processor cores, in millionths.
    pub cores: i64,
    /// Accelerators, in millionths.
    pub accelerators: i64,
    /// Memory, in millionths of a GB.
    pub memory: i64,
}

impl Resources {
    /// Creates an amount of resources from the decimal numbers of messages and settings, with memory in GB.
    pub fn new(cores: f64, accelerators: f64, ram_gb: f64) -> Resources {
        let to_millionths = |x: f64| (x * 1e6).round() as i64;
        Resources {
            cores: to_millionths(cores),
            accelerators: to_millionths(accelerators),
            memory: to_millionths(ram_gb),
        }
    }

    /// Returns the amounts of cores, accelerators and memory, in this order.
    pub fn amounts(&self) -> [i64; 3] {
        [self.cores, self.accelerators, self.memory]
    }

    /// Returns whether none of the amounts of `need` exceeds that of `self`.
    pub fn can_fit(&self, need: &Resources) -> bool {
        need.cores <= self.cores
            && need.accelerators <= self.accelerators
            && need.memory <= self.memory
    }

    /// Returns the number of tasks with the resources `need` that fit into `self`; `usize::MAX` if `need` is zero.
    pub fn count_fitting(&self, need: &Resources) -> usize {
        let fitting = |have: i64, need: i64| {
            if need <= 0 {
                usize::MAX
            } else {
                (have / need).max(0) as usize
            }
        };
        fitting(self.cores, need.cores)
            .min(fitting(self.accelerators, need.accelerators))
            .min(fitting(self.memory, need.memory))
    }

    /// Returns the smaller of the two amounts for each resource.
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cores: self.cores.min(other.cores),
            accelerators: self.accelerators.min(other.accelerators),
            memory: self.memory.min(other.memory),
        }
    }

    /// Returns `n` times the amount of each resource.
    pub fn times(&self, n: usize) -> Resources {
        let n = n as i64;
        Resources {
            cores: self.cores.saturating_mul(n),
            accelerators: self.accelerators.saturating_mul(n),
            memory: self.memory.saturating_mul(n),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cores = self.cores.saturating_add(other.cores);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
        self.memory = self.memory.saturating_add(other.memory);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        self.cores = self.cores.saturating_sub(other.cores);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
        self.memory = self.memory.saturating_sub(other.memory);
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(mut self, other: Resources) -> Resources {
        self += other;
        self
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(mut self, other: Resources) -> Resources {
        self -= other;
        self
    }
}

#[cfg(test)]
mod tests;
