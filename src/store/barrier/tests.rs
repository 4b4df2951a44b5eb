use super::{BarrierFailure, Generation, ReadBarrier};
use futures_lite::future::{block_on, poll_once};

fn outcome(generation: &Generation) -> Option<Result<(), BarrierFailure>> {
    block_on(poll_once(generation.wait()))
}

// A reader that arrives while a read is in flight must wait for the next read: the view may lack writes made between
// the first read and the reader's arrival.
#[test]
fn reader_arriving_during_a_read_waits_for_the_next_read() {
    let barrier = ReadBarrier::default();
    assert!(!barrier.has_waiters());
    let early = barrier.join();
    assert!(barrier.has_waiters());
    let in_flight = barrier.close_generation();
    assert!(!barrier.has_waiters());
    let late = barrier.join();
    in_flight.complete(Ok(()));
    assert_eq!(outcome(&early), Some(Ok(())));
    assert_eq!(outcome(&late), None);
    assert!(
        barrier.has_waiters(),
        "a waiting reader must trigger the next read"
    );
    let failure = Err(BarrierFailure::ViewBehind);
    barrier.close_generation().complete(failure);
    assert_eq!(outcome(&late), Some(failure));
}

#[test]
fn reader_that_timed_out_triggers_no_read() {
    let barrier = ReadBarrier::default();
    drop(barrier.join());
    assert!(!barrier.has_waiters());
}
