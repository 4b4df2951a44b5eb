//! Reconciliation of placements with heartbeats. For each task, a heartbeat leads to a verdict and the verdict to an
//! action.

use super::Scheduler;
use super::events::SchedulerEvent;
use super::job::Placement;
use super::messages::{ExitCause, Heartbeat, TaskState, TaskStatus, TaskStatusIndex};
use super::records::CHUNK_SIZE;
use crate::ids::{MachineId, TaskId};
use crate::units::Micros;
use ravenhead_recovery::{
    HeartbeatContext, JobState, RecordedVerdict, ReportedState, Resolution, UnrecordedTask,
    UnrecordedVerdict, reconcile_recorded, reconcile_unrecorded,
};
use std::collections::{BTreeMap, BTreeSet};

/// Delay before a job is offered again after a worker rejected a start.
const START_REFUSED_BACKOFF: Micros = Micros::secs(1);

impl Scheduler {
    /// Compares the placements on a machine with its heartbeat. Returns whether anything must be written or offered.
    pub(super) fn reconcile_placements(
        &mut self,
        heartbeat: &Heartbeat,
        index: &TaskStatusIndex<'_>,
        now: Micros,
    ) -> bool {
        let Some(m) = self.machines.get(&heartbeat.machine) else {
            return false;
        };
        let reserved: Vec<TaskId> = m.reserved.keys().cloned().collect();
        let context = HeartbeatContext {
            position: heartbeat.position(),
            has_leader_token: heartbeat.token == self.token,
            responses_arrive: !m.is_inbound_suspect(),
        };
        self.count_steps(reserved.len() + heartbeat.tasks.len());
        let mut changed = false;
        for task in reserved {
            let Some(p) = self.placement(&task) else {
                continue;
            };
            let reported = index.get(&task, p.attempt);
            changed |= self.reconcile_placement(&task, reported, &context, &heartbeat.machine, now);
        }
        changed
    }

    /// Compares one placement with the state that its machine reports. Returns whether anything must be written or
    /// offered.
    fn reconcile_placement(
        &mut self,
        task: &TaskId,
        reported: Option<&TaskStatus>,
        context: &HeartbeatContext,
        machine: &MachineId,
        now: Micros,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let is_desired = !job.ending;
        let Some(p) = job.placement_mut(task.index) else {
            return false;
        };
        let recorded = p.as_recorded(is_desired);
        let verdict =
            reconcile_recorded(&recorded, reported.map(TaskStatus::reported_state), context);
        if let Some(t) = reported {
            p.reported_state = Some(t.state);
            if context.has_leader_token {
                // The worker has seen this leader's token, so it accepts no later command of an earlier leader.
                p.inherited = false;
                p.sent = Some(context.position);
            }
        }
        if let Some(resolution) = resolution(verdict) {
            self.confirm(task, resolution);
        }
        match verdict {
            RecordedVerdict::Agrees => {
                if reported.is_some_and(|t| t.state == TaskState::Running) {
                    self.record_running(task, machine, now);
                }
                false
            }
            RecordedVerdict::Ended { .. } => {
                self.task_exited(task, machine, reported.and_then(|t| t.cause), now);
                true
            }
            RecordedVerdict::Unconfirmed => false,
            RecordedVerdict::CommandLost => {
                if let Some(p) = self.placement_mut(task) {
                    p.sent = None;
                }
                false
            }
            RecordedVerdict::Gone => {
                self.release(&task.job, task.index);
                self.requeue(&task.job, now);
                true
            }
        }
    }

    fn placement(&self, task: &TaskId) -> Option<&Placement> {
        self.jobs.get(&task.job)?.placement(task.index)
    }

    fn placement_mut(&mut self, task: &TaskId) -> Option<&mut Placement> {
        self.jobs.get_mut(&task.job)?.placement_mut(task.index)
    }

    /// Records that a placed task is running. Only the first such report has an effect.
    fn record_running(&mut self, task: &TaskId, machine: &MachineId, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(p) = job.placement_mut(task.index) else {
            return;
        };
        if p.running_since.is_some() {
            return;
        }
        p.running_since = Some(now);
        self.unwritten_images.insert(machine.clone());
        self.events.push(SchedulerEvent::TaskRunning {
            task: task.clone(),
            machine: machine.clone(),
        });
        self.record_image(machine, &spec);
    }

