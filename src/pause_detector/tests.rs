use super::{PAUSE_CHECK_INTERVAL, PauseDetector};
use crate::units::Micros;

#[test]
fn checks_that_are_a_little_late_are_no_pause() {
    let detector = PauseDetector::new("n-1", Micros::secs(10));
    let mut now = Micros::secs(10);
    for late in [0, 50, 900] {
        now = now + PAUSE_CHECK_INTERVAL + Micros::millis(late);
        assert_eq!(detector.check(now), None);
    }
}

// Guards against one pause that is held against machines twice.
#[test]
fn a_pause_is_found_once_with_its_length() {
    let detector = PauseDetector::new("n-1", Micros::secs(10));
    assert_eq!(
        detector.check(Micros::millis(14_500)),
        Some(Micros::millis(4_500))
    );
    assert_eq!(detector.check(Micros::millis(14_500)), None);
    assert_eq!(detector.check(Micros::millis(14_600)), None);
}
