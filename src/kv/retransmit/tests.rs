use super::{MIN_RETRANSMIT, RetransmitTimer};
use crate::units::Micros;

// Guards against copies of every transaction where the state service is slow, and against a wait that a service which is
// well again does not shorten.
#[test]
fn retransmission_timeout_follows_response_times() {
    let mut time = RetransmitTimer::default();
    assert_eq!(time.retransmit_after(), MIN_RETRANSMIT);
    for _ in 0..20 {
        time.observe(Micros::millis(6));
    }
    assert_eq!(time.retransmit_after(), MIN_RETRANSMIT);
    for _ in 0..20 {
        time.observe(Micros::millis(700));
        time.observe(Micros::millis(900));
    }
    assert!(time.retransmit_after() > Micros::millis(900));
    for _ in 0..40 {
        time.observe(Micros::millis(6));
    }
    assert_eq!(time.retransmit_after(), MIN_RETRANSMIT);
}
