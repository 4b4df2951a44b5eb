//! The messages between workers and the leader: heartbeats and commands.

use crate::fencing::FencingToken;
use crate::ids::{MachineId, TaskId};
use bitcode::{Decode, Encode};
use ravenhead_recovery::{HeartbeatPosition, ReportedState};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A task's state as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Running.
    Running,
    /// Saving after a stop.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended.
    Exited,
    /// A state that this version does not know: the task keeps its resources.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// Completed.
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Failed.
    Error,
    /// Refused: not enough free resources.
    NoRoom,
    /// Refused: another attempt of it is there.
    Busy,
    /// Refused: no such job or task.
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// A task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "take")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(default)]
    pub cause: Option<ExitCause>,
}

impl TaskStatus {
    /// Its state as reconciliation sees it.
    pub fn reported_state(&self) -> ReportedState {
        match (self.state, self.cause) {
            (TaskState::Exited, Some(ExitCause::Done)) => ReportedState::Completed,
            (TaskState::Exited, _) => ReportedState::Ended,
            _ => ReportedState::Active,
        }
    }
}

/// A worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "host")]
    pub machine: MachineId,
    /// Its type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may preempt.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The worker's agent epoch.
    #[serde(rename = "watch")]
    pub agent_epoch: u64,
    /// Rises with every message of an agent epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "warrant")]
    pub token: FencingToken,
    /// Seconds until the cloud preempts the machine.
    #[serde(default, rename = "warningS")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "takes")]
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    /// Where it stands among its machine's messages.
    pub fn position(&self) -> HeartbeatPosition {
        HeartbeatPosition {
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
        }
    }
}

/// The tasks of a heartbeat by their name and attempt.
///
/// Guards against a walk over all tasks of a heartbeat for each placement and for each command that it may answer.
pub struct TaskStatusIndex<'a>(HashMap<(&'a str, u64), &'a TaskStatus>);

impl<'a> TaskStatusIndex<'a> {
    /// The index of a heartbeat.
    pub fn new(heartbeat: &'a Heartbeat) -> TaskStatusIndex<'a> {
        let tasks = heartbeat.tasks.iter();
        TaskStatusIndex(tasks.map(|t| ((t.task.as_str(), t.attempt), t)).collect())
    }

    /// What is reported of an attempt of a task.
    pub fn get(&self, task: &TaskId, attempt: u64) -> Option<&'a TaskStatus> {
        if self.0.is_empty() {
            return None;
        }
        let name = task.to_string();
        self.0.get(&(name.as_str(), attempt)).copied()
    }
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum AgentCommand {
    /// Start a task.
    Run {
        /// The task.
        #[serde(rename = "take")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    Stop {
        /// The task.
        #[serde(rename = "take")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// How long it may take to save.
        #[serde(rename = "slackS")]
        slack_s: f64,
    },
    /// Drop an exited task from the heartbeats.
    Clear {
        /// The task.
        #[serde(rename = "take")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

#[cfg(test)]
mod tests;
