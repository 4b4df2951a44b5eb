use super::{Counter, ReasonCounter};

#[test]
fn counter_starts_again_after_it_was_taken() {
    let counter = Counter::default();
    counter.increment();
    counter.increment();
    assert_eq!(counter.take(), 2);
    assert_eq!(counter.take(), 0);
}

#[test]
fn reasons_are_written_in_order_with_their_numbers() {
    let counter = ReasonCounter::default();
    for reason in ["late", "early", "late"] {
        counter.increment(reason);
    }
    assert_eq!(counter.take().to_string(), "early:1,late:2");
    assert_eq!(counter.take().to_string(), "none");
}
