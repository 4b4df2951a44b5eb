use super::{Attempt, ExitedAttempts, MAX_RETAINED};
use crate::ids::{JobId, TaskId};

fn attempt(index: u32, number: u64) -> Attempt {
    let job = JobId("j-1".into());
    (TaskId { job, index }, number)
}

/// Updates with a heartbeat that reports these attempts as ended without their work being done, and no others.
fn report(exited: &mut ExitedAttempts, ended: &[Attempt], has_leader_token: bool) {
    let ended: Vec<Attempt> = ended.to_vec();
    let reported = ended.clone().into_iter();
    exited.update(
        reported,
        Vec::new(),
        ended.into_iter().collect(),
        has_leader_token,
    );
}

// Guards against a late copy of a start command that takes effect because the worker was told to clear the attempt.
#[test]
fn attempt_that_this_leader_may_have_started_is_retained() {
    let mut exited = ExitedAttempts::default();
    for _ in 0..3 {
        report(&mut exited, &[attempt(0, 1), attempt(1, 2)], true);
        assert_eq!((exited.clearable(), exited.count()), (&[][..], 2));
    }
    report(&mut exited, &[attempt(1, 2)], true);
    assert_eq!(exited.count(), 1, "the worker has forgotten one");
}

#[test]
fn attempt_of_an_earlier_leader_is_cleared_once_the_worker_has_the_token() {
    let mut exited = ExitedAttempts::default();
    report(&mut exited, &[attempt(0, 1)], false);
    assert_eq!(exited.clearable(), [], "a copy of its start is accepted");
    report(&mut exited, &[attempt(0, 1), attempt(0, 2)], true);
    assert_eq!(exited.clearable(), [attempt(0, 1)]);
    report(&mut exited, &[attempt(0, 2)], true);
    assert_eq!((exited.clearable(), exited.count()), (&[][..], 1));
}

#[test]
fn attempt_that_runs_under_an_earlier_leader_and_ends_under_this_one_is_cleared() {
    let mut exited = ExitedAttempts::default();
    let running = [attempt(0, 1)].into_iter();
    exited.update(running, Vec::new(), Default::default(), false);
    let running = [attempt(0, 1)].into_iter();
    exited.update(running, Vec::new(), Default::default(), true);
    report(&mut exited, &[attempt(0, 1)], true);
    assert_eq!(exited.clearable(), [attempt(0, 1)]);
}

#[test]
fn completed_attempt_is_cleared() {
    let mut exited = ExitedAttempts::default();
    let reported = [attempt(0, 1)].into_iter();
    exited.update(reported, vec![attempt(0, 1)], Default::default(), true);
    assert_eq!(exited.clearable(), [attempt(0, 1)]);
}

// Guards against heartbeats that grow without bound on a machine where many tasks are stopped.
#[test]
fn oldest_attempts_beyond_the_bound_are_cleared() {
    let mut exited = ExitedAttempts::default();
    let mut ended = vec![attempt(9_999, 1)];
    report(&mut exited, &ended, true);
    ended.extend((0..MAX_RETAINED as u32).map(|index| attempt(index, 1)));
    report(&mut exited, &ended, true);
    assert_eq!(exited.clearable(), [attempt(9_999, 1)]);
    assert_eq!(exited.count(), MAX_RETAINED + 1);
}
