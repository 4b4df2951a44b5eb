use crate::units::Resources;

#[test]
fn decimal_amounts_add_up_exactly() {
    // Ten tasks of 0.1 must fill exactly one core: floating sums would leave or lack a crumb.
    let mut left = Resources::new(1.0, 0.0, 0.0);
    for _ in 0..10 {
        assert!(left.holds(&Resources::new(0.1, 0.0, 0.0)));
        left -= Resources::new(0.1, 0.0, 0.0);
    }
    assert_eq!(left, Resources::default());
    assert_eq!(
        Resources::new(16.0, 2.0, 128.0).count_of(&Resources::new(5.0, 1.0, 38.0)),
        2
    );
}
