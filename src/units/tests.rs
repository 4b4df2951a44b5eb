use super::*;

#[test]
fn decimal_amounts_add_up_exactly() {
    // Ten tasks of 0.1 must fill exactly one core: floating sums would leave or lack a crumb.
    let mut left = Room::new(1.0, 0.0, 0.0);
    for _ in 0..10 {
        assert!(left.holds(&Room::new(0.1, 0.0, 0.0)));
        left -= Room::new(0.1, 0.0, 0.0);
    }
    assert_eq!(left, Room::default());
    assert_eq!(
        Room::new(16.0, 2.0, 128.0).count_of(&Room::new(5.0, 1.0, 38.0)),
        2
    );
}
