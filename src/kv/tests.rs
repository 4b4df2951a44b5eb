use super::*;

// Guards against copies of every transaction where the state service is slow, and against a wait that a service which is
// well again does not shorten.
#[test]
fn the_wait_before_a_transaction_is_sent_again_follows_what_answers_take() {
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
