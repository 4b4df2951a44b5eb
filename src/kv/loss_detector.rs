//! Evidence that the state service lost what it held, collected from the revisions of its responses.

use crate::revision::Revision;
use event_listener::Event;
use ravenhead_recovery::{Evidence, ExpectedRevision, RevisionTracker};
use std::cell::RefCell;

/// Compares the revision of each response with those known when its request was sent, and holds the first evidence of a loss.
///
/// Invariant: evidence is kept until it is taken, and taking it starts the comparison anew, so that one loss is found once.
pub(super) struct LossDetector {
    enabled: bool,
    revisions: RefCell<RevisionTracker>,
    evidence: RefCell<Option<Evidence>>,
    found: Event,
}

impl LossDetector {
    /// A detector; one that is not enabled compares no revisions.
    pub fn new(enabled: bool) -> LossDetector {
        LossDetector {
            enabled,
            revisions: RefCell::default(),
            evidence: RefCell::default(),
            found: Event::new(),
        }
    }

    /// Returns whether revisions are compared.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Returns what the response to a request that is sent now must not be older than.
    pub fn expect(&self) -> ExpectedRevision {
        self.revisions.borrow().begin_request()
    }

    /// Takes in the revision of a response.
    pub fn observe(&self, expected: ExpectedRevision, revision: Revision) {
        if !self.enabled {
            return;
        }
        let evidence = self
            .revisions
            .borrow_mut()
            .check_response(expected, revision.0);
        if let Some(evidence) = evidence {
            self.report(evidence);
        }
    }

    /// Keeps evidence, unless there is some already, and wakes all who wait for it.
    pub fn report(&self, evidence: Evidence) {
        self.evidence.borrow_mut().get_or_insert(evidence);
        self.found.notify(usize::MAX);
    }

    /// Returns whether there is evidence.
    pub fn has_evidence(&self) -> bool {
        self.evidence.borrow().is_some()
    }

    /// Takes the evidence; revisions count anew from now on.
    pub fn take(&self) -> Option<Evidence> {
        let evidence = self.evidence.borrow_mut().take()?;
        self.revisions.borrow_mut().reset();
        Some(evidence)
    }

    /// Waits until there is evidence.
    pub async fn wait(&self) {
        loop {
            let found = self.found.listen();
            if self.has_evidence() {
                return;
            }
            found.await;
        }
    }
}

#[cfg(test)]
mod tests;
