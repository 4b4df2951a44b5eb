//! Reconciliation of placements with heartbeats, task by task: what each proves, and what follows from it.

use super::Scheduler;
use super::events::SchedulerEvent;
use super::job::Placement;
use super::messages::{ExitCause, Heartbeat, TaskState, TaskStatus, TaskStatusIndex};
use super::records::CHUNK_SIZE;
use crate::ids::{MachineId, TaskId};
use crate::units::Micros;
use ravenhead_recovery::{
    HeartbeatContext, JobState, RecordedVerdict, Resolution, UnrecordedTask, UnrecordedVerdict,
    reconcile_recorded, reconcile_unrecorded,
};
use std::collections::BTreeMap;

/// Pause after a worker refused a start.
const REFUSED_BACKOFF: Micros = Micros::secs(1);

impl Scheduler {
    /// Compares the placements on the machine with what it reports.
    pub(super) fn reconcile_placements(
        &mut self,
        r: &Heartbeat,
        index: &TaskStatusIndex<'_>,
        now: Micros,
    ) -> bool {
        let Some(m) = self.machines.get(&r.machine) else {
            return false;
        };
        let reserved: Vec<TaskId> = m.reserved.keys().cloned().collect();
        let context = HeartbeatContext {
            position: r.position(),
            has_leader_token: r.token == self.token,
            responses_arrive: !m.is_suspect(),
        };
        self.count_steps(reserved.len() + r.tasks.len());
        let mut changed = false;
        for task in reserved {
            let Some(p) = self.placement(&task) else {
                continue;
            };
            let found = index.get(&task, p.attempt);
            changed |= self.reconcile_placement(&task, found, &context, &r.machine, now);
        }
        changed
    }

    /// Compares one placement with what its machine reports of it; whether something follows.
    fn reconcile_placement(
        &mut self,
        task: &TaskId,
        found: Option<&TaskStatus>,
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
        let verdict = reconcile_recorded(&recorded, found.map(TaskStatus::outcome), context);
        if let Some(t) = found {
            p.reported_state = Some(t.state);
            if context.has_leader_token {
                // The worker has seen this leader's token, so no command of an earlier leader can follow.
                p.inherited = false;
                p.sent = Some(context.position);
            }
        }
        if let Some(how) = resolution(verdict) {
            self.confirm(task, how);
        }
        match verdict {
            RecordedVerdict::Agrees => {
                if found.is_some_and(|t| t.state == TaskState::Running) {
                    self.record_running(task, machine, now);
                }
                false
            }
            RecordedVerdict::Ended { .. } => {
                self.task_exited(task, machine, found.and_then(|t| t.cause), now);
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

    /// A placed task is reported as running, perhaps for the first time.
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

    /// A placed task ended.
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
            Some(ExitCause::Error) => self.task_failed(task, machine, now),
            Some(ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown) => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.next_try = now + REFUSED_BACKOFF;
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

    /// Reconciles what is reported but not placed: stale attempts, unknown tasks, tasks that ended before.
    pub(super) fn reconcile_unplaced(&mut self, r: &Heartbeat, now: Micros) -> bool {
        let mut exited = Vec::new();
        let mut extra = BTreeMap::new();
        let mut changed = false;
        for t in &r.tasks {
            let Some(task) = TaskId::parse(&t.task) else {
                self.events.push(SchedulerEvent::InvalidTask {
                    machine: r.machine.clone(),
                    task: t.task.clone(),
                });
                continue;
            };
            let placed = self.placement(&task);
            if placed.is_some_and(|p| p.machine == r.machine && p.attempt == t.attempt) {
                continue;
            }
            self.raise_last_attempt(&task, t.attempt);
            let unrecorded = self.as_unrecorded(&task, t.attempt);
            let verdict = reconcile_unrecorded(&unrecorded, t.outcome());
            self.count_unrecorded(verdict);
            match verdict {
                UnrecordedVerdict::FinishedUnwritten => {
                    self.finish(&task.job, task.index);
                    changed = true;
                    exited.push((task, t.attempt));
                }
                UnrecordedVerdict::Ended => exited.push((task, t.attempt)),
                UnrecordedVerdict::Adopted => {
                    // Only a lower attempt can be recorded, which was off its machine before this one was given out.
                    self.release(&task.job, task.index);
                    self.adopt(&task, r, t, now);
                    changed = true;
                }
                UnrecordedVerdict::OtherAttempt
                | UnrecordedVerdict::AlreadyFinished
                | UnrecordedVerdict::JobEnded
                | UnrecordedVerdict::Unknown => {
                    let need = self.jobs.get(&task.job).map(|j| j.spec.need());
                    extra.insert((task, t.attempt), need);
                }
            }
        }
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return changed;
        };
        for room in m.unexpected_tasks.values() {
            m.used -= *room;
        }
        // The resources of an unknown task are unknown as well: the machine counts as full until it is gone.
        let total = m.total;
        m.unexpected_tasks = extra
            .into_iter()
            .map(|(task, need)| (task, need.unwrap_or(total)))
            .collect();
        for room in m.unexpected_tasks.values() {
            m.used += *room;
        }
        m.exited = exited;
        changed
    }

    /// What is recorded of a task that a machine reports without a placement of that attempt there.
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

    fn adopt(&mut self, task: &TaskId, r: &Heartbeat, t: &TaskStatus, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let chunk = job.chunks.entry(task.index / CHUNK_SIZE).or_default();
        chunk.last_attempt = chunk.last_attempt.max(t.attempt);
        chunk.live.insert(
            (task.index % CHUNK_SIZE) as u8,
            Placement {
                machine: r.machine.clone(),
                attempt: t.attempt,
                committed: false,
                inherited: r.token != self.token,
                sent: Some(r.position()),
                reported_state: Some(t.state),
                running_since: None,
                stopping: None,
            },
        );
        self.mark_dirty(&task.job, task.index / CHUNK_SIZE);
        self.reserve_on_machine(&task.job, task.index, &r.machine, now);
        self.events.push(SchedulerEvent::TaskAdopted {
            task: task.clone(),
            machine: r.machine.clone(),
        });
    }
}

/// How a verdict confirms a recorded task, if it does.
fn resolution(verdict: RecordedVerdict) -> Option<Resolution> {
    match verdict {
        RecordedVerdict::Agrees => Some(Resolution::Agreed),
        RecordedVerdict::Ended { .. } => Some(Resolution::Ended),
        RecordedVerdict::Gone => Some(Resolution::Gone),
        RecordedVerdict::Unconfirmed | RecordedVerdict::CommandLost => None,
    }
}
