//! The read barrier: readers wait until the view holds all that was written before they came.
//!
//! One read of the current revision serves all readers that wait for it. Invariant: the read that a reader waits for is sent
//! after the reader came, so its revision covers every write that the reader can know of; readers that come while a read is
//! under way wait for the next one.

use super::StateCache;
use super::keys::ABSENT_KEY;
use crate::clock::sleep;
use crate::http::timeout;
use crate::kv::{Lookup, Urgency};
use crate::units::Micros;
use event_listener::Event;
use futures_lite::FutureExt;
use log::debug;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How often the state service is probed when nobody waits for a barrier.
const PROBE_INTERVAL: Micros = Micros::secs(1);
/// How long a reader waits for the barrier in all.
const BARRIER_TIMEOUT: Micros = Micros::millis(1_300);
/// How long the read of the current revision may take.
const READ_TIMEOUT: Micros = Micros::millis(800);
/// How long the view may take to catch up with the revision that was read.
const CATCH_UP_TIMEOUT: Micros = Micros::millis(1_000);

/// One read of the current revision, shared by all readers that wait for it.
#[derive(Default)]
struct Generation {
    /// Whether the view caught up, once that is known.
    passed: Cell<Option<bool>>,
    completed: Event,
}

impl Generation {
    fn complete(&self, passed: bool) {
        self.passed.set(Some(passed));
        self.completed.notify(usize::MAX);
    }

    async fn wait(&self) -> bool {
        loop {
            let completed = self.completed.listen();
            if let Some(passed) = self.passed.get() {
                return passed;
            }
            completed.await;
        }
    }
}

/// The generation whose read is not sent yet; readers join it.
#[derive(Default)]
pub(super) struct ReadBarrier {
    next: RefCell<Rc<Generation>>,
    requested: Event,
}

impl ReadBarrier {
    fn join(&self) -> Rc<Generation> {
        let generation = self.next.borrow().clone();
        self.requested.notify(usize::MAX);
        generation
    }

    fn has_waiters(&self) -> bool {
        Rc::strong_count(&self.next.borrow()) > 1
    }

    /// Waits for a reader, or for the time of the next probe.
    async fn wait_for_request(&self) {
        let requested = self.requested.listen();
        let idle = async {
            sleep(PROBE_INTERVAL).await;
        };
        // Those who came while the last read was under way wait already.
        if !self.has_waiters() {
            requested.or(idle).await;
        }
    }

    /// Returns the generation to serve; readers that come from now on join another, as its read may be older than they.
    fn close_generation(&self) -> Rc<Generation> {
        self.next.replace(Rc::default())
    }
}

impl StateCache {
    /// Waits until the view holds everything that was written before this call.
    ///
    /// Returns `false` if that can't be had within 1.3 s: the view may then lack any of it. Returns `false` at once where the
    /// state service is unreachable.
    pub async fn barrier(&self) -> bool {
        if !self.reachable() {
            return false;
        }
        let generation = self.barrier.join();
        let wait = generation.wait();
        timeout(BARRIER_TIMEOUT, wait).await.unwrap_or(false)
    }

    /// The task that serves read barriers, and probes the state service when nobody wants one.
    pub async fn serve_barriers(&self) {
        loop {
            self.barrier.wait_for_request().await;
            let generation = self.barrier.close_generation();
            generation.complete(self.catch_up().await);
            sleep(self.coalesce_window).await;
        }
    }

    /// Reads the current revision, and returns whether the view reached it in time.
    async fn catch_up(&self) -> bool {
        let read = self.kv.lookup(Urgency::Now, ABSENT_KEY);
        match timeout(READ_TIMEOUT, read).await {
            Some(Ok(Lookup::Absent { revision })) => {
                self.mark_reachable();
                self.wait_for_revision(revision, CATCH_UP_TIMEOUT).await
            }
            Some(Err(e)) => {
                debug!("event=probe_failed error={e:?}");
                false
            }
            Some(Ok(Lookup::Found(_))) | None => false,
        }
    }
}

#[cfg(test)]
mod tests;
