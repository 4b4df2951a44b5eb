//! Log events of the scheduler and their rendering as log lines.

use super::failure_detection::LossCause;
use super::messages::ExitCause;
use crate::fencing::FencingToken;
use crate::ids::{JobId, MachineId, TaskId};
use crate::units::Micros;
use ravenhead_recovery::Counts;
use std::fmt;

/// Log level of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventLevel {
    /// Events that operators act on: machines, failures, recovery.
    Info,
    /// Events of single tasks.
    Debug,
}

/// An event to be logged by the leader.
///
/// `Display` renders the log line. Operators' filters match its event names and fields.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerEvent {
    /// A heartbeat came from a machine unknown to this leader.
    MachineUnexpected {
        /// Machine that sent the heartbeat.
        machine: MachineId,
    },
    /// A new machine is ready, or a machine's first heartbeat in this term came.
    MachineReady {
        /// Machine that is ready.
        machine: MachineId,
        /// Type of the machine.
        machine_type: String,
        /// Zone of the machine.
        zone: String,
        /// Whether it is a spot machine.
        spot: bool,
        /// Time since it was provisioned, or since this leader first knew of it.
        after: Micros,
    },
    /// Machines failed and are terminated.
    MachinesLost {
        /// Machines that are terminated.
        machines: Vec<MachineId>,
        /// Reason for which they count as failed.
        cause: LossCause,
        /// Zone of the machines.
        zone: String,
        /// Whether they are spot machines.
        spot: bool,
        /// Longest time since the last contact among the machines.
        since_contact: Micros,
        /// Tasks that were placed on them.
        tasks: Vec<TaskId>,
    },
    /// A machine did not acknowledge a cancellation in time and is terminated to end the task.
    MachineTerminating {
        /// Machine that is terminated.
        machine: MachineId,
        /// Cancelled job whose task is still on the machine.
        job: JobId,
    },
    /// A machine was idle for its idle timeout and is terminated.
    MachineIdle {
        /// Machine that is terminated.
        machine: MachineId,
        /// Zone of the machine.
        zone: String,
    },
    /// The tasks of a machine are moved to others, so that it can be terminated.
    MachineConsolidating {
        /// Machine that is emptied.
        machine: MachineId,
    },
    /// A machine failed tasks of several jobs and gets no more tasks.
    MachineQuarantined {
        /// Machine that is quarantined.
        machine: MachineId,
    },
    /// A machine's quarantine ended, as the failures were attributed to a job.
    MachineQuarantineLifted {
        /// Machine whose quarantine ended.
        machine: MachineId,
    },
    /// The cloud announced the preemption of a spot machine.
    PreemptionNotice {
        /// Machine that will be preempted.
        machine: MachineId,
    },
    /// Several new machines of a zone exceed the expected provisioning time.
    ProvisioningSlow {
        /// Zone of the machines.
        zone: String,
        /// Number of new machines that are late or were late recently.
        late: u64,
        /// Number of new machines that recently came up in time.
        on_time: u64,
    },
    /// New machines of a zone come up in time again.
    ProvisioningNormal {
        /// Zone of the machines.
        zone: String,
        /// Number of new machines that are late or were late recently.
        late: u64,
        /// Number of new machines that recently came up in time.
        on_time: u64,
    },
    /// A job failed on several machines and is retried with increasing backoff.
    JobCrashLooping {
        /// Job that fails.
        job: JobId,
        /// Time until its next retry.
        pause: Micros,
    },
    /// A task is stopped for a job of higher priority, or for a job within its team's guarantee.
    TaskPreempted {
        /// Task that is stopped.
        task: TaskId,
        /// Machine that the task is on.
        machine: MachineId,
        /// Job that gets the resources of the task.
        preempting_job: JobId,
    },
    /// A worker rejected the start of a task.
    TaskStartRefused {
        /// Task that was not started.
        task: TaskId,
        /// Machine of the worker.
        machine: MachineId,
        /// Reason given by the worker, if any.
        cause: Option<ExitCause>,
    },
    /// A task without a recorded placement was found running and is kept.
    TaskAdopted {
        /// Task that is kept.
        task: TaskId,
        /// Machine that the task is on.
        machine: MachineId,
    },
    /// A heartbeat contains a malformed task id.
    InvalidTask {
        /// Machine that sent the heartbeat.
        machine: MachineId,
        /// The task id as reported.
        task: String,
    },
    /// A new leader starts to confirm the recorded placements.
    RecoveryStarted {
        /// Fencing token of the leader.
        token: FencingToken,
        /// Number of recorded placements.
        recorded: u64,
    },
    /// Some recorded placements are still unconfirmed.
    RecoveryProgress {
        /// Fencing token of the leader.
        token: FencingToken,
        /// Number of unconfirmed placements.
        unconfirmed: u64,
        /// Number of placements and reported tasks so far, by how they were resolved.
        counts: Counts,
    },
    /// All recorded placements are confirmed or known to be gone.
    RecoveryCompleted {
        /// Fencing token of the leader.
        token: FencingToken,
        /// Number of recorded placements.
        recorded: u64,
        /// Duration of the recovery.
        after: Micros,
        /// Number of placements and reported tasks, by how they were resolved.
        counts: Counts,
    },
    /// After a loss of stored state, some machines have not reported yet.
    RebuildWaiting {
        /// Fencing token of the leader.
        token: FencingToken,
        /// Whether a machine list has been read that is recent enough to include every machine.
        listed: bool,
        /// Number of machines that have not reported yet.
        unreported: usize,
    },
    /// After a loss of stored state, every machine has reported.
    RebuildConfirmed {
        /// Fencing token of the leader.
        token: FencingToken,
        /// Number of machines.
        machines: usize,
        /// Duration of the rebuild.
        after: Micros,
    },
    /// A batch has changes of a job that has not ended, though a change of a job that has ended still waits: a bug.
    EndedJobDeferred {
        /// Job that has ended.
        job: JobId,
    },
    /// A heartbeat shows no effect of the responses to earlier ones.
    HeartbeatUnacknowledged {
        /// Machine that sent the heartbeat.
        machine: MachineId,
        /// Number of consecutive heartbeats without an effect.
        count: u32,
    },
    /// A scheduling cycle has too many possible offers, so each job is offered only to a sample of the machines.
    OffersSampled {
        /// Number of jobs to be offered.
        jobs: usize,
        /// Number of machines that could get offers.
        machines: usize,
        /// Number of machines that each job is offered to.
        sample: usize,
    },
    /// A machine accepted a task.
    TaskPlaced {
        /// Task that was placed.
        task: TaskId,
        /// Machine that it was placed on.
        machine: MachineId,
        /// Attempt number.
        attempt: u64,
    },
    /// A task was first reported running.
    TaskRunning {
        /// Task that is running.
        task: TaskId,
        /// Machine that it runs on.
        machine: MachineId,
    },
    /// A task completed.
    TaskFinished {
        /// Task that completed.
        task: TaskId,
        /// Machine that it ran on.
        machine: MachineId,
    },
    /// A task ended without completing.
    TaskExited {
        /// Task that ended.
        task: TaskId,
        /// Machine that it was on.
        machine: MachineId,
        /// Reason given by the worker, if any.
        cause: Option<ExitCause>,
    },
    /// A task is stopped to be restarted on another machine with free resources.
    TaskMoving {
        /// Task that is moved.
        task: TaskId,
        /// Machine that the task leaves.
        from: MachineId,
    },
}

