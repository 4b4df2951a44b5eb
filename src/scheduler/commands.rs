//! The commands that go into the answer to a heartbeat.

use super::Scheduler;
use super::ids::{MachineId, TaskId};
use super::job::StopReason;
use super::machine::ExpectedEffect;
use super::messages::{AgentCommand, TaskState};
use crate::units::Micros;
use ravenhead_recovery::HeartbeatPosition;

/// Most commands in one answer, so that its line stays below the protocol's limit.
const MAX_COMMANDS: usize = 400;

impl Scheduler {
    /// The commands that go into the answer to a heartbeat; none if it is not the newest of its machine any more.
    pub fn commands_for(
        &mut self,
        machine: &MachineId,
        report: HeartbeatPosition,
        now: Micros,
    ) -> Vec<AgentCommand> {
        let newest = self.machines.get(machine).and_then(|m| m.newest);
        if newest == Some(report) {
            self.task_to_move(machine, now);
        }
        let Some(m) = self.machines.get(machine) else {
            return Vec::new();
        };
        if m.newest != Some(report) {
            return Vec::new();
        }
        let takes_starts = m.takes_offers();
        let mut asked: Vec<(TaskId, u64, ExpectedEffect)> = Vec::new();
        let mut commands = Vec::new();
        for (task, attempt) in &m.exited {
            // A finish must be written before its worker forgets it.
            let written = self.jobs.get(&task.job).is_none_or(|j| {
                j.end.is_some() || !j.is_finished(task.index) || j.is_finish_committed(task.index)
            });
            if written {
                asked.push((task.clone(), *attempt, ExpectedEffect::Clear));
                commands.push(AgentCommand::Clear {
                    task: task.to_string(),
                    attempt: *attempt,
                });
            }
        }
        // After a loss it may be that only the record of its job is missing yet.
        let may_be_known = self.is_rebuilding();
        for (task, attempt) in m.unexpected_tasks.keys() {
            if may_be_known && !self.jobs.contains_key(&task.job) {
                continue;
            }
            asked.push((task.clone(), *attempt, ExpectedEffect::Stop));
            commands.push(AgentCommand::Stop {
                task: task.to_string(),
                attempt: *attempt,
                slack_s: 0.0,
            });
        }
        let reserved: Vec<TaskId> = m.reserved.keys().cloned().collect();
        let mut starts = Vec::new();
        let mut unsent = Vec::new();
        for task in reserved {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let cancelled = job.ending;
            let slack = job.spec.save_slack();
            let Some(p) = job.placement_mut(task.index) else {
                continue;
            };
            let never_sent = !p.inherited && p.sent.is_none();
            if cancelled || p.stopping.is_some() {
                if never_sent {
                    unsent.push(task);
                } else if cancelled || p.reported_state != Some(TaskState::Saving) {
                    // What a cancelled task would save is of no use to anybody.
                    asked.push((task.clone(), p.attempt, ExpectedEffect::Stop));
                    commands.push(AgentCommand::Stop {
                        task: task.to_string(),
                        attempt: p.attempt,
                        slack_s: if cancelled { 0.0 } else { slack.ceil() },
                    });
                }
            } else if never_sent && !takes_starts {
                unsent.push(task);
            } else if never_sent && p.committed && starts.len() + commands.len() < MAX_COMMANDS {
                p.sent = Some(report);
                asked.push((task.clone(), p.attempt, ExpectedEffect::Run));
                starts.push(AgentCommand::Run {
                    task: task.to_string(),
                    attempt: p.attempt,
                });
            }
        }
        for task in unsent {
            self.release(&task.job, task.index);
        }
        commands.truncate(MAX_COMMANDS - starts.len());
        commands.extend(starts);
        if let Some(m) = self.machines.get_mut(machine) {
            m.expected_effects = asked;
        }
        commands
    }

    /// Whether the machine has placements whose starts wait only for being written.
    pub fn awaits_write(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|m| {
            m.reserved.keys().any(|task| {
                self.jobs
                    .get(&task.job)
                    .and_then(|j| j.placement(task.index))
                    .is_some_and(|p| !p.committed)
            })
        })
    }

    /// The cloud will take the machine: what can save does so now, what has not begun goes elsewhere.
    pub(super) fn drain_for_notice(&mut self, machine: &MachineId) {
        let Some(m) = self.machines.get(machine) else {
            return;
        };
        for task in m.reserved.keys() {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let saves = job.spec.save_slack() > 0.0;
            if let Some(p) = job.placement_mut(task.index)
                && p.stopping.is_none()
                && (saves || p.running_since.is_none())
            {
                p.stopping = Some(StopReason::Drained);
            }
        }
    }
}
