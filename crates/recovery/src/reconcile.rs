//! Reconciles the recorded state of a single task with the state in a worker's heartbeat.

/// The position of a heartbeat in the sequence of its machine's messages. A greater position is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeartbeatPosition {
    /// Agent epoch of the worker. A new one starts after the worker's lease expired.
    pub agent_epoch: u64,
    /// Sequence number, which increases with every message of an agent epoch.
    pub sequence: u64,
}

/// The properties of a heartbeat, other than its list of tasks, that reconciliation depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatContext {
    /// Position in the sequence of the machine's messages.
    pub position: HeartbeatPosition,
    /// Whether the worker has received this leader's fencing token, so that it rejects responses of earlier leaders.
    pub has_leader_token: bool,
    /// Whether the worker appears to receive this leader's responses.
    pub responses_arrive: bool,
}

/// The leader that made a recorded placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// An earlier leader. Its start command may still be in flight.
    EarlierLeader,
    /// The current leader.
    ThisLeader {
        /// Position of the heartbeat whose response carried the start command, or `None` if no response has carried it.
        command_sent_at: Option<HeartbeatPosition>,
    },
}

/// A task with a recorded placement on the machine that sent the heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedTask {
    /// Leader that placed the task.
    pub origin: Origin,
    /// Whether the machine has reported the task since this leader was elected.
    pub was_reported: bool,
    /// Whether the leader is stopping the task.
    pub is_stopping: bool,
    /// Whether the task should run, which is the case until its job is cancelled or ends.
    pub is_desired: bool,
}

/// The state of a task in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// The task is on the machine and has not ended.
    Active,
    /// The task ended with its work done.
    Completed,
    /// The task ended without its work being done: it was stopped, failed or was refused by the worker.
    Ended,
}

/// The result of reconciling a heartbeat with a task that has a recorded placement on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordedVerdict {
    /// Record and heartbeat agree. The placement is kept and no command is sent.
    Agrees,
    /// The task ended. Once the end is recorded, the worker may forget the task.
    Ended {
        /// Whether its work is done.
        completed: bool,
    },
    /// The task is not reported, but may still start on the machine. The placement is kept and the task is not placed
    /// again.
    Unconfirmed,
    /// The start command was lost. It may be sent again for the same attempt.
    CommandLost,
    /// The task is proven not to be on the machine. It may be placed again.
    Gone,
}

/// Reconciles a recorded placement with a heartbeat of its machine. `reported` is `None` if the heartbeat does not
/// contain the task.
pub fn reconcile_recorded(
    recorded: &RecordedTask,
    reported: Option<ReportedState>,
    heartbeat: &HeartbeatContext,
) -> RecordedVerdict {
    match reported {
        Some(ReportedState::Active) => return RecordedVerdict::Agrees,
        Some(ReportedState::Completed) => return RecordedVerdict::Ended { completed: true },
        Some(ReportedState::Ended) => return RecordedVerdict::Ended { completed: false },
        None => {}
    }
    // Absence from a heartbeat proves that a task is not on the machine only if no start command for it can still
    // arrive. A command of an earlier leader can arrive until the worker has received this leader's fencing token. A
    // command of this leader can arrive until a heartbeat that is newer than the one whose response carried the
    // command.
    let is_absence_proven = match recorded.origin {
        Origin::EarlierLeader => heartbeat.has_leader_token,
        Origin::ThisLeader { command_sent_at } => {
            command_sent_at.is_some_and(|at| heartbeat.position > at)
        }
    };
    if !is_absence_proven {
        return RecordedVerdict::Unconfirmed;
    }
    let was_never_reported = recorded.origin != Origin::EarlierLeader && !recorded.was_reported;
    let is_still_desired = recorded.is_desired && !recorded.is_stopping;
    if was_never_reported && is_still_desired && heartbeat.responses_arrive {
        RecordedVerdict::CommandLost
    } else {
        RecordedVerdict::Gone
    }
}

/// The state of the job of a task that a machine reports without a recorded placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// There is no record of the job.
    Unknown,
    /// The job's tasks should run.
    Active,
    /// The job is done, cancelled or being ended.
    Ended,
}

/// A task that a machine reports without a recorded placement of that attempt on the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnrecordedTask {
    /// State of the task's job.
    pub job: JobState,
    /// Whether the job has a task with this index.
    pub exists: bool,
    /// Whether the task is recorded as finished.
    pub is_finished: bool,
    /// Whether another attempt of the task has a recorded placement, on this or any other machine.
    pub other_attempt_recorded: bool,
    /// Whether the latest placements may be missing from the records after a loss of state, and this attempt is higher
    /// than the recorded one. The higher attempt was only placed after the lower one was proven not to be on its
    /// machine, so it takes precedence.
    pub supersedes_recorded: bool,
}

/// The result of reconciling a task that is reported without a recorded placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnrecordedVerdict {
    /// The task completed, which is not recorded yet. It is recorded as finished, regardless of the attempt.
    FinishedUnwritten,
    /// The task ended and no action follows. The worker may forget it.
    Ended,
    /// The task is active, its job should run it, and no other attempt is recorded or, after a loss of state, only a
    /// lower one. The running attempt is recorded as the task's placement, which prevents a second start and loses no
    /// work.
    Adopted,
    /// Another attempt is recorded and may be running. The reported attempt is stopped.
    OtherAttempt,
    /// The task is recorded as finished already. The reported attempt is stopped.
    AlreadyFinished,
    /// The job has ended or was cancelled. The task is stopped.
    JobEnded,
    /// The job is unknown or has no such task. The task is stopped.
    Unknown,
}

impl UnrecordedVerdict {
    /// Returns whether the worker has to stop the task.
    pub fn is_stopped(self) -> bool {
        matches!(
            self,
            UnrecordedVerdict::OtherAttempt
                | UnrecordedVerdict::AlreadyFinished
                | UnrecordedVerdict::JobEnded
                | UnrecordedVerdict::Unknown
        )
    }
}

/// Decides what happens to a task that a machine reports without a recorded placement of that attempt.
pub fn reconcile_unrecorded(task: &UnrecordedTask, reported: ReportedState) -> UnrecordedVerdict {
    let is_open = task.job == JobState::Active && task.exists && !task.is_finished;
    let should_run = is_open && (!task.other_attempt_recorded || task.supersedes_recorded);
    match reported {
        ReportedState::Completed if should_run => UnrecordedVerdict::FinishedUnwritten,
        ReportedState::Completed | ReportedState::Ended => UnrecordedVerdict::Ended,
        ReportedState::Active if should_run => UnrecordedVerdict::Adopted,
        ReportedState::Active => stop_verdict(task),
    }
}

/// Returns the verdict for an active task that should not run on the machine.
fn stop_verdict(task: &UnrecordedTask) -> UnrecordedVerdict {
    match task.job {
        JobState::Unknown => UnrecordedVerdict::Unknown,
        JobState::Ended => UnrecordedVerdict::JobEnded,
        JobState::Active if !task.exists => UnrecordedVerdict::Unknown,
        JobState::Active if task.is_finished => UnrecordedVerdict::AlreadyFinished,
        JobState::Active => UnrecordedVerdict::OtherAttempt,
    }
}
