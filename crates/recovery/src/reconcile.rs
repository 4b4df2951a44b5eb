//! One task at a time: what a worker's heartbeat says of it, against what is recorded.

/// Where a heartbeat stands among the messages of its machine; the larger is the newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeartbeatPosition {
    /// The worker's agent epoch, which a lease that ran out ends.
    pub agent_epoch: u64,
    /// Rises with every message of a agent epoch.
    pub sequence: u64,
}

/// What a heartbeat proves beyond its list of tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatContext {
    /// Where it stands among its machine's messages.
    pub position: HeartbeatPosition,
    /// Whether its worker has seen this leader's token, so that it drops the answers of earlier leaders.
    pub shows_token: bool,
    /// Whether the worker seems to get this leader's answers.
    pub answers_arrive: bool,
}

/// Which leader a recorded placement is from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// An earlier one's: the command to start it may still be on its way.
    EarlierLeader,
    /// This one's; the heartbeat whose answer carried the command to start it, if one did.
    ThisLeader {
        /// That report's position.
        ordered_at: Option<HeartbeatPosition>,
    },
}

/// A task that is recorded on the machine which reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedTask {
    /// Which leader placed it.
    pub origin: Origin,
    /// Whether a heartbeat showed it there since this leader leads.
    pub was_reported: bool,
    /// Whether it is being stopped.
    pub is_stopping: bool,
    /// Whether its job still wants it.
    pub is_wanted: bool,
}

/// A task's state in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// On the machine, in whatever state before its end.
    Active,
    /// Ended with its work done.
    Completed,
    /// Ended otherwise: stopped, failed or refused.
    Ended,
}

/// What a heartbeat means for a task that is recorded on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordedVerdict {
    /// Both agree: it stays, and no command is sent.
    Agrees,
    /// It ended: the end is to be written, then the worker may forget it.
    Ended {
        /// Whether its work is done.
        completed: bool,
    },
    /// Not reported, and nothing proves that it can't still appear: it is neither given up nor offered again.
    Unconfirmed,
    /// The command to start it was lost: the same attempt may be ordered again.
    OrderLost,
    /// Proven to be off the machine: it may be offered again.
    Gone,
}

/// Compares a task that is recorded on the reporting machine with its state in the heartbeat, if it is in there.
pub fn reconcile_recorded(
    recorded: &RecordedTask,
    reported: Option<ReportedState>,
    report: &HeartbeatContext,
) -> RecordedVerdict {
    match reported {
        Some(ReportedState::Active) => return RecordedVerdict::Agrees,
        Some(ReportedState::Completed) => return RecordedVerdict::Ended { completed: true },
        Some(ReportedState::Ended) => return RecordedVerdict::Ended { completed: false },
        None => {}
    }
    // Absence proves that a task is off its machine only if no command to start it can still arrive: an earlier leader's
    // until the worker has seen this leader's token, this leader's until a heartbeat that is newer than the one whose answer
    // carried the command.
    let is_proven = match recorded.origin {
        Origin::EarlierLeader => report.shows_token,
        Origin::ThisLeader { ordered_at } => ordered_at.is_some_and(|at| report.position > at),
    };
    if !is_proven {
        return RecordedVerdict::Unconfirmed;
    }
    let never_arrived = recorded.origin != Origin::EarlierLeader && !recorded.was_reported;
    let still_wanted = recorded.is_wanted && !recorded.is_stopping;
    if never_arrived && still_wanted && report.answers_arrive {
        RecordedVerdict::OrderLost
    } else {
        RecordedVerdict::Gone
    }
}

/// How far a job is, for a task that a machine reports without a record of it there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// Nothing is known of it.
    Unknown,
    /// It wants its tasks run.
    Open,
    /// It is done, cancelled or being ended.
    Over,
}

/// A task that a machine reports though it is not recorded there with that attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnrecordedTask {
    /// Its job.
    pub job: JobState,
    /// Whether the job has a task of this number.
    pub exists: bool,
    /// Whether it is recorded as finished.
    pub is_finished: bool,
    /// Whether another attempt of it is recorded, here or elsewhere.
    pub other_attempt: bool,
    /// Whether records may lack what was placed last, and this attempt is higher than the recorded one. It was given out
    /// only on proof that the lower one was off its machine, so of the two it is the one that counts.
    pub is_newer: bool,
}

/// What a heartbeat means for a task that is not recorded on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnrecordedVerdict {
    /// It completed and that was never written: the finish counts, whichever attempt it was.
    FinishedUnwritten,
    /// It ended and nothing follows from that: the worker may forget it.
    Ended,
    /// It runs, its job wants it and no other attempt is recorded, or after a loss only a lower one: taken over, since that
    /// is what keeps it from being started twice, and loses no work.
    Adopted,
    /// Another attempt is recorded, which may run: this one is stopped.
    OtherAttempt,
    /// Its result is recorded already: stopped.
    AlreadyFinished,
    /// Its job has ended or cancelled: stopped.
    JobOver,
    /// Nothing is known of its job, or the job has no such task: stopped.
    Unknown,
}

impl UnrecordedVerdict {
    /// Whether the worker is told to stop it.
    pub fn is_stopped(self) -> bool {
        matches!(
            self,
            UnrecordedVerdict::OtherAttempt
                | UnrecordedVerdict::AlreadyFinished
                | UnrecordedVerdict::JobOver
                | UnrecordedVerdict::Unknown
        )
    }
}

/// Judges a task that a machine reports without a record of that attempt there.
pub fn reconcile_unrecorded(task: &UnrecordedTask, reported: ReportedState) -> UnrecordedVerdict {
    let is_open = task.job == JobState::Open && task.exists && !task.is_finished;
    let wanted = is_open && (!task.other_attempt || task.is_newer);
    match reported {
        ReportedState::Completed if wanted => UnrecordedVerdict::FinishedUnwritten,
        ReportedState::Completed | ReportedState::Ended => UnrecordedVerdict::Ended,
        ReportedState::Active if wanted => UnrecordedVerdict::Adopted,
        ReportedState::Active => why_stopped(task),
    }
}

/// Why a task that runs without being wanted there is stopped.
fn why_stopped(task: &UnrecordedTask) -> UnrecordedVerdict {
    match task.job {
        JobState::Unknown => UnrecordedVerdict::Unknown,
        JobState::Over => UnrecordedVerdict::JobOver,
        JobState::Open if !task.exists => UnrecordedVerdict::Unknown,
        JobState::Open if task.is_finished => UnrecordedVerdict::AlreadyFinished,
        JobState::Open => UnrecordedVerdict::OtherAttempt,
    }
}
