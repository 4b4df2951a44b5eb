//! Reconciliation verdicts for the combinations of recorded and reported task state that a new leader can find, and the
//! progress of a recovery.

use ravenhead_recovery::{
    Counts, HeartbeatContext, HeartbeatPosition, JobState, Origin, Progress, RecordedTask,
    RecordedVerdict, ReportedState, Resolution, UnrecordedTask, UnrecordedVerdict,
    reconcile_recorded, reconcile_unrecorded,
};

const CURRENT: HeartbeatPosition = HeartbeatPosition {
    agent_epoch: 2,
    sequence: 7,
};
const PREVIOUS: HeartbeatPosition = HeartbeatPosition {
    agent_epoch: 2,
    sequence: 6,
};
/// The first heartbeat of the next agent epoch, in which sequence numbers restart.
const NEXT_AGENT_EPOCH: HeartbeatPosition = HeartbeatPosition {
    agent_epoch: 3,
    sequence: 1,
};

fn heartbeat(position: HeartbeatPosition, has_leader_token: bool) -> HeartbeatContext {
    HeartbeatContext {
        position,
        has_leader_token,
        responses_arrive: true,
    }
}

fn recorded(origin: Origin) -> RecordedTask {
    RecordedTask {
        origin,
        was_reported: false,
        is_stopping: false,
        is_desired: true,
    }
}

fn commanded_in(position: HeartbeatPosition) -> Origin {
    Origin::ThisLeader {
        command_sent_at: Some(position),
    }
}

#[test]
fn reported_state_decides_regardless_of_which_leader_placed_the_task() {
    for origin in [Origin::EarlierLeader, commanded_in(PREVIOUS)] {
        for has_leader_token in [true, false] {
            let verdict = |state| {
                reconcile_recorded(
                    &recorded(origin),
                    Some(state),
                    &heartbeat(CURRENT, has_leader_token),
                )
            };
            assert_eq!(verdict(ReportedState::Active), RecordedVerdict::Agrees);
            assert_eq!(
                verdict(ReportedState::Completed),
                RecordedVerdict::Ended { completed: true }
            );
            assert_eq!(
                verdict(ReportedState::Ended),
                RecordedVerdict::Ended { completed: false }
            );
        }
    }
}

// Prevents a task from running on two machines: the previous leader's start command may arrive after this heartbeat.
#[test]
fn absent_task_of_an_earlier_leader_is_gone_once_the_worker_has_the_new_token() {
    let placed_by_earlier_leader = recorded(Origin::EarlierLeader);
    let absent = |has_leader_token| {
        reconcile_recorded(
            &placed_by_earlier_leader,
            None,
            &heartbeat(CURRENT, has_leader_token),
        )
    };
    assert_eq!(absent(false), RecordedVerdict::Unconfirmed);
    assert_eq!(absent(true), RecordedVerdict::Gone);
}

#[test]
fn absent_task_of_this_leader_is_gone_after_a_newer_heartbeat() {
    let absent = |at, position| {
        let mut task = recorded(commanded_in(at));
        task.was_reported = true;
        reconcile_recorded(&task, None, &heartbeat(position, true))
    };
    assert_eq!(absent(CURRENT, PREVIOUS), RecordedVerdict::Unconfirmed);
    assert_eq!(absent(CURRENT, CURRENT), RecordedVerdict::Unconfirmed);
    assert_eq!(absent(PREVIOUS, CURRENT), RecordedVerdict::Gone);
    assert_eq!(absent(CURRENT, NEXT_AGENT_EPOCH), RecordedVerdict::Gone);
    let command_not_sent = recorded(Origin::ThisLeader {
        command_sent_at: None,
    });
    assert_eq!(
        reconcile_recorded(&command_not_sent, None, &heartbeat(CURRENT, true)),
        RecordedVerdict::Unconfirmed
    );
}

