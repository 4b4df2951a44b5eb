//! What the state service keeps of a job: its submission, its end, and its tasks in chunks.

use super::job_spec::JobSpec;
use crate::ids::MachineId;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Tasks of one chunk, the unit in which a job's run is written down.
pub const CHUNK_SIZE: u32 = 64;

/// How a job ended; decided once for ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks completed.
    Done,
    /// Its user cancelled it.
    Aborted,
}

/// The record of a job's end.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct JobEnd {
    /// How.
    #[serde(rename = "how")]
    pub outcome: JobOutcome,
    /// When, in microseconds of the time of day.
    pub at: u64,
    /// Tasks completed by then.
    pub done: u32,
}

/// The record of a job's submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What was asked for.
    pub spec: Rc<JobSpec>,
    /// When, in microseconds of the time of day.
    pub at: u64,
}

/// The record of a chunk of a job's tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Bit by bit, the tasks that are finished; hexadecimal, as not every JSON reader keeps 64 bits.
    #[serde(rename = "f", with = "hex")]
    pub finished: u64,
    /// The highest attempt that any task of the chunk was given.
    #[serde(rename = "a")]
    pub last_attempt: u64,
    /// Tasks that may be on a machine: place within the chunk, machine, attempt.
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
