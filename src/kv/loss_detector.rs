//! Detection of a loss of stored state from the revisions of the key-value store's responses.

use crate::revision::Revision;
use event_listener::Event;
use ravenhead_recovery::{Evidence, ExpectedRevision, RevisionTracker};
use std::cell::RefCell;

/// Compares the revision of each response with the highest revision known when its request was sent, and keeps the
/// first evidence of a loss.
///
/// Invariant: evidence is kept until it is taken. Taking it forgets the known revisions, so that one loss is detected
/// once.
pub(super) struct LossDetector {
    enabled: bool,
    revisions: RefCell<RevisionTracker>,
    evidence: RefCell<Option<Evidence>>,
    evidence_reported: Event,
}

impl LossDetector {
    /// Creates a detector. A disabled detector ignores the revisions of responses.
    pub fn new(enabled: bool) -> LossDetector {
        LossDetector {
            enabled,
            revisions: RefCell::default(),
            evidence: RefCell::default(),
            evidence_reported: Event::new(),
        }
    }

    /// Returns whether revisions are compared.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Returns the lower bound for the revision of the response to a request that is sent now.
    pub fn expect(&self) -> ExpectedRevision {
        self.revisions.borrow().begin_request()
    }

    /// Compares the revision of a response with the bound that [`LossDetector::expect`] returned for its request.
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

    /// Records evidence unless earlier evidence has not been taken yet, and wakes all tasks waiting for it.
    pub fn report(&self, evidence: Evidence) {
        self.evidence.borrow_mut().get_or_insert(evidence);
        self.evidence_reported.notify(usize::MAX);
    }

    /// Returns whether there is evidence of a loss that has not been taken.
    pub fn has_evidence(&self) -> bool {
        self.evidence.borrow().is_some()
    }

    /// Takes the evidence and forgets the known revisions.
    pub fn take(&self) -> Option<Evidence> {
        let evidence = self.evidence.borrow_mut().take()?;
        self.revisions.borrow_mut().reset();
        Some(evidence)
    }

    /// Waits until there is evidence of a loss.
    pub async fn wait(&self) {
        loop {
            let reported = self.evidence_reported.listen();
            if self.has_evidence() {
                return;
            }
            reported.await;
        }
    }
}

#[cfg(test)]
mod tests;
