use super::LossDetector;
use crate::revision::Revision;
use ravenhead_recovery::Evidence;

fn claimed_evidence(by: &str) -> Evidence {
    Evidence::Claimed { by: by.into() }
}

#[test]
fn first_evidence_is_kept_until_it_is_taken() {
    let detector = LossDetector::new(true);
    detector.observe(detector.expect(), Revision(9));
    detector.observe(detector.expect(), Revision(4));
    detector.report(claimed_evidence("n-1"));
    let first_evidence = Evidence::RevisionWentBack { known: 9, found: 4 };
    assert_eq!(detector.take(), Some(first_evidence));
    assert!(!detector.has_evidence());
    // The revisions from before the loss are forgotten, so a lower revision is not evidence of a second loss.
    detector.observe(detector.expect(), Revision(5));
    assert_eq!(detector.take(), None);
}

// A response to a request sent before the loss may carry a revision below the one known then. Treating it as evidence
// would report the same loss twice.
#[test]
fn response_to_a_request_sent_before_the_loss_is_no_evidence() {
    let detector = LossDetector::new(true);
    detector.observe(detector.expect(), Revision(9));
    let before = detector.expect();
    detector.report(claimed_evidence("n-1"));
    assert!(detector.take().is_some());
    detector.observe(before, Revision(4));
    assert!(!detector.has_evidence());
}

#[test]
fn disabled_detector_compares_no_revisions() {
    let detector = LossDetector::new(false);
    detector.observe(detector.expect(), Revision(9));
    detector.observe(detector.expect(), Revision(4));
    assert!(!detector.has_evidence());
}
