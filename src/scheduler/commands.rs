//! Commands in the responses to heartbeats.

use super::Scheduler;
use super::job::StopReason;
use super::machine::{ExpectedEffect, Machine};
use super::messages::{AgentCommand, TaskState};
use crate::ids::{MachineId, TaskId};
use crate::units::Micros;
use ravenhead_recovery::HeartbeatPosition;

/// Maximum number of commands in one response. Keeps the response below the protocol's limit for the length of a line.
const MAX_COMMANDS: usize = 400;

/// The commands of a response under construction, and the effects that the next heartbeat should show.
#[derive(Default)]
struct HeartbeatResponse {
    commands: Vec<AgentCommand>,
    /// Start commands, sent after the others. If there are too many commands, only the others are truncated.
    starts: Vec<AgentCommand>,
    expected_effects: Vec<(TaskId, u64, ExpectedEffect)>,
}

impl HeartbeatResponse {
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

    fn stop(&mut self, task: &TaskId, attempt: u64, save_grace_s: f64) {
        self.expect(task, attempt, ExpectedEffect::Stop);
        self.commands.push(AgentCommand::Stop {
            task: task.to_string(),
            attempt,
            save_grace_s,
        });
    }

    fn start(&mut self, task: &TaskId, attempt: u64) {
        self.expect(task, attempt, ExpectedEffect::Run);
        self.starts.push(AgentCommand::Run {
            task: task.to_string(),
            attempt,
        });
    }

    /// Records the effect that a command should have by the next heartbeat.
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
    /// Returns the commands for the response to a heartbeat, or none if it is no longer the newest one of its machine.
    pub fn commands_for(
        &mut self,
        machine: &MachineId,
        position: HeartbeatPosition,
        now: Micros,
    ) -> Vec<AgentCommand> {
        let newest = self.machines.get(machine).and_then(|m| m.newest_heartbeat);
        if newest == Some(position) {
            self.start_move(machine, now);
        }
        let Some(m) = self.machines.get(machine) else {
            return Vec::new();
        };
        if m.newest_heartbeat != Some(position) {
            return Vec::new();
        }
        let accepts_starts = m.accepts_offers();
        let placed: Vec<TaskId> = m.reserved.keys().cloned().collect();
        let mut response = HeartbeatResponse::default();
        self.clear_exited(m, &mut response);
        self.stop_unexpected(m, &mut response);
        let mut unsent = Vec::new();
        for task in placed {
            if self.add_placement_command(&task, position, accepts_starts, &mut response) {
                unsent.push(task);
            }
        }
        for task in unsent {
            self.release(&task.job, task.index);
        }
        if let Some(m) = self.machines.get_mut(machine) {
            m.expected_effects = std::mem::take(&mut response.expected_effects);
        }
        response.into_commands()
    }

    /// Clears exited attempts that the worker may remove from its heartbeats.
    fn clear_exited(&self, m: &Machine, response: &mut HeartbeatResponse) {
        for (task, attempt) in m.exited.clearable() {
            // A completion must be written before the worker removes it from its heartbeats.
            let written = self.jobs.get(&task.job).is_none_or(|j| {
                j.end.is_some() || !j.is_finished(task.index) || j.is_finish_committed(task.index)
            });
            if written {
                response.clear(task, *attempt);
            }
        }
    }

    /// Stops tasks that run on a machine without a placement there.
    fn stop_unexpected(&self, m: &Machine, response: &mut HeartbeatResponse) {
        // After a loss of stored state, the job may be valid although its record is not restored yet.
        let records_may_be_missing = self.is_rebuilding();
        for (task, attempt) in m.unexpected_tasks.keys() {
            if records_may_be_missing && !self.jobs.contains_key(&task.job) {
                continue;
            }
            response.stop(task, *attempt, 0.0);
        }
    }

    /// Adds the start or stop command of a placed task if one is due. Returns true if its start was never sent and the
    /// placement must be released.
    fn add_placement_command(
        &mut self,
        task: &TaskId,
        position: HeartbeatPosition,
        accepts_starts: bool,
        response: &mut HeartbeatResponse,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let cancelled = job.ending;
        let save_grace_s = job.spec.save_grace_s();
        let Some(p) = job.placement_mut(task.index) else {
            return false;
        };
        let never_sent = !p.inherited && p.sent.is_none();
        let is_stopped = cancelled || p.stopping.is_some();
        if never_sent && (is_stopped || !accepts_starts) {
            return true;
        }
        if is_stopped {
            // A cancelled task is stopped even while it saves its work, which is no longer needed.
            if cancelled || p.reported_state != Some(TaskState::Saving) {
                let save_grace_s = if cancelled { 0.0 } else { save_grace_s.ceil() };
                response.stop(task, p.attempt, save_grace_s);
            }
        } else if never_sent && p.committed && !response.is_full() {
            p.sent = Some(position);
            response.start(task, p.attempt);
        }
        false
    }

    /// Returns whether the machine has placements that must be written before their starts can be sent.
    pub fn has_unwritten_placements(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|m| {
            m.reserved.keys().any(|task| {
                self.jobs
                    .get(&task.job)
                    .and_then(|j| j.placement(task.index))
                    .is_some_and(|p| !p.committed)
            })
        })
    }

    /// Drains a machine that the cloud will preempt. Tasks that can save their work are stopped to do so, and tasks
    /// that are not running yet are placed elsewhere.
    pub(super) fn drain_before_preemption(&mut self, machine: &MachineId) {
        let Some(m) = self.machines.get(machine) else {
            return;
        };
        for task in m.reserved.keys() {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let can_save = job.spec.save_grace_s() > 0.0;
            if let Some(p) = job.placement_mut(task.index)
                && p.stopping.is_none()
                && (can_save || p.running_since.is_none())
            {
                p.stopping = Some(StopReason::Drained);
            }
        }
    }
}
