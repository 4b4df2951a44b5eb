//! Time in whole microseconds and resource amounts in whole millionths.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::time::Duration;

/// A span of time, or a point on the process's own steady clock, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// No time at all.
    pub const ZERO: Micros = Micros(0);

    /// Whole milliseconds.
    pub const fn millis(ms: u64) -> Micros {
        Micros(ms * 1_000)
    }

    /// Whole seconds.
    pub const fn secs(s: u64) -> Micros {
        Micros(s * 1_000_000)
    }

    /// Decimal seconds as they stand in settings and messages; what is negative or not finite is zero.
    pub fn from_secs_f64(s: f64) -> Micros {
        Micros((s.max(0.0) * 1e6).round() as u64)
    }

    /// Decimal seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// `self` less `other`, and zero where that would be negative.
    pub const fn since(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// `self` times `num` over `den`.
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

/// What a task takes of a machine, or what a machine has: each in millionths of its unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resources {
    /// Processors.
    pub cores: i64,
    /// Accelerators.
    pub accelerators: i64,
    /// Memory in GB.
    pub memory: i64,
}

impl Resources {
    /// From the decimal numbers of the wire.
    pub fn new(cores: f64, accelerators: f64, ram_gb: f64) -> Resources {
        let whole = |x: f64| (x * 1e6).round() as i64;
        Resources {
            cores: whole(cores),
            accelerators: whole(accelerators),
            memory: whole(ram_gb),
        }
    }

    /// Its amounts one after the other.
    pub fn amounts(&self) -> [i64; 3] {
        [self.cores, self.accelerators, self.memory]
    }

    /// Whether `need` fits into this room.
    pub fn holds(&self, need: &Resources) -> bool {
        need.cores <= self.cores
            && need.accelerators <= self.accelerators
            && need.memory <= self.memory
    }

    /// How many tasks of `need` fit into this room.
    pub fn count_of(&self, need: &Resources) -> usize {
        let times = |have: i64, need: i64| {
            if need <= 0 {
                usize::MAX
            } else {
                (have / need).max(0) as usize
            }
        };
        times(self.cores, need.cores)
            .min(times(self.accelerators, need.accelerators))
            .min(times(self.memory, need.memory))
    }

    /// The most that fits into both.
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cores: self.cores.min(other.cores),
            accelerators: self.accelerators.min(other.accelerators),
            memory: self.memory.min(other.memory),
        }
    }

    /// The same room `n` times.
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
