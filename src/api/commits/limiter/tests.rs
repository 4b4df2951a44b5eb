use super::{CommitLimiter, CommitPermit, MAX_BACKOFF, MAX_WINDOW, MIN_BACKOFF};
use crate::clock::{TimeSource, use_time_source};
use crate::units::Micros;
use futures_lite::future::{block_on, pending, poll_once};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Time that does not pass.
struct StoppedTime;

impl TimeSource for StoppedTime {
    fn now(&self) -> Micros {
        Micros::secs(1)
    }

    fn unix_time(&self) -> u64 {
        0
    }

    fn sleep_until(&self, _: Micros) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(pending())
    }
}

/// Returns a new limiter, and stops the time of this thread.
fn limiter() -> CommitLimiter {
    use_time_source(Some(Rc::new(StoppedTime)));
    CommitLimiter::new()
}

type Acquire<'a> = Pin<Box<dyn Future<Output = CommitPermit<'a>> + 'a>>;

fn acquire(limiter: &CommitLimiter) -> Acquire<'_> {
    Box::pin(limiter.acquire())
}

fn admitted<'a>(acquire: &mut Acquire<'a>) -> Option<CommitPermit<'a>> {
    block_on(poll_once(acquire))
}

/// Ends the pause after a refusal at once.
fn end_pause(limiter: &CommitLimiter) {
    limiter.resume_at.set(Micros::ZERO);
}

fn pause(limiter: &CommitLimiter) -> Micros {
    limiter.resume_at.get().since(limiter.clock.now())
}

fn refuse(limiter: &CommitLimiter) {
    end_pause(limiter);
    let permit = admitted(&mut acquire(limiter));
    permit.expect("no other commit is in flight").refuse();
}

#[test]
fn commits_above_the_window_wait_for_others_to_end() {
    let limiter = limiter();
    let mut permits: Vec<CommitPermit<'_>> = (0..MAX_WINDOW as usize)
        .map(|_| admitted(&mut acquire(&limiter)).expect("within the window"))
        .collect();
    let mut next = acquire(&limiter);
    assert!(admitted(&mut next).is_none());
    permits.pop().expect("a permit").complete();
    assert!(admitted(&mut next).is_some());
}

#[test]
fn refusal_halves_the_window_and_pauses_all_commits() {
    let limiter = limiter();
    refuse(&limiter);
    assert_eq!(limiter.window.get(), MAX_WINDOW / 2.0);
    assert_eq!(limiter.in_flight.get(), 0);
    assert!(
        admitted(&mut acquire(&limiter)).is_none(),
        "during the pause"
    );
    end_pause(&limiter);
    assert!(
        admitted(&mut acquire(&limiter)).is_some(),
        "after the pause"
    );
}

#[test]
fn pause_grows_with_refusals_in_a_row_and_a_commit_is_always_admitted_after_it() {
    let limiter = limiter();
    for _ in 0..20 {
        refuse(&limiter);
        assert!(pause(&limiter) <= MAX_BACKOFF);
    }
    assert_eq!(limiter.window.get(), 1.0);
    assert!(pause(&limiter) >= MAX_BACKOFF.scaled(1, 2));
    end_pause(&limiter);
    let permit = admitted(&mut acquire(&limiter));
    permit.expect("the window is never closed").complete();
    refuse(&limiter);
    assert!(pause(&limiter) <= MIN_BACKOFF);
}

#[test]
fn commits_are_admitted_in_the_order_of_their_arrival() {
    let limiter = limiter();
    limiter.window.set(1.0);
    let in_flight = admitted(&mut acquire(&limiter)).expect("the first commit");
    let mut second = acquire(&limiter);
    let mut third = acquire(&limiter);
    assert!(admitted(&mut second).is_none());
    assert!(admitted(&mut third).is_none());
    in_flight.complete();
    assert!(admitted(&mut third).is_none(), "the second was first");
    drop(second);
    assert!(admitted(&mut third).is_some(), "the second gave up");
    assert!(limiter.waiting.borrow().is_empty());
}