    /// Handles the exit of a placed task.
    fn task_exited(
        &mut self,
        task: &TaskId,
        machine: &MachineId,
        cause: Option<ExitCause>,
        now: Micros,
    ) {
        if cause == Some(ExitCause::Done) {
            self.finish(&task.job, task.index);
            self.events.push(SchedulerEvent::TaskFinished {
                task: task.clone(),
                machine: machine.clone(),
            });
            if let Some(m) = self.machines.get_mut(machine) {
                m.failed_jobs.clear();
            }
            self.on_task_success(&task.job);
            return;
        }
        self.events.push(SchedulerEvent::TaskExited {
            task: task.clone(),
            machine: machine.clone(),
            cause,
        });
        self.release(&task.job, task.index);
        self.requeue(&task.job, now);
        match cause {
            Some(ExitCause::Error) => self.on_task_failure(task, machine, now),
            Some(ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown) => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.next_offer_at = now + START_REFUSED_BACKOFF;
                }
                self.events.push(SchedulerEvent::TaskStartRefused {
                    task: task.clone(),
                    machine: machine.clone(),
                    cause,
                });
            }
            _ => {}
        }
    }

    /// Reconciles reported tasks that are not placed on the machine with that attempt: stale attempts, unknown tasks,
    /// and tasks that ended earlier. Returns whether anything must be written or offered.
    pub(super) fn reconcile_unplaced(&mut self, heartbeat: &Heartbeat, now: Micros) -> bool {
        let mut completed = Vec::new();
        let mut ended = BTreeSet::new();
        let mut unexpected = BTreeMap::new();
        let mut changed = false;
        for t in &heartbeat.tasks {
            let Some(task) = TaskId::parse(&t.task) else {
                self.events.push(SchedulerEvent::InvalidTask {
                    machine: heartbeat.machine.clone(),
                    task: t.task.clone(),
                });
                continue;
            };
            let placed = self.placement(&task);
            if placed.is_some_and(|p| p.machine == heartbeat.machine && p.attempt == t.attempt) {
                continue;
            }
            self.raise_last_attempt(&task, t.attempt);
            let unrecorded = self.as_unrecorded(&task, t.attempt);
            let verdict = reconcile_unrecorded(&unrecorded, t.reported_state());
            self.count_unrecorded(verdict);
            match verdict {
                UnrecordedVerdict::FinishedUnwritten => {
                    self.finish(&task.job, task.index);
                    changed = true;
                    completed.push((task, t.attempt));
                }
                UnrecordedVerdict::Ended if t.reported_state() == ReportedState::Completed => {
                    completed.push((task, t.attempt));
                }
                UnrecordedVerdict::Ended => {
                    ended.insert((task, t.attempt));
                }
                UnrecordedVerdict::Adopted => {
                    // Any placement recorded for the task has a lower attempt, which had left its machine before this
                    // attempt was assigned.
                    self.release(&task.job, task.index);
                    self.adopt(&task, heartbeat, t, now);
                    changed = true;
                }
                UnrecordedVerdict::OtherAttempt
                | UnrecordedVerdict::AlreadyFinished
                | UnrecordedVerdict::JobEnded
                | UnrecordedVerdict::Unknown => {
                    let need = self.jobs.get(&task.job).map(|j| j.spec.need());
                    unexpected.insert((task, t.attempt), need);
                }
            }
        }
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else {
            return changed;
        };
        for resources in m.unexpected_tasks.values() {
            m.used -= *resources;
        }
        // The resources of an unknown task are unknown, so the machine counts as full until the task is gone.
        let total = m.total;
        m.unexpected_tasks = unexpected
            .into_iter()
            .map(|(task, need)| (task, need.unwrap_or(total)))
            .collect();
        for resources in m.unexpected_tasks.values() {
            m.used += *resources;
        }
        let reported = heartbeat.tasks.iter();
        let reported = reported.filter_map(|t| Some((TaskId::parse(&t.task)?, t.attempt)));
        let has_leader_token = heartbeat.token == self.token;
        m.exited
            .update(reported, completed, ended, has_leader_token);
        changed
    }

    /// Returns what is recorded of a task that a machine reports without a placement of that attempt there.
    fn as_unrecorded(&self, task: &TaskId, attempt: u64) -> UnrecordedTask {
        let job = self.jobs.get(&task.job);
        let recorded = self.placement(task);
        UnrecordedTask {
            job: match job {
                None => JobState::Unknown,
                Some(job) if job.ending => JobState::Ended,
                Some(_) => JobState::Active,
            },
            exists: job.is_some_and(|j| task.index < j.spec.tasks),
            is_finished: job.is_some_and(|j| j.is_finished(task.index)),
            other_attempt_recorded: recorded.is_some(),
            supersedes_recorded: self.is_rebuilding()
                && recorded.is_some_and(|p| p.attempt < attempt),
        }
    }

    /// Records a reported task as placed on the machine that reports it.
    fn adopt(&mut self, task: &TaskId, heartbeat: &Heartbeat, t: &TaskStatus, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let chunk = job.chunks.entry(task.index / CHUNK_SIZE).or_default();
        chunk.last_attempt = chunk.last_attempt.max(t.attempt);
        chunk.live.insert(
            (task.index % CHUNK_SIZE) as u8,
            Placement {
                machine: heartbeat.machine.clone(),
                attempt: t.attempt,
                committed: false,
                inherited: heartbeat.token != self.token,
                sent: Some(heartbeat.position()),
                reported_state: Some(t.state),
                running_since: None,
                stopping: None,
            },
        );
        self.mark_dirty(&task.job, task.index / CHUNK_SIZE);
        self.reserve_on_machine(&task.job, task.index, &heartbeat.machine, now);
        self.events.push(SchedulerEvent::TaskAdopted {
            task: task.clone(),
            machine: heartbeat.machine.clone(),
        });
    }
}

/// Returns how a verdict resolves a recorded placement, or `None` if it stays unconfirmed.
fn resolution(verdict: RecordedVerdict) -> Option<Resolution> {
    match verdict {
        RecordedVerdict::Agrees => Some(Resolution::Agreed),
        RecordedVerdict::Ended { .. } => Some(Resolution::Ended),
        RecordedVerdict::Gone => Some(Resolution::Gone),
        RecordedVerdict::Unconfirmed | RecordedVerdict::CommandLost => None,
    }
}
