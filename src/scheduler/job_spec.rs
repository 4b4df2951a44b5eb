//! Job specifications as submitted by users, and the validation of submissions.

use crate::ids::JobId;
use crate::units::Resources;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum length of a name in a submission, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Maximum of a numeric field in a submission.
const MAX_AMOUNT: f64 = 1e9;

/// How the tasks of a job run, and whether they complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that run to completion and must all run at the same time (all-or-nothing).
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Lowest priority. Written as `low`.
    Low,
    /// Between `low` and `urgent`. Written as `normal`.
    Normal,
    /// Between `normal` and `critical`. Written as `urgent`.
    Urgent,
    /// Queued before all other jobs and never preempted. Written as `critical`.
    Critical,
}

/// Specification of a job as submitted by its user.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job, chosen by the user.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// Class of the job, to which objectives refer.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Whether the job is an array, a gang or a service.
    pub shape: Shape,
    /// Priority for queue order and preemption.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    #[serde(rename = "takes")]
    pub tasks: u32,
    /// Processor cores per task.
    pub cores: f64,
    /// Accelerators per task.
    #[serde(rename = "cards")]
    pub accelerators: f64,
    /// Memory per task in GB.
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    /// Name of the image that the tasks run.
    #[serde(rename = "reel")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Allowed machine types; `None` allows any.
    #[serde(default, rename = "rigs")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows any.
    #[serde(default, rename = "yard")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    pub together: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The owner's estimate of a task's run time in seconds.
    #[serde(rename = "expectS")]
    pub expected_run_s: f64,
    /// Checkpoint interval in seconds; 0 if the tasks never save their work.
    #[serde(rename = "markS")]
    pub checkpoint_s: f64,
    /// Time in seconds that a task needs to save its work when it is stopped.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// Deadline in seconds after submission; `None` if there is none.
    #[serde(default, rename = "dueS")]
    pub due_s: Option<f64>,
}

/// Reason for which a submission is rejected. The messages use the protocol's field names.
#[derive(Debug, Error)]
pub enum InvalidSubmission {
    /// The body is not a JSON object.
    #[error("not an object")]
    NotAnObject,
    /// The body is not valid JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The job id is malformed.
    #[error("nameId is not a job id")]
    JobId,
    /// The number of tasks is 0 or above the maximum.
    #[error("takes must be 1 to {MAX_TASKS}")]
    TaskCount,
    /// A numeric field is negative, too large or not finite.
    #[error("{field} is out of range")]
    OutOfRange {
        /// Name of the field in the protocol.
        field: &'static str,
    },
    /// A name exceeds the maximum length.
    #[error("a name is too long")]
    NameTooLong,
}

impl JobSpec {
    /// Parses and validates a submission.
    ///
    /// # Errors
    ///
    /// Returns an error if the body does not follow the protocol or a value is out of range.
    pub fn parse(body: &[u8]) -> Result<JobSpec, InvalidSubmission> {
        // Serde would also accept an array for a struct, but a submission must be an object.
        if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
            return Err(InvalidSubmission::NotAnObject);
        }
        let spec: JobSpec = serde_json::from_slice(body)?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), InvalidSubmission> {
        if JobId::parse(&self.id.0).is_none() {
            return Err(InvalidSubmission::JobId);
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(InvalidSubmission::TaskCount);
        }
        let amounts = [
            ("cores", self.cores),
            ("cards", self.accelerators),
            ("ramGb", self.ram_gb),
            ("pullGb", self.image_gb),
            ("expectS", self.expected_run_s),
            ("markS", self.checkpoint_s),
            ("stowS", self.save_s),
            ("dueS", self.due_s.unwrap_or(0.0)),
        ];
        let is_in_range = |value: f64| (0.0..=MAX_AMOUNT).contains(&value);
        if let Some((field, _)) = amounts.into_iter().find(|(_, value)| !is_in_range(*value)) {
            return Err(InvalidSubmission::OutOfRange { field });
        }
        let names = [&self.class, &self.team, &self.image];
        let listed = self.machine_types.iter().flatten().chain(&self.zone);
        if names
            .into_iter()
            .chain(listed)
            .any(|n| n.len() > MAX_NAME_BYTES)
        {
            return Err(InvalidSubmission::NameTooLong);
        }
        Ok(())
    }

    /// Returns the resources that one task needs.
    pub fn need(&self) -> Resources {
        Resources::new(self.cores, self.accelerators, self.ram_gb)
    }

    /// Returns whether the tasks must all run at the same time.
    pub fn is_gang(&self) -> bool {
        self.shape == Shape::Gang
    }

    /// Returns the maximum number of tasks in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Returns whether tasks may run on a machine of this type and zone, spot or on-demand.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.machine_types
            .as_ref()
            .is_none_or(|r| r.iter().any(|r| r == machine_type))
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && (self.spot || !spot)
    }

    /// Returns how many seconds a stopped task must be given to save its work; 0 if it cannot save.
    pub fn save_grace_s(&self) -> f64 {
        if self.checkpoint_s > 0.0 {
            self.save_s
        } else {
            0.0
        }
    }
}

#[cfg(test)]
mod tests;
