//! What workers and the leader tell each other: reports and orders.

use super::ids::{MachineId, TaskId};
use bitcode::{Decode, Encode};
use ravenhead_recovery::{Position, ReportedState};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A task's state as its worker tells it.
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
    /// A state that this version does not know: it holds its room.
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
    /// Refused: not enough room.
    NoRoom,
    /// Refused: another attempt of it is there.
    Busy,
    /// Refused: no such job or task.
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// A task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct ReportedTask {
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

impl ReportedTask {
    /// Its state as reconciliation sees it.
    pub fn outcome(&self) -> ReportedState {
        match (self.state, self.cause) {
            (TaskState::Exited, Some(ExitCause::Done)) => ReportedState::Completed,
            (TaskState::Exited, _) => ReportedState::Ended,
            _ => ReportedState::Active,
        }
    }
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Report {
    /// The machine.
    #[serde(rename = "host")]
    pub machine: MachineId,
    /// Its type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the cloud may take it back.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The worker's session.
    #[serde(rename = "watch")]
    pub session: u64,
    /// Rises with every message of a session.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest token seen.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// Seconds until the cloud takes the machine away.
    #[serde(default, rename = "warningS")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "takes")]
    pub tasks: Vec<ReportedTask>,
}

impl Report {
    /// Where it stands among its machine's messages.
    pub fn position(&self) -> Position {
        Position {
            session: self.session,
            sequence: self.seq,
        }
    }
}

/// The tasks of a report by their name and attempt.
///
/// Guards against a walk over all tasks of a report for each placement and for each order that it may answer.
pub struct ReportIndex<'a>(HashMap<(&'a str, u64), &'a ReportedTask>);

impl<'a> ReportIndex<'a> {
    /// The index of a report.
    pub fn new(report: &'a Report) -> ReportIndex<'a> {
        let tasks = report.tasks.iter();
        ReportIndex(tasks.map(|t| ((t.task.as_str(), t.attempt), t)).collect())
    }

    /// What is reported of an attempt of a task.
    pub fn get(&self, task: &TaskId, attempt: u64) -> Option<&'a ReportedTask> {
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
pub enum Order {
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
    /// Drop an exited task from the reports.
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
