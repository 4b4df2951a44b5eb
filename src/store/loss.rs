//! State kept by this controller for rebuilding after a loss of stored state: the view from before the loss, and the
//! controller's own commits.

use super::StateCache;
use super::view::View;
use crate::kv::Change;
use crate::revision::Revision;
use crate::units::Micros;
use log::warn;
use ravenhead_recovery::Evidence;
use serde_json::Value;
use std::cell::RefCell;

/// A loss of stored state that this controller has found and that has not been rebuilt.
pub struct Loss {
    /// The view when the loss was found; `None` if no listing was complete by then.
    pub snapshot: Option<View>,
    /// When the loss was found, by the monotonic clock of this process.
    pub found_at: Micros,
}

impl Loss {
    /// Returns the number of losses recorded in the snapshot, 0 if there is no snapshot.
    pub fn loss_count(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, View::loss_count)
    }

    /// Returns the revision of the snapshot, 0 if there is no snapshot.
    pub fn snapshot_revision(&self) -> Revision {
        self.snapshot
            .as_ref()
            .map_or(Revision::NONE, |view| view.revision)
    }

    /// Returns whether a view lost later did not yet contain the state rebuilt after this loss.
    fn is_missing_from(&self, later: Option<&View>) -> bool {
        later.is_none_or(|view| {
            view.loss_count() <= self.loss_count() || view.has_unfinished_rebuild()
        })
    }

    /// Merges this loss's snapshot with the snapshot of a later loss. Returns the later snapshot alone if this loss was
    /// rebuilt before the later one.
    fn merge_into(self, later: Option<View>) -> Option<View> {
        let is_missing = self.is_missing_from(later.as_ref());
        match self.snapshot.filter(|_| is_missing) {
            Some(mut earlier) => {
                earlier.merge_missing(later.unwrap_or_default());
                Some(earlier)
            }
            None => later,
        }
    }
}

/// A write committed by this controller.
struct OwnCommit {
    revision: Revision,
    key: String,
    value: Value,
}

/// Writes committed by this controller that its view may not contain yet.
///
/// Without them, a job accepted or cancelled, or a task finished, right before a loss would be missing from every view
/// and from the rebuilt state.
#[derive(Default)]
pub(super) struct OwnCommits {
    commits: RefCell<Vec<OwnCommit>>,
}

impl OwnCommits {
    /// Adds writes committed at `revision`, and discards those that the view contains, up to `view_revision`.
    fn record(&self, revision: Revision, changes: &[Change], view_revision: Revision) {
        let mut commits = self.commits.borrow_mut();
        commits.retain(|c| c.revision > view_revision);
        let puts = changes.iter().filter_map(|change| match change {
            Change::Put { key, value, .. } => Some(OwnCommit {
                revision,
                key: key.clone(),
                value: value.clone(),
            }),
            Change::Delete { .. } => None,
        });
        commits.extend(puts);
    }

    /// Applies the writes newer than the view's revision to the view, and discards all of them here.
    fn apply_to(&self, view: &mut View) {
        for commit in self.commits.take() {
            if commit.revision > view.revision {
                // This controller encoded the record, so parsing can't fail.
                let _ = view.put(&commit.key, commit.value, commit.revision);
            }
        }
    }
}

impl StateCache {
    /// Returns the number of losses of stored state found by this process.
    pub fn losses_found(&self) -> u64 {
        self.losses_found.get()
    }

    /// Returns whether, as far as this controller knows, stored state was lost and has not been rebuilt, or no leader
    /// was ever elected. Always `false` if loss detection is disabled.
    pub fn is_rebuilding(&self) -> bool {
        let view = self.view.borrow();
        let is_lost =
            self.loss.borrow().is_some() || view.has_unfinished_rebuild() || !view.has_had_leader();
        self.kv.detects_loss() && is_lost
    }

    /// Records changes committed by this controller at `revision`, so that they can be written again after a loss.
    pub fn record_commits(&self, revision: Revision, changes: &[Change]) {
        if self.kv.detects_loss() {
            let view_revision = self.view.borrow().revision;
            self.own_commits.record(revision, changes, view_revision);
        }
    }

    /// Keeps the view, completed with this controller's own commits, as the snapshot to rebuild from, and starts an
    /// empty view.
    pub(super) fn begin_rebuild(&self, evidence: &Evidence) {
        let mut lost = self.view.take();
        self.own_commits.apply_to(&mut lost);
        let snapshot = lost.loaded.then_some(lost);
        warn!(
            "event=state_lost evidence={:?} snapshot_revision={}",
            evidence.to_string(),
            snapshot
                .as_ref()
                .map_or(Revision::NONE, |view| view.revision)
        );
        self.losses_found.set(self.losses_found.get() + 1);
        let snapshot = match self.loss.take() {
            // If state is lost again before it was rebuilt, the new snapshot is merged into the earlier one.
            Some(earlier) => earlier.merge_into(snapshot),
            None => snapshot,
        };
        self.loss.replace(Some(Loss {
            snapshot,
            found_at: self.clock.now(),
        }));
        self.changed.notify(usize::MAX);
    }
}

#[cfg(test)]
mod tests;
