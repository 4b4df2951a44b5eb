//! The clock. All code reads the time and sleeps through this module, so that tests can run in virtual time.
//!
//! Outside tests the time comes from the operating system. A test installs its own [`TimeSource`] for the current
//! thread with [`use_time_source`].

use crate::units::Micros;
use async_io::Timer;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reading of the monotonic clock at the start of the process. It is above zero so that earlier points in time can be
/// expressed.
const MONOTONIC_START: Micros = Micros::secs(86_400);

/// A replacement for the operating system's time, with which tests control how time passes.
pub trait TimeSource {
    /// Returns the time since the source was created. It never decreases.
    fn now(&self) -> Micros;
    /// Returns the time of day, in microseconds since the Unix epoch.
    fn unix_time(&self) -> u64;
    /// Completes once [`TimeSource::now`] has reached `deadline`.
    fn sleep_until(&self, deadline: Micros) -> Pin<Box<dyn Future<Output = ()>>>;
}

thread_local! {
    /// Time source of this thread; `None` is the operating system's time.
    static TIME_SOURCE: RefCell<Option<Rc<dyn TimeSource>>> = const { RefCell::new(None) };
}

/// Sets the time source of this thread; `None` restores the operating system's time.
pub fn use_time_source(source: Option<Rc<dyn TimeSource>>) {
    TIME_SOURCE.set(source);
}

fn time_source() -> Option<Rc<dyn TimeSource>> {
    TIME_SOURCE.with_borrow(Clone::clone)
}

/// The clock of this process, with a resolution of one microsecond.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// Returns the monotonic time. All threads share its origin, which is meaningless to other processes.
    pub fn now(self) -> Micros {
        static STARTED_AT: OnceLock<Instant> = OnceLock::new();
        let since_start = match time_source() {
            Some(source) => source.now(),
            None => {
                let started_at = STARTED_AT.get_or_init(Instant::now);
                Micros(started_at.elapsed().as_micros() as u64)
            }
        };
        MONOTONIC_START + since_start
    }

    /// Returns the time of day, in microseconds since the Unix epoch.
    pub fn unix_time(self) -> u64 {
        match time_source() {
            Some(source) => source.unix_time(),
            None => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_micros() as u64),
        }
    }
}

/// Waits for at least `duration`.
pub async fn sleep(duration: Micros) {
    match time_source() {
        Some(source) => source.sleep_until(source.now() + duration).await,
        None => {
            Timer::after(duration.into()).await;
        }
    }
}
