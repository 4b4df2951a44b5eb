//! Every combination of record and report that a new leader may meet, and the verdict on it.

use ravenhead_recovery::{
    Counts, HeartbeatContext, HeartbeatPosition, JobState, Origin, Progress, RecordedTask,
    RecordedVerdict, ReportedState, Resolution, UnrecordedTask, UnrecordedVerdict,
    reconcile_recorded, reconcile_unrecorded,
};

const AT: HeartbeatPosition = HeartbeatPosition {
    agent_epoch: 2,
    sequence: 7,
};
const BEFORE: HeartbeatPosition = HeartbeatPosition {
    agent_epoch: 2,
    sequence: 6,
};
/// The sequence begins anew with a agent epoch.
const NEXT_SESSION: HeartbeatPosition = HeartbeatPosition {
    agent_epoch: 3,
    sequence: 1,
};

fn report(position: HeartbeatPosition, shows_token: bool) -> HeartbeatContext {
    HeartbeatContext {
        position,
        shows_token,
        answers_arrive: true,
    }
}

fn recorded(origin: Origin) -> RecordedTask {
    RecordedTask {
        origin,
        was_reported: false,
        is_stopping: false,
        is_wanted: true,
    }
}

fn ordered_at(position: HeartbeatPosition) -> Origin {
    Origin::ThisLeader {
        ordered_at: Some(position),
    }
}

#[test]
fn what_is_reported_as_recorded_agrees_whoever_placed_it() {
    for origin in [Origin::EarlierLeader, ordered_at(BEFORE)] {
        for shows_token in [true, false] {
            let verdict = |state| {
                reconcile_recorded(&recorded(origin), Some(state), &report(AT, shows_token))
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

// Guards against a task that starts in two places: the command of the leader before may arrive after this heartbeat.
#[test]
fn an_earlier_leaders_task_is_gone_only_once_the_worker_drops_that_leaders_answers() {
    let inherited = recorded(Origin::EarlierLeader);
    let absent = |shows_token| reconcile_recorded(&inherited, None, &report(AT, shows_token));
    assert_eq!(absent(false), RecordedVerdict::Unconfirmed);
    assert_eq!(absent(true), RecordedVerdict::Gone);
}

#[test]
fn an_own_task_is_gone_only_by_a_report_after_its_order() {
    let absent = |at, position| {
        let mut task = recorded(ordered_at(at));
        task.was_reported = true;
        reconcile_recorded(&task, None, &report(position, true))
    };
    assert_eq!(absent(AT, BEFORE), RecordedVerdict::Unconfirmed);
    assert_eq!(absent(AT, AT), RecordedVerdict::Unconfirmed);
    assert_eq!(absent(BEFORE, AT), RecordedVerdict::Gone);
    assert_eq!(absent(AT, NEXT_SESSION), RecordedVerdict::Gone);
    let never_ordered = recorded(Origin::ThisLeader { ordered_at: None });
    assert_eq!(
        reconcile_recorded(&never_ordered, None, &report(AT, true)),
        RecordedVerdict::Unconfirmed
    );
}

#[test]
fn a_lost_order_goes_out_again_unless_nobody_wants_it_or_answers_do_not_arrive() {
    let task = recorded(ordered_at(BEFORE));
    let verdict =
        |task: RecordedTask, context: HeartbeatContext| reconcile_recorded(&task, None, &context);
    let context = report(AT, true);
    assert_eq!(verdict(task, context), RecordedVerdict::OrderLost);
    let stopping = RecordedTask {
        is_stopping: true,
        ..task
    };
    let unwanted = RecordedTask {
        is_wanted: false,
        ..task
    };
    let reported = RecordedTask {
        was_reported: true,
        ..task
    };
    for other in [stopping, unwanted, reported] {
        assert_eq!(verdict(other, context), RecordedVerdict::Gone);
    }
    let mute = HeartbeatContext {
        answers_arrive: false,
        ..context
    };
    assert_eq!(verdict(task, mute), RecordedVerdict::Gone);
}

#[test]
fn what_runs_without_a_record_is_taken_over_only_where_no_other_attempt_can_run() {
    let open = UnrecordedTask {
        job: JobState::Open,
        exists: true,
        is_finished: false,
        other_attempt: false,
        is_newer: false,
    };
    let cases = [
        (open, UnrecordedVerdict::Adopted),
        (
            UnrecordedTask {
                other_attempt: true,
                ..open
            },
            UnrecordedVerdict::OtherAttempt,
        ),
        // After a loss the higher of two attempts is the one that counts.
        (
            UnrecordedTask {
                other_attempt: true,
                is_newer: true,
                ..open
            },
            UnrecordedVerdict::Adopted,
        ),
        (
            UnrecordedTask {
                is_finished: true,
                ..open
            },
            UnrecordedVerdict::AlreadyFinished,
        ),
        (
            UnrecordedTask {
                job: JobState::Over,
                ..open
            },
            UnrecordedVerdict::JobOver,
        ),
        (
            UnrecordedTask {
                job: JobState::Unknown,
                ..open
            },
            UnrecordedVerdict::Unknown,
        ),
        (
            UnrecordedTask {
                exists: false,
                ..open
            },
            UnrecordedVerdict::Unknown,
        ),
    ];
    for (task, expected) in cases {
        let verdict = reconcile_unrecorded(&task, ReportedState::Active);
        assert_eq!(verdict, expected, "{task:?}");
        assert_eq!(verdict.is_stopped(), expected != UnrecordedVerdict::Adopted);
        let completed = reconcile_unrecorded(&task, ReportedState::Completed);
        let counts = expected == UnrecordedVerdict::Adopted;
        assert_eq!(completed == UnrecordedVerdict::FinishedUnwritten, counts);
        let ended = reconcile_unrecorded(&task, ReportedState::Ended);
        assert_eq!(ended, UnrecordedVerdict::Ended);
    }
}

#[test]
fn a_recovery_is_over_once_every_recorded_task_is_confirmed_and_says_so_once() {
    let recorded = [("j-1", 0), ("j-1", 1), ("j-2", 70_000), ("j-3", 0)];
    let mut progress = Progress::begin(recorded.into_iter(), 1_000);
    progress.resolve("j-1", 0, Resolution::Agreed);
    progress.resolve("j-1", 0, Resolution::Gone);
    progress.resolve("j-9", 0, Resolution::Agreed);
    progress.found(UnrecordedVerdict::Adopted);
    progress.found(UnrecordedVerdict::JobOver);
    progress.found(UnrecordedVerdict::Ended);
    assert_eq!(progress.unconfirmed(), 3);
    assert_eq!(progress.take_summary(2_000), None);
    progress.resolve("j-1", 1, Resolution::Gone);
    progress.resolve("j-2", 70_000, Resolution::MachineReturned);
    progress.resolve("j-3", 0, Resolution::Ended);
    let summary = progress.take_summary(5_000).expect("all are confirmed");
    assert_eq!((summary.recorded, summary.took), (4, 4_000));
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
    assert!(!progress.is_under_way());
}
