//! Limits how many commits are in flight, by additive increase and multiplicative decrease.

use crate::clock::{Clock, sleep};
use crate::units::Micros;
use event_listener::Event;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum number of commits in flight, and the number at the start.
const MAX_WINDOW: f64 = 64.0;
/// Minimum number of commits in flight.
const MIN_WINDOW: f64 = 1.0;
/// Pause after a refusal. It doubles with each further refusal in a row.
const MIN_BACKOFF: Micros = Micros::millis(60);
/// Upper bound of the pause after refusals in a row.
const MAX_BACKOFF: Micros = Micros::millis(480);

/// Admits commits in the order of their arrival, up to a number that adapts to the store's refusals.
///
/// Invariants: at most `window` commits are in flight; none is sent during the pause after a refusal. A refusal halves
/// the window, as many completed commits as it is wide add one to it.
pub(super) struct CommitLimiter {
    clock: Clock,
    window: Cell<f64>,
    in_flight: Cell<usize>,
    backoff: Cell<Micros>,
    /// End of the pause after the last refusal.
    resume_at: Cell<Micros>,
    /// Commits that wait, in the order of their arrival. Each is notified when it becomes the first or may be sent.
    waiting: RefCell<VecDeque<Rc<Event>>>,
}

impl CommitLimiter {
    pub(super) fn new() -> CommitLimiter {
        CommitLimiter {
            clock: Clock,
            window: Cell::new(MAX_WINDOW),
            in_flight: Cell::new(0),
            backoff: Cell::new(Micros::ZERO),
            resume_at: Cell::new(Micros::ZERO),
            waiting: RefCell::default(),
        }
    }

    /// Returns the number of commits that wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Returns the number of commits that may be in flight.
    pub(super) fn window(&self) -> usize {
        self.window.get() as usize
    }

    /// Waits until a commit may be sent.
    pub(super) async fn acquire(&self) -> CommitPermit<'_> {
        let place = QueuePlace::join(self);
        loop {
            let notified = place.notification.listen();
            if !place.is_first() {
                notified.await;
                continue;
            }
            let pause = self.resume_at.get().since(self.clock.now());
            if pause > Micros::ZERO {
                sleep(pause).or(notified).await;
            } else if self.in_flight.get() < self.window() {
                self.in_flight.set(self.in_flight.get() + 1);
                return CommitPermit { limiter: self };
            } else {
                notified.await;
            }
        }
    }

    fn notify_first(&self) {
        if let Some(first) = self.waiting.borrow().front() {
            first.notify(usize::MAX);
        }
    }
}

/// The place of a commit among those that wait, which it leaves when it is dropped.
struct QueuePlace<'a> {
    limiter: &'a CommitLimiter,
    notification: Rc<Event>,
}

impl<'a> QueuePlace<'a> {
    fn join(limiter: &'a CommitLimiter) -> QueuePlace<'a> {
        let notification: Rc<Event> = Rc::default();
        let mut waiting = limiter.waiting.borrow_mut();
        waiting.push_back(notification.clone());
        drop(waiting);
        QueuePlace {
            limiter,
            notification,
        }
    }

    fn is_first(&self) -> bool {
        let waiting = self.limiter.waiting.borrow();
        let first = waiting.front();
        first.is_some_and(|first| Rc::ptr_eq(first, &self.notification))
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut waiting = self.limiter.waiting.borrow_mut();
        waiting.retain(|other| !Rc::ptr_eq(other, &self.notification));
        drop(waiting);
        self.limiter.notify_first();
    }
}

/// The right to send one commit, until it is dropped.
pub(super) struct CommitPermit<'a> {
    limiter: &'a CommitLimiter,
}

impl CommitPermit<'_> {
    /// Records that the store carried the commit out, or found that its conditions do not hold.
    pub(super) fn complete(self) {
        let limiter = self.limiter;
        let window = limiter.window.get();
        limiter.window.set((window + 1.0 / window).min(MAX_WINDOW));
        limiter.backoff.set(Micros::ZERO);
    }

    /// Records that the store refused the commit.
    pub(super) fn refuse(self) {
        let limiter = self.limiter;
        let window = limiter.window.get() / 2.0;
        limiter.window.set(window.max(MIN_WINDOW));
        let backoff = limiter.backoff.get().scaled(2, 1);
        let backoff = backoff.clamp(MIN_BACKOFF, MAX_BACKOFF);
        limiter.backoff.set(backoff);
        // Between half of the pause and all of it, so that the controllers don't resume together.
        let pause = backoff.scaled(50 + fastrand::u64(..=50), 100);
        limiter.resume_at.set(limiter.clock.now() + pause);
    }
}

impl Drop for CommitPermit<'_> {
    fn drop(&mut self) {
        let in_flight = &self.limiter.in_flight;
        in_flight.set(in_flight.get() - 1);
        self.limiter.notify_first();
    }
}

#[cfg(test)]
mod tests;
