//! The local view of the key-value store, its read barrier, and the snapshot kept after a loss of stored state.
//!
//! [`StateCache`] holds one [`View`], which is filled by a listing and updated by watches (`follow`). Readers that must
//! observe all earlier writes wait for the read barrier (`barrier`). After a loss of stored state, the view from before
//! the loss is kept as the snapshot from which the state is rebuilt (`loss`).

mod barrier;
mod change_log;
mod follow;
mod keys;
mod loss;
mod records;
mod stats;
mod view;

pub use barrier::BarrierFailure;
pub use keys::{InvalidKey, KeyKind, PREFIX, StoreKey};
pub use loss::Loss;
pub use records::{
    ArchivedEnd, CandidateRecord, InvalidRecord, LeaderRecord, LossRecord, ProvisioningRecord,
    decode, encode,
};
pub use stats::StoreStats;
pub use view::{ABORTED, DONE, JobStatus, PENDING, RUNNING, Versioned, View, ViewChange};

use crate::clock::Clock;
use crate::kv::KvClient;
use crate::units::Micros;
use barrier::ReadBarrier;
use change_log::ChangeLog;
use event_listener::Event;
use loss::OwnCommits;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Time without a response after which the key-value store counts as unreachable.
const UNREACHABLE_AFTER: Micros = Micros::millis(2_500);

/// The local view of the key-value store, with the tasks that update it.
pub struct StateCache {
    kv: Rc<KvClient>,
    clock: Clock,
    /// The current view; empty until the first listing is complete, and from a loss of stored state until the next one.
    pub view: RefCell<View>,
    /// Notified after every update of the view.
    pub changed: Event,
    change_log: ChangeLog,
    /// Notified when [`StateCache::take_changes`] has changes to return.
    pub change_notifications: Event,
    /// Pause after a watch that returned changes and after a barrier read, so that the next one covers a batch of them.
    coalesce_window: Micros,
    /// Ends the pause before the next watch early.
    watch_requested: Event,
    barrier: ReadBarrier,
    /// Counters for the log.
    pub stats: StoreStats,
    last_response_at: Cell<Micros>,
    /// The last loss of stored state found by this controller, until its snapshot is no longer needed.
    pub loss: RefCell<Option<Loss>>,
    /// Number of losses of stored state found by this process.
    losses_found: Cell<u64>,
    own_commits: OwnCommits,
}

impl StateCache {
    /// Creates a cache with an empty view. After a watch that returned changes, it pauses for `coalesce_window`, so
    /// that the next watch returns a batch.
    pub fn new(kv: Rc<KvClient>, clock: Clock, coalesce_window: Micros) -> StateCache {
        StateCache {
            kv,
            clock,
            view: RefCell::default(),
            changed: Event::new(),
            change_log: ChangeLog::default(),
            change_notifications: Event::new(),
            coalesce_window,
            watch_requested: Event::new(),
            barrier: ReadBarrier::default(),
            stats: StoreStats::default(),
            last_response_at: Cell::new(clock.now()),
            loss: RefCell::default(),
            losses_found: Cell::new(0),
            own_commits: OwnCommits::default(),
        }
    }

    /// Returns whether the key-value store has responded within the last 2.5 s.
    pub fn reachable(&self) -> bool {
        self.clock.now().since(self.last_response_at.get()) < UNREACHABLE_AFTER
    }

    /// Returns the time since the view was last known to be current: since the last listing or answered watch.
    pub fn view_age(&self) -> Micros {
        self.clock.now().since(self.stats.last_update_at.get())
    }

    /// Records a response of the key-value store at the current time.
    pub fn mark_reachable(&self) {
        self.last_response_at.set(self.clock.now());
    }

    /// Makes the key-value store count as unreachable.
    #[cfg(test)]
    pub fn mark_unreachable_for_test(&self) {
        self.last_response_at.set(Micros::ZERO);
    }

    /// Starts or stops recording changes for [`StateCache::take_changes`], and discards those recorded before.
    pub fn record_changes(&self, record: bool) {
        self.change_log.record(record);
    }

    /// Returns the changes recorded since the last call, in order.
    pub fn take_changes(&self) -> Vec<ViewChange> {
        self.change_log.take()
    }
}

#[cfg(test)]
mod tests;
