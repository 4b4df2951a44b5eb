//! Log of the view's changes, which a leader applies to its scheduler.

use super::view::ViewChange;
use std::cell::RefCell;

/// The changes since the last call of [`ChangeLog::take`], recorded only while this controller leads.
///
/// If a follower recorded changes, its log would grow without limit, and a new leader would apply contacts from before
/// its term as if they were recent.
#[derive(Default)]
pub(super) struct ChangeLog {
    changes: RefCell<Option<Vec<ViewChange>>>,
}

impl ChangeLog {
    /// Starts or stops recording, and discards the changes recorded before.
    pub fn record(&self, record: bool) {
        self.changes.replace(record.then(Vec::new));
    }

    /// Appends changes if recording is on, and returns whether any were appended.
    pub fn extend(&self, changes: Vec<ViewChange>) -> bool {
        match &mut *self.changes.borrow_mut() {
            Some(recorded) if !changes.is_empty() => {
                recorded.extend(changes);
                true
            }
            _ => false,
        }
    }

    /// Returns the changes recorded since the last call, in order.
    pub fn take(&self) -> Vec<ViewChange> {
        let mut changes = self.changes.borrow_mut();
        changes.as_mut().map(std::mem::take).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
