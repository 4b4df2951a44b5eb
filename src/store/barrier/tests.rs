use super::{Generation, ReadBarrier};
use futures_lite::future::{block_on, poll_once};

fn passed(generation: &Generation) -> Option<bool> {
    block_on(poll_once(generation.wait()))
}

// Guards against a reader that is served by a read sent before it came: writes in between would be missing.
#[test]
fn a_reader_that_comes_while_a_read_is_under_way_waits_for_the_next() {
    let barrier = ReadBarrier::default();
    assert!(!barrier.has_waiters());
    let early = barrier.join();
    assert!(barrier.has_waiters());
    let under_way = barrier.close_generation();
    assert!(!barrier.has_waiters());
    let late = barrier.join();
    under_way.complete(true);
    assert_eq!(passed(&early), Some(true));
    assert_eq!(passed(&late), None);
    assert!(barrier.has_waiters(), "the next read is sent at once");
    barrier.close_generation().complete(false);
    assert_eq!(passed(&late), Some(false));
}

#[test]
fn a_reader_that_gave_up_asks_for_no_read() {
    let barrier = ReadBarrier::default();
    drop(barrier.join());
    assert!(!barrier.has_waiters());
}
