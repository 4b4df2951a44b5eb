//! A job as its user submitted it, and the checks that a submission must pass.

use crate::ids::JobId;
use crate::units::Resources;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// Longest text that a submission may carry in a name.
const MAX_NAME: usize = 200;
/// Largest amount that a submission may name.
const MAX_AMOUNT: f64 = 1e9;

/// Whether a job's tasks complete or run until cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that run to completion, and only together.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority, the lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// `low`
    Low,
    /// `normal`
    Normal,
    /// `urgent`
    Urgent,
    /// `critical`
    Critical,
}

/// A job as its user submitted it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// The class that aims speak of.
    #[serde(rename = "lane")]
    pub class: String,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Array or service.
    pub shape: Shape,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "takes")]
    pub tasks: u32,
    /// Processors of a task.
    pub cores: f64,
    /// Accelerators of a task.
    #[serde(rename = "cards")]
    pub accelerators: f64,
    /// Memory of a task in GB.
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    /// The image it needs.
    #[serde(rename = "reel")]
    pub image: String,
    /// The image's size in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Allowed machine types, or any.
    #[serde(default, rename = "rigs")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone, or any.
    #[serde(default, rename = "yard")]
    pub zone: Option<String>,
    /// All tasks in the same zone.
    pub together: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "expectS")]
    pub expect_s: f64,
    /// Interval of checkpoints; 0: never saves.
    #[serde(rename = "markS")]
    pub checkpoint_s: f64,
    /// Time to save when stopped.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// When the job should be complete.
    #[serde(default, rename = "dueS")]
    pub due_s: Option<f64>,
}

/// Why a submission is refused, in the protocol's names of its fields.
#[derive(Debug, Error)]
pub enum InvalidSubmission {
    /// The body is no JSON object.
    #[error("not an object")]
    NotAnObject,
    /// The body is not of the protocol's form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The job's name is not one.
    #[error("nameId is not a job id")]
    JobId,
    /// There are no tasks, or too many.
    #[error("takes must be 1 to {MAX_TASKS}")]
    TaskCount,
    /// An amount is negative, too large or not finite.
    #[error("{field} is out of range")]
    OutOfRange {
        /// The field.
        field: &'static str,
    },
    /// A name is longer than any may be.
    #[error("a name is too long")]
    NameTooLong,
}

impl JobSpec {
    /// Parses a submission.
    ///
    /// # Errors
    ///
    /// Fails where it is not of the protocol's form, or a value is out of its range.
    pub fn parse(body: &[u8]) -> Result<JobSpec, InvalidSubmission> {
        // A list would pass as a struct with serde, but a submission must be an object.
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
            ("expectS", self.expect_s),
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
        if names.into_iter().chain(listed).any(|n| n.len() > MAX_NAME) {
            return Err(InvalidSubmission::NameTooLong);
        }
        Ok(())
    }

    /// What one task takes.
    pub fn need(&self) -> Resources {
        Resources::new(self.cores, self.accelerators, self.ram_gb)
    }

    /// Whether its tasks run only together.
    pub fn is_gang(&self) -> bool {
        self.shape == Shape::Gang
    }

    /// The most tasks that may be in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether a machine of this type, zone and kind is allowed at all.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.machine_types
            .as_ref()
            .is_none_or(|r| r.iter().any(|r| r == machine_type))
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && (self.spot || !spot)
    }

    /// How long a stopped task must be given so that it saves; zero where it can't.
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
