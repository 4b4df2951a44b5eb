use super::{LeaderLease, TermEnd};
use crate::fencing::FencingToken;
use crate::kv::LeaseId;
use crate::revision::Revision;
use crate::units::Micros;

fn lease(requested_at: Micros, ttl: Micros) -> LeaderLease {
    LeaderLease::new(
        FencingToken(7),
        Revision(7),
        LeaseId(1),
        0,
        requested_at,
        ttl,
    )
}

// Guards against a leader whose clock is slow acting on a lease that has expired at the state service.
#[test]
fn lease_counts_from_its_request_and_ends_a_hundredth_early() {
    let lease = lease(Micros::secs(100), Micros::secs(2));
    assert!(lease.is_valid(Micros::millis(101_979)));
    assert!(!lease.is_valid(Micros::millis(101_980)));
}

#[test]
fn renewal_counts_from_its_own_request() {
    let lease = lease(Micros::secs(100), Micros::secs(2));
    lease.renew(Micros::millis(100_500), Micros::secs(2));
    assert!(lease.is_valid(Micros::millis(102_479)));
    assert!(!lease.is_valid(Micros::millis(102_480)));
}

// Guards against log lines that change under dashboards: the reasons are part of `leader_term_ended`.
#[test]
fn reasons_of_a_terms_end_are_stable() {
    let reasons = [
        (TermEnd::Superseded, "another controller leads"),
        (TermEnd::LeaseExpired, "lease lost"),
        (TermEnd::LeaderKeyChanged, "the leader key is another's"),
        (TermEnd::StateLost, "stored state was lost"),
        (TermEnd::ViewStalled, "the view does not follow"),
        (TermEnd::WriteRejected, "a write was found senseless"),
        (TermEnd::ReadRejected, "a read was found senseless"),
        (TermEnd::UnexpectedConflict, "an unexpected conflict"),
    ];
    for (end, reason) in reasons {
        assert_eq!(end.to_string(), reason);
    }
}
