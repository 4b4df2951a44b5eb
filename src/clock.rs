//! The clock: every look at the time and every wait goes through here, so that tests can move the time themselves.

use crate::units::Micros;
use async_io::Timer;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// What a process's clock starts with, so that what began before the process did can be expressed.
const START: Micros = Micros::secs(86_400);

/// A time other than the machine's own.
pub trait Time {
    /// The steady clock.
    fn now(&self) -> Micros;
    /// The time of day, in microseconds.
    fn unix_time(&self) -> u64;
    /// Waits until the steady clock shows this.
    fn sleep_until(&self, at: Micros) -> Pin<Box<dyn Future<Output = ()>>>;
}

thread_local! {
    static OTHER: RefCell<Option<Rc<dyn Time>>> = const { RefCell::new(None) };
}

/// Lets this thread live by another time.
pub fn use_time_source(time: Option<Rc<dyn Time>>) {
    OTHER.set(time);
}

fn other() -> Option<Rc<dyn Time>> {
    OTHER.with_borrow(Clone::clone)
}

/// A clock of whole microseconds that only goes forward, the same for the whole process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// Now, on this process's own steady clock.
    pub fn now(self) -> Micros {
        static STARTED: OnceLock<Instant> = OnceLock::new();
        match other() {
            Some(time) => START + time.now(),
            None => {
                let started = STARTED.get_or_init(Instant::now);
                START + Micros(started.elapsed().as_micros() as u64)
            }
        }
    }

    /// The time of day, in microseconds.
    pub fn unix_time(self) -> u64 {
        match other() {
            Some(time) => time.unix_time(),
            None => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_micros() as u64),
        }
    }
}

/// Waits.
pub async fn sleep(time: Micros) {
    match other() {
        Some(other) => other.sleep_until(other.now() + time).await,
        None => {
            Timer::after(time.into()).await;
        }
    }
}
