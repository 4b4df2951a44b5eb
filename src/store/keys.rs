//! The keys under which this service keeps its state, with one encoder and one parser.

use crate::scheduler::{JobId, MachineId};
use std::fmt;
use thiserror::Error;

/// Everything this service keeps is below this prefix.
pub const PREFIX: &str = "r/";
/// The leader's key.
pub const LEADER: &str = "r/leader";
/// The last fencing token, without a lease.
pub const TERM: &str = "r/term";
/// The machine types.
pub const MACHINE_TYPES: &str = "r/flavors";
/// The record of the last loss of stored state.
pub const LOSS: &str = "r/loss";
/// A key that never exists: reading it tells the current revision.
pub const ABSENT_KEY: &str = "r/nothing";

/// A key of the state service, by what is stored under it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreKey {
    /// A submission.
    Job(JobId),
    /// A job's end.
    JobEnd(JobId),
    /// A chunk of a job's tasks.
    Chunk {
        /// The job.
        job: JobId,
        /// The chunk's number, from 0.
        chunk: u32,
    },
    /// The machines that a controller hears from, in as many parts as it takes to hold them.
    Contacts {
        /// The controller.
        node: String,
        /// The part's number, from 0.
        part: usize,
    },
    /// A provisioning request, by its name.
    Provisioning(String),
    /// The images that a machine has.
    Images(MachineId),
    /// What a controller can rebuild lost state from.
    RebuildCandidate(String),
    /// A part of the archive of job ends that was written after a loss.
    EndArchive {
        /// The number of the loss.
        loss: u64,
        /// The part's number, from 0.
        part: usize,
    },
    /// Who leads, under the leader's lease.
    Leader,
    /// The last fencing token, without a lease.
    Term,
    /// The machine types.
    MachineTypes,
    /// The last loss of stored state.
    Loss,
    /// A key that never exists: reading it tells the current revision.
    Absent,
}

/// Why a key is none of this service's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidKey {
    /// It does not begin with [`PREFIX`].
    #[error("foreign key")]
    Foreign,
    /// The job id in it is none.
    #[error("bad job id")]
    JobId,
    /// It is not a job id and the number of a chunk.
    #[error("bad chunk key")]
    Chunk,
    /// It has the prefix, but names nothing that is stored.
    #[error("unknown key")]
    Unknown,
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreKey::Job(id) => write!(f, "r/job/{id}"),
            StoreKey::JobEnd(id) => write!(f, "r/end/{id}"),
            StoreKey::Chunk { job, chunk } => write!(f, "r/run/{job}/{chunk:05}"),
            StoreKey::Contacts { node, part } => write!(f, "r/heard/{node}/{part}"),
            StoreKey::Provisioning(name) => write!(f, "r/rental/{name}"),
            StoreKey::Images(machine) => write!(f, "r/images/{machine}"),
            StoreKey::RebuildCandidate(node) => write!(f, "r/rebuild/{node}"),
            StoreKey::EndArchive { loss, part } => write!(f, "r/ends/{loss}-{part:05}"),
            StoreKey::Leader => f.write_str(LEADER),
            StoreKey::Term => f.write_str(TERM),
            StoreKey::MachineTypes => f.write_str(MACHINE_TYPES),
            StoreKey::Loss => f.write_str(LOSS),
            StoreKey::Absent => f.write_str(ABSENT_KEY),
        }
    }
}

impl StoreKey {
    /// Parses a key as it is stored.
    ///
    /// Numbers of parts only keep keys apart: a key whose number can't be read counts as part 0, so that its value is not
    /// lost on a reader that does not need the number.
    ///
    /// # Errors
    ///
    /// Fails for keys that no release of this service writes.
    pub fn parse(key: &str) -> Result<StoreKey, InvalidKey> {
        let rest = key.strip_prefix(PREFIX).ok_or(InvalidKey::Foreign)?;
        let Some((kind, name)) = rest.split_once('/') else {
            return StoreKey::parse_single(key);
        };
        match kind {
            "job" => Ok(StoreKey::Job(parse_job(name)?)),
            "end" => Ok(StoreKey::JobEnd(parse_job(name)?)),
            "run" => parse_chunk(name).ok_or(InvalidKey::Chunk),
            "heard" => Ok(parse_contacts(name)),
            "rental" => Ok(StoreKey::Provisioning(name.to_owned())),
            "images" => Ok(StoreKey::Images(MachineId(name.to_owned()))),
            "rebuild" => Ok(StoreKey::RebuildCandidate(name.to_owned())),
            "ends" => Ok(parse_archive(name)),
            _ => Err(InvalidKey::Unknown),
        }
    }

    /// Parses the keys of which there is just one.
    fn parse_single(key: &str) -> Result<StoreKey, InvalidKey> {
        match key {
            LEADER => Ok(StoreKey::Leader),
            TERM => Ok(StoreKey::Term),
            MACHINE_TYPES => Ok(StoreKey::MachineTypes),
            LOSS => Ok(StoreKey::Loss),
            ABSENT_KEY => Ok(StoreKey::Absent),
            _ => Err(InvalidKey::Unknown),
        }
    }
}

fn parse_job(id: &str) -> Result<JobId, InvalidKey> {
    JobId::parse(id).ok_or(InvalidKey::JobId)
}

fn parse_chunk(name: &str) -> Option<StoreKey> {
    let (id, chunk) = name.split_once('/')?;
    Some(StoreKey::Chunk {
        job: JobId::parse(id)?,
        chunk: chunk.parse().ok()?,
    })
}

fn parse_contacts(name: &str) -> StoreKey {
    let mut parts = name.split('/');
    let node = parts.next().unwrap_or_default().to_owned();
    let part = parts.next().and_then(|part| part.parse().ok());
    StoreKey::Contacts {
        node,
        part: part.unwrap_or_default(),
    }
}

fn parse_archive(name: &str) -> StoreKey {
    let (loss, part) = name.split_once('-').unwrap_or_default();
    StoreKey::EndArchive {
        loss: loss.parse().unwrap_or_default(),
        part: part.parse().unwrap_or_default(),
    }
}

/// The key of a submission.
pub fn job_key(id: &JobId) -> String {
    StoreKey::Job(id.clone()).to_string()
}

/// The key of a job's end.
pub fn end_key(id: &JobId) -> String {
    StoreKey::JobEnd(id.clone()).to_string()
}

/// The key of a chunk of a job's tasks.
pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    let job = id.clone();
    StoreKey::Chunk { job, chunk }.to_string()
}

/// The key of a part of the machines that a controller hears from.
pub fn contacts_key(node: &str, part: usize) -> String {
    let node = node.to_owned();
    StoreKey::Contacts { node, part }.to_string()
}

/// The key of a provisioning request, by its name.
pub fn provisioning_key(request_name: &str) -> String {
    StoreKey::Provisioning(request_name.to_owned()).to_string()
}

/// The key of the images that a machine has.
pub fn images_key(machine: &MachineId) -> String {
    StoreKey::Images(machine.clone()).to_string()
}

/// The key under which a controller says what it can rebuild from.
pub fn candidate_key(node: &str) -> String {
    StoreKey::RebuildCandidate(node.to_owned()).to_string()
}

/// The key of a part of the archive of job ends, after a loss.
pub fn archive_key(loss: u64, part: usize) -> String {
    StoreKey::EndArchive { loss, part }.to_string()
}
