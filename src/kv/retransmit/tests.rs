use super::{MIN_RETRANSMIT, RetransmitTimer};
use crate::units::Micros;

// The timeout must grow while the store is slow, or every transaction would be sent twice, and must shrink again once
// the store has recovered.
#[test]
fn retransmission_timeout_follows_response_times() {
    let mut timer = RetransmitTimer::default();
    assert_eq!(timer.retransmit_after(), MIN_RETRANSMIT);
    for _ in 0..20 {
        timer.observe(Micros::millis(6));
    }
    assert_eq!(timer.retransmit_after(), MIN_RETRANSMIT);
    for _ in 0..20 {
        timer.observe(Micros::millis(700));
        timer.observe(Micros::millis(900));
    }
    assert!(timer.retransmit_after() > Micros::millis(900));
    for _ in 0..40 {
        timer.observe(Micros::millis(6));
    }
    assert_eq!(timer.retransmit_after(), MIN_RETRANSMIT);
}
