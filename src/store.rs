//! The cached view of the state service's keys, with the read barrier and what a loss of stored state leaves behind.
//!
//! [`StateCache`] holds one [`View`], filled by a listing and kept up to date by a watch (`follow`). Readers that must see
//! everything that was written before they came pass the read barrier (`barrier`). When stored state is lost, the view is kept
//! as a snapshot to rebuild from (`loss`).

mod barrier;
mod change_log;
mod follow;
mod keys;
mod loss;
mod records;
mod view;

pub use keys::{InvalidKey, KeyKind, PREFIX, StoreKey};
pub use loss::Loss;
pub use records::{
    ArchivedEnd, CandidateRecord, InvalidRecord, LeaderRecord, LossRecord, ProvisioningRecord,
    decode, encode,
};
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

/// After so long without a response the state service counts as unreachable.
const UNREACHABLE_AFTER: Micros = Micros::millis(2_500);

/// The cached view, and the tasks that keep it.
pub struct StateCache {
    kv: Rc<KvClient>,
    clock: Clock,
    /// The view.
    pub view: RefCell<View>,
    /// Fires after every change of the view.
    pub changed: Event,
    change_log: ChangeLog,
    /// Fires when there is something for [`StateCache::take_changes`].
    pub change_notifications: Event,
    /// How long changes gather before the next watch or barrier.
    coalesce_window: Micros,
    /// Ends the pause before the next watch.
    watch_requested: Event,
    barrier: ReadBarrier,
    last_response_at: Cell<Micros>,
    /// The loss that is being rebuilt.
    pub loss: RefCell<Option<Loss>>,
    /// Losses found by this process.
    losses_found: Cell<u64>,
    own_commits: OwnCommits,
}

impl StateCache {
    /// An empty view; changes gather for `coalesce_window` before the next watch.
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
            last_response_at: Cell::new(clock.now()),
            loss: RefCell::default(),
            losses_found: Cell::new(0),
            own_commits: OwnCommits::default(),
        }
    }

    /// Returns whether the state service answered lately.
    pub fn reachable(&self) -> bool {
        self.clock.now().since(self.last_response_at.get()) < UNREACHABLE_AFTER
    }

    /// Notes that the state service answered something just now.
    pub fn mark_reachable(&self) {
        self.last_response_at.set(self.clock.now());
    }

    /// Makes it look as if the state service had not answered for long.
    #[cfg(test)]
    pub fn mark_unreachable_for_test(&self) {
        self.last_response_at.set(Micros::ZERO);
    }

    /// Begins or ends the recording of changes for [`StateCache::take_changes`]; what was recorded before is dropped.
    pub fn record_changes(&self, record: bool) {
        self.change_log.record(record);
    }

    /// Returns the changes recorded since the last call.
    pub fn take_changes(&self) -> Vec<ViewChange> {
        self.change_log.take()
    }
}

#[cfg(test)]
mod tests;
