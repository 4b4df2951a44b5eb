//! Changes of the view, recorded for the leader.

use super::view::ViewChange;
use std::cell::RefCell;

/// Changes since they were last taken, recorded only while this controller leads.
///
/// Guards against a follower keeping all that it ever saw, and against a new leader taking contacts from before its term for
/// new ones.
#[derive(Default)]
pub(super) struct ChangeLog {
    changes: RefCell<Option<Vec<ViewChange>>>,
}

impl ChangeLog {
    /// Begins or ends recording; what was recorded before is dropped.
    pub fn record(&self, record: bool) {
        self.changes.replace(record.then(Vec::new));
    }

    /// Adds changes if they are being recorded; returns whether there is something new to take.
    pub fn extend(&self, changes: Vec<ViewChange>) -> bool {
        match &mut *self.changes.borrow_mut() {
            Some(recorded) if !changes.is_empty() => {
                recorded.extend(changes);
                true
            }
            _ => false,
        }
    }

    /// Returns the changes recorded since the last call.
    pub fn take(&self) -> Vec<ViewChange> {
        let mut changes = self.changes.borrow_mut();
        changes.as_mut().map(std::mem::take).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
