//! Stored records of a job: its submission, its end, and its tasks in chunks.

use super::job_spec::JobSpec;
use crate::ids::MachineId;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Number of tasks in a chunk, the unit in which the state of a job's tasks is written.
pub const CHUNK_SIZE: u32 = 64;

/// How a job ended. The first recorded outcome is final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks completed.
    Done,
    /// The job was cancelled by its user.
    Aborted,
}

/// Record of the end of a job.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct JobEnd {
    /// How the job ended.
    #[serde(rename = "how")]
    pub outcome: JobOutcome,
    /// Time of the end, as Unix time in microseconds.
    pub at: u64,
    /// Number of tasks that had completed by then.
    pub done: u32,
}

/// Record of the submission of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification as submitted.
    pub spec: Rc<JobSpec>,
    /// Time of the submission, as Unix time in microseconds.
    pub at: u64,
}

/// Record of a chunk of a job's tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Bitmap of finished tasks, in hexadecimal as not every JSON parser preserves 64-bit integers.
    #[serde(rename = "f", with = "hex")]
    pub finished: u64,
    /// Highest attempt assigned to any task of the chunk.
    #[serde(rename = "a")]
    pub last_attempt: u64,
    /// Tasks that may be on a machine: index within the chunk, machine, attempt.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub live: Vec<(u8, MachineId, u64)>,
}

mod hex {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(bits: &u64, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(&format_args!("{bits:x}"))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
        let text = String::deserialize(d)?;
        u64::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
