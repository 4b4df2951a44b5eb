//! The read barrier, which delays a reader until the view contains all writes made before the read.
//!
//! One read of the store's current revision serves all readers waiting for it. Invariant: this read is sent after the
//! reader has called the barrier, so its revision covers every write that the reader can know of. A reader that arrives
//! while a read is in flight waits for the next one.

use super::StateCache;
use super::keys::StoreKey;
use crate::clock::sleep;
use crate::futures::timeout;
use crate::kv::{Lookup, Urgency};
use crate::units::Micros;
use event_listener::Event;
use futures_lite::FutureExt;
use log::debug;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Interval at which the revision is read, as a probe of the store, when no reader waits for the barrier.
const PROBE_INTERVAL: Micros = Micros::secs(1);
/// Maximum total time that a reader waits for the barrier.
const BARRIER_TIMEOUT: Micros = Micros::millis(1_300);
/// Timeout of the read of the current revision.
const READ_TIMEOUT: Micros = Micros::millis(800);
/// Time allowed for the view to reach the revision that was read.
const CATCH_UP_TIMEOUT: Micros = Micros::millis(1_000);

/// A read of the current revision, shared by all readers that wait for it.
#[derive(Default)]
struct Generation {
    /// Whether the view reached the revision in time; `None` until the read is complete.
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

/// The barrier's queue: the generation that new readers join, whose read has not been sent.
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

    /// Waits until a reader joins or the next probe is due.
    async fn wait_for_request(&self) {
        let requested = self.requested.listen();
        let probe_due = async {
            sleep(PROBE_INTERVAL).await;
        };
        // Readers that joined while the last read was in flight are already waiting.
        if !self.has_waiters() {
            requested.or(probe_due).await;
        }
    }

    /// Returns the generation to serve, and starts a new one for later readers, as they may arrive after its read is
    /// sent.
    fn close_generation(&self) -> Rc<Generation> {
        self.next.replace(Rc::default())
    }
}

impl StateCache {
    /// Waits until the view contains all writes made before this call.
    ///
    /// Returns `false` if this takes longer than 1.3 s or fails, or immediately if the key-value store is unreachable.
    /// The view may then lack any of these writes.
    pub async fn barrier(&self) -> bool {
        if !self.reachable() {
            return false;
        }
        let generation = self.barrier.join();
        let wait = generation.wait();
        timeout(BARRIER_TIMEOUT, wait).await.unwrap_or(false)
    }

    /// Serves read barriers, and probes the key-value store once a second while no reader waits. Runs forever.
    pub async fn serve_barriers(&self) {
        loop {
            self.barrier.wait_for_request().await;
            let generation = self.barrier.close_generation();
            generation.complete(self.catch_up().await);
            sleep(self.coalesce_window).await;
        }
    }

    /// Reads the current revision, and returns whether the view reaches it in time.
    async fn catch_up(&self) -> bool {
        let absent = StoreKey::Absent.to_string();
        let read = self.kv.get(Urgency::Now, &absent);
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
