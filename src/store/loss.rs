//! What this controller knows of a loss of stored state: the view from before it, and its own commits.

use super::StateCache;
use super::view::View;
use crate::kv::Change;
use crate::revision::Revision;
use crate::units::Micros;
use log::warn;
use ravenhead_recovery::Evidence;
use serde_json::Value;
use std::cell::RefCell;

/// A loss of stored state that this controller found, until it is rebuilt.
pub struct Loss {
    /// The view as it was when the loss was found, if there was one.
    pub snapshot: Option<View>,
    /// When it was found.
    pub found_at: Micros,
}

impl Loss {
    /// Returns how many losses were rebuilt before the snapshot.
    pub fn losses(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, View::losses)
    }

    /// Returns the revision of the snapshot, 0 where there is none.
    pub fn revision(&self) -> Revision {
        self.snapshot
            .as_ref()
            .map_or(Revision::NONE, |view| view.revision)
    }

    /// Returns whether a view that was lost later still lacked what this loss took away.
    fn is_missing_from(&self, later: Option<&View>) -> bool {
        later.is_none_or(|view| view.losses() <= self.losses() || view.has_unfinished_rebuild())
    }

    /// Adds to a snapshot what this loss, found before, had kept, unless that was rebuilt in between.
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

/// A write that this controller committed.
struct OwnCommit {
    revision: Revision,
    key: String,
    value: Value,
}

/// Writes of this controller that its view need not show yet.
///
/// Guards against a job that was accepted or cancelled, or a task that finished, right before a loss, so that no view
/// shows it.
#[derive(Default)]
pub(super) struct OwnCommits {
    commits: RefCell<Vec<OwnCommit>>,
}

impl OwnCommits {
    /// Keeps writes committed at `revision`, and forgets those up to the revision that the view shows.
    fn record(&self, revision: Revision, changes: &[Change], shown: Revision) {
        let mut commits = self.commits.borrow_mut();
        commits.retain(|c| c.revision > shown);
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

    /// Moves the writes that a view does not show into it.
    fn apply_to(&self, view: &mut View) {
        for commit in self.commits.take() {
            if commit.revision > view.revision {
                // It was taken by the state service, so it can be read.
                let _ = view.put(&commit.key, commit.value, commit.revision);
            }
        }
    }
}

impl StateCache {
    /// Returns how many losses of stored state this process found.
    pub fn losses_found(&self) -> u64 {
        self.losses_found.get()
    }

    /// Returns whether stored state was lost and is not there again, as far as this controller knows, or nothing was ever
    /// written.
    pub fn is_rebuilding(&self) -> bool {
        let view = self.view.borrow();
        let is_lost =
            self.loss.borrow().is_some() || view.has_unfinished_rebuild() || !view.has_had_leader();
        self.kv.detects_loss() && is_lost
    }

    /// Notes that this controller committed changes at this revision, to be written again if they are lost.
    pub fn record_commits(&self, revision: Revision, changes: &[Change]) {
        if self.kv.detects_loss() {
            let shown = self.view.borrow().revision;
            self.own_commits.record(revision, changes, shown);
        }
    }

    /// Keeps the view, with this controller's own commits, as the snapshot to rebuild from, and begins an empty one.
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
            // What was lost once more before it was there again adds to the snapshot from before.
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
