//! What the scheduler wants logged: events with their fields, rendered in this one place.

use super::failure_detection::LossCause;
use super::messages::ExitCause;
use crate::fencing::FencingToken;
use crate::ids::{JobId, MachineId, TaskId};
use crate::units::Micros;
use ravenhead_recovery::Counts;
use std::fmt;

/// How much an event matters to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventLevel {
    /// For the engineer on call: machines, failures, recovery.
    Info,
    /// The course of single tasks.
    Debug,
}

/// Something that happened in the scheduler.
///
/// `Display` renders the line of the log, whose names and fields operators' filters know.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerEvent {
    /// A heartbeat came from a machine that this leader did not know.
    MachineUnexpected {
        /// The machine.
        machine: MachineId,
    },
    /// A machine came up, or was heard for the first time in this term.
    MachineReady {
        /// The machine.
        machine: MachineId,
        /// Its type.
        machine_type: String,
        /// Its zone.
        zone: String,
        /// Whether spot.
        spot: bool,
        /// Since it was provisioned, or first known of.
        after: Micros,
    },
    /// Machines failed and are terminated.
    MachinesLost {
        /// The machines.
        machines: Vec<MachineId>,
        /// Why.
        cause: LossCause,
        /// Their zone.
        zone: String,
        /// Whether they are spot machines.
        spot: bool,
        /// The longest time without contact to one of them.
        since_contact: Micros,
        /// Tasks that were placed on them.
        tasks: Vec<TaskId>,
    },
    /// A machine that did not hear of a cancellation in time is terminated with the task.
    MachineTerminating {
        /// The machine.
        machine: MachineId,
        /// The cancelled job.
        job: JobId,
    },
    /// A machine was empty for long enough and is terminated.
    MachineIdle {
        /// The machine.
        machine: MachineId,
        /// Its zone.
        zone: String,
    },
    /// A machine's tasks are moved elsewhere, so that it can be terminated.
    MachineConsolidating {
        /// The machine.
        machine: MachineId,
    },
    /// A machine failed tasks of several jobs and takes no more.
    MachineQuarantined {
        /// The machine.
        machine: MachineId,
    },
    /// What a machine failed was a job's fault.
    MachineQuarantineLifted {
        /// The machine.
        machine: MachineId,
    },
    /// The cloud will preempt a spot machine.
    PreemptionNotice {
        /// The machine.
        machine: MachineId,
    },
    /// Several of a zone's new machines are late.
    ProvisioningSlow {
        /// The zone.
        zone: String,
        /// New machines that are late or were lately.
        late: u64,
        /// New machines that lately came up in time.
        on_time: u64,
    },
    /// A zone's new machines come up in time again.
    ProvisioningNormal {
        /// The zone.
        zone: String,
        /// New machines that are late or were lately.
        late: u64,
        /// New machines that lately came up in time.
        on_time: u64,
    },
    /// A job failed on several machines and is retried with growing pauses.
    JobCrashLooping {
        /// The job.
        job: JobId,
        /// Until it is tried again.
        pause: Micros,
    },
    /// A task is stopped for a job of higher priority.
    TaskPreempted {
        /// The task.
        task: TaskId,
        /// The machine.
        machine: MachineId,
        /// The job that gets its resources.
        preempting_job: JobId,
    },
    /// A worker refused to start a task.
    TaskStartRefused {
        /// The task.
        task: TaskId,
        /// The machine.
        machine: MachineId,
        /// Why, if the worker said so.
        cause: Option<ExitCause>,
    },
    /// A task that no record shows was found running and is kept.
    TaskAdopted {
        /// The task.
        task: TaskId,
        /// The machine.
        machine: MachineId,
    },
    /// A heartbeat reports a task whose id is none.
    InvalidTask {
        /// The machine.
        machine: MachineId,
        /// The id as reported.
        task: String,
    },
    /// A new leader begins to confirm the placements that it found recorded.
    RecoveryStarted {
        /// The leader's fencing token.
        token: FencingToken,
        /// Placements found recorded.
        recorded: u64,
    },
    /// So many of them are not confirmed yet.
    RecoveryProgress {
        /// The leader's fencing token.
        token: FencingToken,
        /// Placements not confirmed yet.
        unconfirmed: u64,
        /// What was found so far.
        counts: Counts,
    },
    /// All of them are confirmed or known to be gone.
    RecoveryCompleted {
        /// The leader's fencing token.
        token: FencingToken,
        /// Placements found recorded.
        recorded: u64,
        /// Time taken.
        after: Micros,
        /// What was found.
        counts: Counts,
    },
    /// After a loss of stored state: machines are still waited for.
    RebuildWaiting {
        /// The leader's fencing token.
        token: FencingToken,
        /// Whether a machine list is recent enough to have every machine.
        listed: bool,
        /// Machines that did not report yet.
        unreported: usize,
    },
    /// After a loss of stored state: every machine has reported.
    RebuildConfirmed {
        /// The leader's fencing token.
        token: FencingToken,
        /// How many machines there are.
        machines: usize,
        /// Time taken.
        after: Micros,
    },
    /// A heartbeat shows no effect of the answers before it.
    HeartbeatUnacknowledged {
        /// The machine.
        machine: MachineId,
        /// Heartbeats in a row.
        count: u32,
    },
    /// Too many offers for one cycle: each job is offered to a sample of machines.
    OffersSampled {
        /// Jobs to be offered.
        jobs: usize,
        /// Machines that could be asked.
        machines: usize,
        /// Machines asked for each.
        sample: usize,
    },
    /// A machine took a task.
    TaskPlaced {
        /// The task.
        task: TaskId,
        /// The machine.
        machine: MachineId,
        /// Its attempt.
        attempt: u64,
    },
    /// A task was first reported running.
    TaskRunning {
        /// The task.
        task: TaskId,
        /// The machine.
        machine: MachineId,
    },
    /// A task completed.
    TaskFinished {
        /// The task.
        task: TaskId,
        /// The machine.
        machine: MachineId,
    },
    /// A task ended without completing.
    TaskExited {
        /// The task.
        task: TaskId,
        /// The machine.
        machine: MachineId,
        /// Why, if the worker said so.
        cause: Option<ExitCause>,
    },
    /// A task is stopped, to start again on a machine that has free resources.
    TaskMoving {
        /// The task.
        task: TaskId,
        /// The machine that it leaves.
        from: MachineId,
    },
}

impl SchedulerEvent {
    /// The level at which it is logged.
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
    /// One flat and exhaustive table, so that an event's name can be searched for and none is rendered empty.
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

/// Values with commas between them.
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
