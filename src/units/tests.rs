use crate::units::Resources;

#[test]
fn decimal_amounts_add_up_exactly() {
    // Ten tasks of 0.1 cores must fill exactly one core. Floating-point sums would be slightly above or below it.
    let mut free = Resources::new(1.0, 0.0, 0.0);
    for _ in 0..10 {
        assert!(free.can_fit(&Resources::new(0.1, 0.0, 0.0)));
        free -= Resources::new(0.1, 0.0, 0.0);
    }
    assert_eq!(free, Resources::default());
    assert_eq!(
        Resources::new(16.0, 2.0, 128.0).count_fitting(&Resources::new(5.0, 1.0, 38.0)),
        2
    );
}
