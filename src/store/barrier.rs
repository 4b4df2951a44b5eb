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
use std::fmt;
use std::rc::Rc;

/// Interval at which the revision is read, as a probe of the store, when no reader waits for the barrier.
const PROBE_INTERVAL: Micros = Micros::secs(1);
/// Maximum total time that a reader waits for the barrier.
const BARRIER_TIMEOUT: Micros = Micros::millis(1_300);
/// Timeout of the read of the current revision.
const READ_TIMEOUT: Micros = Micros::millis(800);
/// Time allowed for the view to reach the revision that was read.
const CATCH_UP_TIMEOUT: Micros = Micros::millis(1_000);

/// Why a read barrier did not pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BarrierFailure {
    /// The key-value store has not responded for a while, so its revision was not read.
    StoreUnreachable,
    /// The read of the current revision was refused, or not answered in time.
    RevisionUnread,
    /// The view did not reach the revision in time.
    ViewBehind,
    /// The reader's time was over before the read and the wait for the view were.
    TimedOut,
}

impl fmt::Display for BarrierFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BarrierFailure::StoreUnreachable => "store_unreachable",
            BarrierFailure::RevisionUnread => "revision_unread",
            BarrierFailure::ViewBehind => "view_behind",
            BarrierFailure::TimedOut => "timed_out",
        })
    }
}

/// A read of the current revision, shared by all readers that wait for it.
#[derive(Default)]
struct Generation {
    /// Whether the view reached the revision in time; `None` until the read is complete.
    outcome: Cell<Option<Result<(), BarrierFailure>>>,
    completed: Event,
}

impl Generation {
    fn complete(&self, outcome: Result<(), BarrierFailure>) {
        self.outcome.set(Some(outcome));
        self.completed.notify(usize::MAX);
    }

    async fn wait(&self) -> Result<(), BarrierFailure> {
        loop {
            let completed = self.completed.listen();
            if let Some(outcome) = self.outcome.get() {
                return outcome;
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
    /// # Errors
    ///
    /// Fails if this takes longer than 1.3 s, or immediately if the key-value store is unreachable. The view may then
    /// lack any of these writes.
    pub async fn barrier(&self) -> Result<(), BarrierFailure> {
        if !self.reachable() {
            return Err(BarrierFailure::StoreUnreachable);
        }
        let generation = self.barrier.join();
        let wait = generation.wait();
        let outcome = timeout(BARRIER_TIMEOUT, wait).await;
        outcome.unwrap_or(Err(BarrierFailure::TimedOut))
    }

    /// Serves read barriers, and probes the key-value store once a second while no reader waits. Runs forever.
    pub async fn serve_barriers(&self) {
        loop {
            self.barrier.wait_for_request().await;
            let generation = self.barrier.close_generation();
            let outcome = self.catch_up().await;
            match outcome {
                Ok(()) => self.stats.passed_barriers.increment(),
                Err(failure) => self.stats.failed_barriers.increment(failure),
            }
            generation.complete(outcome);
            sleep(self.coalesce_window).await;
        }
    }

    /// Reads the current revision, and waits until the view reaches it.
    async fn catch_up(&self) -> Result<(), BarrierFailure> {
        let absent = StoreKey::Absent.to_string();
        let read = self.kv.get(Urgency::Now, &absent);
        match timeout(READ_TIMEOUT, read).await {
            Some(Ok(Lookup::Absent { revision })) => {
                self.mark_reachable();
                let has_reached = self.wait_for_revision(revision, CATCH_UP_TIMEOUT).await;
                has_reached.then_some(()).ok_or(BarrierFailure::ViewBehind)
            }
            Some(Err(e)) => {
                debug!("event=probe_failed error={e:?}");
                Err(BarrierFailure::RevisionUnread)
            }
            Some(Ok(Lookup::Found(_))) | None => Err(BarrierFailure::RevisionUnread),
        }
    }
}

#[cfg(test)]
mod tests;
