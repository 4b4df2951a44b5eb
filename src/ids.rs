//! Names of jobs, machines and tasks.

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
    /// A job's name, chosen by its user.
    JobId
);
id!(
    /// A machine's name, chosen by the cloud.
    MachineId
);

impl JobId {
    /// A job id as users write it, `j-` and a few letters or digits; anything else is not one.
    pub fn parse(text: &str) -> Option<JobId> {
        let rest = text.strip_prefix("j-")?;
        let fine =
            !rest.is_empty() && rest.len() <= 64 && rest.bytes().all(|b| b.is_ascii_alphanumeric());
        fine.then(|| JobId(text.to_owned()))
    }
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number, from 0.
    pub index: u32,
}

impl TaskId {
    /// A task id as workers write it, `j-000412/3`.
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
