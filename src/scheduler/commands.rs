//! The commands that go into the answer to a heartbeat.

use super::Scheduler;
use super::job::StopReason;
use super::machine::{ExpectedEffect, Machine};
use super::messages::{AgentCommand, TaskState};
use crate::ids::{MachineId, TaskId};
use crate::units::Micros;
use ravenhead_recovery::HeartbeatPosition;

/// Maximum of commands in one answer, so that its line stays below the protocol's limit.
const MAX_COMMANDS: usize = 400;

/// The commands of an answer in the making, and what the next heartbeat should show of them.
#[derive(Default)]
struct Answer {
    commands: Vec<AgentCommand>,
    /// Go after the others, and are left out of no answer.
    starts: Vec<AgentCommand>,
    expected_effects: Vec<(TaskId, u64, ExpectedEffect)>,
}

impl Answer {
    fn is_full(&self) -> bool {
        self.starts.len() + self.commands.len() >= MAX_COMMANDS
    }

    fn clear(&mut self, task: &TaskId, attempt: u64) {
        self.expect(task, attempt, ExpectedEffect::Clear);
        self.commands.push(AgentCommand::Clear {
            task: task.to_string(),
            attempt,
        });
    }

    fn stop(&mut self, task: &TaskId, attempt: u64, slack_s: f64) {
        self.expect(task, attempt, ExpectedEffect::Stop);
        self.commands.push(AgentCommand::Stop {
            task: task.to_string(),
            attempt,
            slack_s,
        });
    }

    fn start(&mut self, task: &TaskId, attempt: u64) {
        self.expect(task, attempt, ExpectedEffect::Run);
        self.starts.push(AgentCommand::Run {
            task: task.to_string(),
            attempt,
        });
    }

    fn expect(&mut self, task: &TaskId, attempt: u64, effect: ExpectedEffect) {
        self.expected_effects.push((task.clone(), attempt, effect));
    }

    fn into_commands(mut self) -> Vec<AgentCommand> {
        self.commands.truncate(MAX_COMMANDS - self.starts.len());
        self.commands.extend(self.starts);
        self.commands
    }
}

impl Scheduler {
    /// The commands that go into the answer to a heartbeat; none if it is not the newest of its machine any more.
    pub fn commands_for(
        &mut self,
        machine: &MachineId,
        report: HeartbeatPosition,
        now: Micros,
    ) -> Vec<AgentCommand> {
        let newest = self.machines.get(machine).and_then(|m| m.newest_heartbeat);
        if newest == Some(report) {
            self.task_to_move(machine, now);
        }
        let Some(m) = self.machines.get(machine) else {
            return Vec::new();
        };
        if m.newest_heartbeat != Some(report) {
            return Vec::new();
        }
        let takes_starts = m.accepts_offers();
        let placed: Vec<TaskId> = m.reserved.keys().cloned().collect();
        let mut answer = Answer::default();
        self.clear_exited(m, &mut answer);
        self.stop_unexpected(m, &mut answer);
        let mut unsent = Vec::new();
        for task in placed {
            if self.command_placed(&task, report, takes_starts, &mut answer) {
                unsent.push(task);
            }
        }
        for task in unsent {
            self.release(&task.job, task.index);
        }
        if let Some(m) = self.machines.get_mut(machine) {
            m.expected_effects = std::mem::take(&mut answer.expected_effects);
        }
        answer.into_commands()
    }

    /// Clears the exited tasks of a machine whose worker may forget them.
    fn clear_exited(&self, m: &Machine, answer: &mut Answer) {
        for (task, attempt) in &m.exited {
            // A finish must be written before its worker forgets it.
            let written = self.jobs.get(&task.job).is_none_or(|j| {
                j.end.is_some() || !j.is_finished(task.index) || j.is_finish_committed(task.index)
            });
            if written {
                answer.clear(task, *attempt);
            }
        }
    }

    /// Stops what runs on a machine without a placement.
    fn stop_unexpected(&self, m: &Machine, answer: &mut Answer) {
        // After a loss it may be that only the record of its job is missing yet.
        let may_be_known = self.is_rebuilding();
        for (task, attempt) in m.unexpected_tasks.keys() {
            if may_be_known && !self.jobs.contains_key(&task.job) {
                continue;
            }
            answer.stop(task, *attempt, 0.0);
        }
    }

    /// Starts or stops a placed task where that is due. Returns true if it was never sent and is to be released.
    fn command_placed(
        &mut self,
        task: &TaskId,
        report: HeartbeatPosition,
        takes_starts: bool,
        answer: &mut Answer,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let cancelled = job.ending;
        let slack = job.spec.save_slack();
        let Some(p) = job.placement_mut(task.index) else {
            return false;
        };
        let never_sent = !p.inherited && p.sent.is_none();
        let is_stopped = cancelled || p.stopping.is_some();
        if never_sent && (is_stopped || !takes_starts) {
            return true;
        }
        if is_stopped {
            // What a cancelled task would save is of no use to anybody.
            if cancelled || p.reported_state != Some(TaskState::Saving) {
                let slack_s = if cancelled { 0.0 } else { slack.ceil() };
                answer.stop(task, p.attempt, slack_s);
            }
        } else if never_sent && p.committed && !answer.is_full() {
            p.sent = Some(report);
            answer.start(task, p.attempt);
        }
        false
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

    /// Drains a machine that the cloud will preempt: what can save does so now, what has not begun goes elsewhere.
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
