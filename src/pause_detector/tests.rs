use super::{PAUSE_CHECK_INTERVAL, PauseDetector};
use crate::units::Micros;

#[test]
fn slightly_late_checks_are_not_a_pause() {
    let detector = PauseDetector::new("n-1", Micros::secs(10));
    let mut now = Micros::secs(10);
    for late in [0, 50, 900] {
        now = now + PAUSE_CHECK_INTERVAL + Micros::millis(late);
        assert_eq!(detector.check(now), None);
    }
}

// A pause that is reported twice would be applied twice to the heartbeat times of machines.
#[test]
fn a_pause_is_reported_once_with_its_length() {
    let detector = PauseDetector::new("n-1", Micros::secs(10));
    assert_eq!(
        detector.check(Micros::millis(14_500)),
        Some(Micros::millis(4_500))
    );
    assert_eq!(detector.check(Micros::millis(14_500)), None);
    assert_eq!(detector.check(Micros::millis(14_600)), None);
}
