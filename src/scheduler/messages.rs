//! Messages between workers and the leader: heartbeats and commands.

use crate::fencing::FencingToken;
use crate::ids::{MachineId, TaskId};
use bitcode::{Decode, Encode};
use ravenhead_recovery::{HeartbeatPosition, ReportedState};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// State of a task as reported by its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The image is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// The task is running.
    Running,
    /// The task was stopped and is saving its work.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has ended.
    Exited,
    /// A state unknown to this version. The task keeps its resources.
    #[serde(other)]
    Other,
}

/// Reason for which a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// It completed.
    Done,
    /// It was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    Error,
    /// The start was rejected: not enough free resources.
    NoRoom,
    /// The start was rejected: another attempt of the task is on the machine.
    Busy,
    /// The start was rejected: the job or task does not exist.
    Unknown,
    /// A cause unknown to this version.
    #[serde(other)]
    Other,
}

/// Status of a task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct TaskStatus {
    /// Id of the task, as sent. If it is malformed, the leader logs it and skips the task.
    #[serde(rename = "take")]
    pub task: String,
    /// Attempt number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Reason for which it ended; `None` while it has not.
    #[serde(default)]
    pub cause: Option<ExitCause>,
}

impl TaskStatus {
    /// Returns the state in the form that reconciliation uses.
    pub fn reported_state(&self) -> ReportedState {
        match (self.state, self.cause) {
            (TaskState::Exited, Some(ExitCause::Done)) => ReportedState::Completed,
            (TaskState::Exited, _) => ReportedState::Ended,
            _ => ReportedState::Active,
        }
    }
}

/// Heartbeat of a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Heartbeat {
    /// Machine that the worker runs on.
    #[serde(rename = "host")]
    pub machine: MachineId,
    /// Type of the machine.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may preempt.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Agent epoch of the worker.
    #[serde(rename = "watch")]
    pub agent_epoch: u64,
    /// Sequence number, which increases with every message of an agent epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "warrant")]
    pub token: FencingToken,
    /// Seconds until the cloud preempts the machine; `None` if no preemption has been announced.
    #[serde(default, rename = "warningS")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, including exited ones that have not been cleared.
    #[serde(rename = "takes")]
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    /// Returns the position among the heartbeats of the machine.
    pub fn position(&self) -> HeartbeatPosition {
        HeartbeatPosition {
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
        }
    }
}

/// Index of the tasks in a heartbeat by id and attempt.
///
/// Avoids a scan of all tasks in a heartbeat for each placement and for each command that the heartbeat may
/// acknowledge.
pub struct TaskStatusIndex<'a>(HashMap<(&'a str, u64), &'a TaskStatus>);

impl<'a> TaskStatusIndex<'a> {
    /// Builds the index of a heartbeat.
    pub fn new(heartbeat: &'a Heartbeat) -> TaskStatusIndex<'a> {
        let tasks = heartbeat.tasks.iter();
        TaskStatusIndex(tasks.map(|t| ((t.task.as_str(), t.attempt), t)).collect())
    }

    /// Returns the reported status of an attempt of a task, if any.
    pub fn get(&self, task: &TaskId, attempt: u64) -> Option<&'a TaskStatus> {
        if self.0.is_empty() {
            return None;
        }
        let name = task.to_string();
        self.0.get(&(name.as_str(), attempt)).copied()
    }
}

/// Command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum AgentCommand {
    /// Starts a task.
    Run {
        /// Id of the task.
        #[serde(rename = "take")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    Stop {
        /// Id of the task.
        #[serde(rename = "take")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time in seconds that the task is given to save its work.
        #[serde(rename = "slackS")]
        save_grace_s: f64,
    },
    /// Removes an exited task from the heartbeats.
    Clear {
        /// Id of the task.
        #[serde(rename = "take")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

#[cfg(test)]
mod tests;