#[test]
fn lost_command_is_resent_only_if_task_is_desired_and_responses_arrive() {
    let task = recorded(commanded_in(PREVIOUS));
    let verdict =
        |task: RecordedTask, context: HeartbeatContext| reconcile_recorded(&task, None, &context);
    let context = heartbeat(CURRENT, true);
    assert_eq!(verdict(task, context), RecordedVerdict::CommandLost);
    let stopping = RecordedTask {
        is_stopping: true,
        ..task
    };
    let no_longer_desired = RecordedTask {
        is_desired: false,
        ..task
    };
    let reported = RecordedTask {
        was_reported: true,
        ..task
    };
    for other in [stopping, no_longer_desired, reported] {
        assert_eq!(verdict(other, context), RecordedVerdict::Gone);
    }
    let without_responses = HeartbeatContext {
        responses_arrive: false,
        ..context
    };
    assert_eq!(verdict(task, without_responses), RecordedVerdict::Gone);
}

#[test]
fn unrecorded_task_is_adopted_only_if_no_other_attempt_can_run() {
    let runnable = UnrecordedTask {
        job: JobState::Active,
        exists: true,
        is_finished: false,
        other_attempt_recorded: false,
        supersedes_recorded: false,
    };
    let cases = [
        (runnable, UnrecordedVerdict::Adopted),
        (
            UnrecordedTask {
                other_attempt_recorded: true,
                ..runnable
            },
            UnrecordedVerdict::OtherAttempt,
        ),
        // After a loss of state, the higher of two attempts takes precedence.
        (
            UnrecordedTask {
                other_attempt_recorded: true,
                supersedes_recorded: true,
                ..runnable
            },
            UnrecordedVerdict::Adopted,
        ),
        (
            UnrecordedTask {
                is_finished: true,
                ..runnable
            },
            UnrecordedVerdict::AlreadyFinished,
        ),
        (
            UnrecordedTask {
                job: JobState::Ended,
                ..runnable
            },
            UnrecordedVerdict::JobEnded,
        ),
        (
            UnrecordedTask {
                job: JobState::Unknown,
                ..runnable
            },
            UnrecordedVerdict::Unknown,
        ),
        (
            UnrecordedTask {
                exists: false,
                ..runnable
            },
            UnrecordedVerdict::Unknown,
        ),
    ];
    for (task, expected) in cases {
        let verdict = reconcile_unrecorded(&task, ReportedState::Active);
        assert_eq!(verdict, expected, "{task:?}");
        assert_eq!(verdict.is_stopped(), expected != UnrecordedVerdict::Adopted);
        let completed = reconcile_unrecorded(&task, ReportedState::Completed);
        let finish_counts = expected == UnrecordedVerdict::Adopted;
        assert_eq!(
            completed == UnrecordedVerdict::FinishedUnwritten,
            finish_counts
        );
        let ended = reconcile_unrecorded(&task, ReportedState::Ended);
        assert_eq!(ended, UnrecordedVerdict::Ended);
    }
}

#[test]
fn recovery_ends_with_one_summary_once_all_tasks_are_confirmed() {
    let recorded = [("j-1", 0), ("j-1", 1), ("j-2", 70_000), ("j-3", 0)];
    let mut progress = Progress::begin(recorded.into_iter(), 1_000);
    progress.resolve("j-1", 0, Resolution::Agreed);
    progress.resolve("j-1", 0, Resolution::Gone);
    progress.resolve("j-9", 0, Resolution::Agreed);
    progress.count_unrecorded(UnrecordedVerdict::Adopted);
    progress.count_unrecorded(UnrecordedVerdict::JobEnded);
    progress.count_unrecorded(UnrecordedVerdict::Ended);
    assert_eq!(progress.unconfirmed(), 3);
    assert_eq!(progress.take_summary(2_000), None);
    progress.resolve("j-1", 1, Resolution::Gone);
    progress.resolve("j-2", 70_000, Resolution::MachineTerminated);
    progress.resolve("j-3", 0, Resolution::Ended);
    let summary = progress.take_summary(5_000).expect("all are confirmed");
    assert_eq!((summary.recorded, summary.duration_us), (4, 4_000));
    let expected = Counts {
        agreed: 1,
        ended: 1,
        gone: 1,
        machine_returned: 1,
        adopted: 1,
        finished_unwritten: 0,
        stopped: 1,
    };
    assert_eq!(summary.counts, expected);
    assert_eq!(progress.take_summary(6_000), None);
    assert!(!progress.is_in_progress());
}
