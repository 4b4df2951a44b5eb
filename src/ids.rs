//! Identifiers of jobs, machines and tasks.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

id!(
    /// Id of a job, chosen by the user who submits it.
    JobId
);
id!(
    /// Id of a machine, chosen by the cloud.
    MachineId
);

impl JobId {
    /// Parses a job id: `j-` followed by 1 to 64 ASCII letters or digits. Returns `None` for any other text.
    pub fn parse(text: &str) -> Option<JobId> {
        let suffix = text.strip_prefix("j-")?;
        let is_valid = !suffix.is_empty()
            && suffix.len() <= 64
            && suffix.bytes().all(|b| b.is_ascii_alphanumeric());
        is_valid.then(|| JobId(text.to_owned()))
    }
}

/// Id of a task: its job and its index in the job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job to which the task belongs.
    pub job: JobId,
    /// Index of the task in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses a task id in the form that workers send, such as `j-000412/3`. Returns `None` for any other text.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.split_once('/')?;
        Some(TaskId {
            job: JobId::parse(job)?,
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
