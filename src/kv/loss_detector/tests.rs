use super::LossDetector;
use crate::revision::Revision;
use ravenhead_recovery::Evidence;

fn claimed(by: &str) -> Evidence {
    Evidence::Claimed { by: by.into() }
}

#[test]
fn the_first_evidence_is_kept_until_it_is_taken() {
    let detector = LossDetector::new(true);
    detector.observe(detector.expect(), Revision(9));
    detector.observe(detector.expect(), Revision(4));
    detector.report(claimed("n-1"));
    let first = Evidence::RevisionWentBack { known: 9, found: 4 };
    assert_eq!(detector.take(), Some(first));
    assert!(!detector.has_evidence());
    // Revisions count anew: what is lower than before the loss is no second one.
    detector.observe(detector.expect(), Revision(5));
    assert_eq!(detector.take(), None);
}

// Guards against a response to a request from before a loss being taken for a second loss.
#[test]
fn a_response_to_a_request_from_before_the_loss_is_no_evidence() {
    let detector = LossDetector::new(true);
    detector.observe(detector.expect(), Revision(9));
    let before = detector.expect();
    detector.report(claimed("n-1"));
    assert!(detector.take().is_some());
    detector.observe(before, Revision(4));
    assert!(!detector.has_evidence());
}

#[test]
fn where_loss_is_not_detected_no_revisions_are_compared() {
    let detector = LossDetector::new(false);
    detector.observe(detector.expect(), Revision(9));
    detector.observe(detector.expect(), Revision(4));
    assert!(!detector.has_evidence());
}
