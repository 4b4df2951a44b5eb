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

// A leader with a slow clock must not act under a lease that has already expired in the key-value store.
#[test]
fn lease_starts_at_its_request_and_expires_one_percent_early() {
    let lease = lease(Micros::secs(100), Micros::secs(2));
    assert!(lease.is_valid(Micros::millis(101_979)));
    assert!(!lease.is_valid(Micros::millis(101_980)));
}

#[test]
fn renewed_lease_starts_at_the_renewal_request() {
    let lease = lease(Micros::secs(100), Micros::secs(2));
    lease.renew(Micros::millis(100_500), Micros::secs(2));
    assert!(lease.is_valid(Micros::millis(102_479)));
    assert!(!lease.is_valid(Micros::millis(102_480)));
}

// Dashboards match these reasons in the `leader_term_ended` log line.
#[test]
fn term_end_reasons_are_stable() {
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
