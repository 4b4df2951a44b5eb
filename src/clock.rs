//! The clock: every reading of the time and every wait goes through here, so that a test can supply its own time.
//!
//! Outside tests the time is that of the operating system. A test puts a [`TimeSource`] of its own in place of it with
//! [`use_time_source`], for its thread only.

use crate::units::Micros;
use async_io::Timer;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// What the monotonic clock shows when the process starts, so that points in time before its start can be expressed.
const MONOTONIC_START: Micros = Micros::secs(86_400);

/// A time other than the operating system's: the seam by which tests move the time themselves.
pub trait TimeSource {
    /// Returns the time since the source began; it never goes back.
    fn now(&self) -> Micros;
    /// Returns the time of day, in microseconds since the Unix epoch.
    fn unix_time(&self) -> u64;
    /// Completes once [`TimeSource::now`] has reached `deadline`.
    fn sleep_until(&self, deadline: Micros) -> Pin<Box<dyn Future<Output = ()>>>;
}

thread_local! {
    /// What this thread uses in place of the operating system's time.
    static TIME_SOURCE: RefCell<Option<Rc<dyn TimeSource>>> = const { RefCell::new(None) };
}

/// Makes this thread use another time; `None` is the operating system's.
pub fn use_time_source(source: Option<Rc<dyn TimeSource>>) {
    TIME_SOURCE.set(source);
}

fn substitute() -> Option<Rc<dyn TimeSource>> {
    TIME_SOURCE.with_borrow(Clone::clone)
}

/// The clock of this process, in whole microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// Returns the monotonic time. It is the same on all threads, and means nothing to other processes.
    pub fn now(self) -> Micros {
        static STARTED_AT: OnceLock<Instant> = OnceLock::new();
        let since_start = match substitute() {
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
        match substitute() {
            Some(source) => source.unix_time(),
            None => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_micros() as u64),
        }
    }
}

/// Waits for at least this long.
pub async fn sleep(duration: Micros) {
    match substitute() {
        Some(source) => source.sleep_until(source.now() + duration).await,
        None => {
            Timer::after(duration.into()).await;
        }
    }
}