impl SchedulerEvent {
    /// Returns the level at which the event is logged.
    pub fn level(&self) -> EventLevel {
        use SchedulerEvent as E;
        match self {
            E::HeartbeatUnacknowledged { .. }
            | E::OffersSampled { .. }
            | E::TaskPlaced { .. }
            | E::TaskRunning { .. }
            | E::TaskFinished { .. }
            | E::TaskExited { .. }
            | E::TaskMoving { .. } => EventLevel::Debug,
            _ => EventLevel::Info,
        }
    }
}

impl fmt::Display for SchedulerEvent {
    /// Renders the log line, in a single exhaustive match so that event names can be searched for and no event is left
    /// without a line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        use SchedulerEvent as E;
        match self {
            E::MachineUnexpected { machine } => {
                write!(f, "event=machine_unexpected machine={machine}")
            }
            E::MachineReady {
                machine,
                machine_type,
                zone,
                spot,
                after,
            } => write!(
                f,
                "event=machine_ready machine={machine} machine_type={machine_type} zone={zone} spot={spot} after={after}"
            ),
            E::MachinesLost {
                machines,
                cause,
                zone,
                spot,
                since_contact,
                tasks,
            } => write!(
                f,
                "event=machine_lost machine={} count={} why={cause} zone={zone} spot={spot} quiet={since_contact} tasks=[{}]",
                Joined(machines),
                machines.len(),
                Joined(tasks)
            ),
            E::MachineTerminating { machine, job } => write!(
                f,
                "event=machine_terminating machine={machine} why=cancelled_task_left job={job}"
            ),
            E::EndedJobDeferred { job } => write!(f, "event=ended_job_deferred job={job}"),
            E::MachineIdle { machine, zone } => {
                write!(f, "event=machine_idle machine={machine} zone={zone}")
            }
            E::MachineConsolidating { machine } => {
                write!(f, "event=machine_consolidating machine={machine}")
            }
            E::MachineQuarantined { machine } => {
                write!(f, "event=machine_quarantined machine={machine}")
            }
            E::MachineQuarantineLifted { machine } => {
                write!(f, "event=machine_quarantine_lifted machine={machine}")
            }
            E::PreemptionNotice { machine } => {
                write!(f, "event=preemption_notice machine={machine}")
            }
            E::ProvisioningSlow {
                zone,
                late,
                on_time,
            } => write!(
                f,
                "event=provisioning_slow zone={zone} late={late} on_time={on_time}"
            ),
            E::ProvisioningNormal {
                zone,
                late,
                on_time,
            } => write!(
                f,
                "event=provisioning_normal zone={zone} late={late} on_time={on_time}"
            ),
            E::JobCrashLooping { job, pause } => {
                write!(f, "event=job_crash_looping job={job} pause={pause}")
            }
            E::TaskPreempted {
                task,
                machine,
                preempting_job,
            } => write!(
                f,
                "event=task_preempted task={task} machine={machine} by={preempting_job}"
            ),
            E::TaskStartRefused {
                task,
                machine,
                cause,
            } => write!(
                f,
                "event=task_start_refused task={task} machine={machine} cause={cause:?}"
            ),
            E::TaskAdopted { task, machine } => {
                write!(f, "event=task_adopted task={task} machine={machine}")
            }
            E::InvalidTask { machine, task } => {
                write!(f, "event=invalid_task machine={machine} task={task:?}")
            }
            E::RecoveryStarted { token, recorded } => write!(
                f,
                "event=recovery_started token={token} recorded={recorded}"
            ),
            E::RecoveryProgress {
                token,
                unconfirmed,
                counts,
            } => write!(
                f,
                "event=recovery_progress token={token} unconfirmed={unconfirmed} {}",
                CountsDisplay(counts)
            ),
            E::RecoveryCompleted {
                token,
                recorded,
                after,
                counts,
            } => write!(
                f,
                "event=recovery_completed token={token} recorded={recorded} after={after} {}",
                CountsDisplay(counts)
            ),
            E::RebuildWaiting {
                token,
                listed,
                unreported,
            } => write!(
                f,
                "event=rebuild_waiting token={token} listed={listed} unheard={unreported}"
            ),
            E::RebuildConfirmed {
                token,
                machines,
                after,
            } => write!(
                f,
                "event=rebuild_confirmed token={token} machines={machines} after={after}"
            ),
            E::HeartbeatUnacknowledged { machine, count } => write!(
                f,
                "event=heartbeat_unacknowledged machine={machine} count={count}"
            ),
            E::OffersSampled {
                jobs,
                machines,
                sample,
            } => write!(
                f,
                "event=offers_sampled jobs={jobs} machines={machines} sample={sample}"
            ),
            E::TaskPlaced {
                task,
                machine,
                attempt,
            } => write!(
                f,
                "event=task_placed task={task} machine={machine} attempt={attempt}"
            ),
            E::TaskRunning { task, machine } => {
                write!(f, "event=task_running task={task} machine={machine}")
            }
            E::TaskFinished { task, machine } => {
                write!(f, "event=task_finished task={task} machine={machine}")
            }
            E::TaskExited {
                task,
                machine,
                cause,
            } => write!(
                f,
                "event=task_exited task={task} machine={machine} cause={cause:?}"
            ),
            E::TaskMoving { task, from } => write!(f, "event=task_moving task={task} from={from}"),
        }
    }
}

/// Displays values separated by commas.
struct Joined<'a, T>(&'a [T]);

impl<T: fmt::Display> fmt::Display for Joined<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, value) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str(",")?;
            }
            value.fmt(f)?;
        }
        Ok(())
    }
}

struct CountsDisplay<'a>(&'a Counts);

impl fmt::Display for CountsDisplay<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.0;
        write!(
            f,
            "agreed={} ended={} gone={} machine_returned={} adopted={} finished_unwritten={} stopped={}",
            counts.agreed,
            counts.ended,
            counts.gone,
            counts.machine_returned,
            counts.adopted,
            counts.finished_unwritten,
            counts.stopped
        )
    }
}

#[cfg(test)]
mod tests;
