//! The keys of all records in the key-value store, with their encoder and parser.

use crate::scheduler::{JobId, MachineId};
use std::fmt;
use thiserror::Error;

/// The prefix of all keys that this service stores.
pub const PREFIX: &str = "r/";
const LEADER: &str = "r/leader";
const TERM: &str = "r/term";
const MACHINE_TYPES: &str = "r/flavors";
const LOSS: &str = "r/loss";
const ABSENT: &str = "r/nothing";

/// The kinds of keys that are also listed by a prefix of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyKind {
    /// [`StoreKey::Job`].
    Job,
    /// [`StoreKey::JobEnd`].
    JobEnd,
    /// [`StoreKey::Chunk`].
    Chunk,
}

impl KeyKind {
    /// Returns the prefix that all keys of this kind have, and no other keys.
    pub const fn prefix(self) -> &'static str {
        match self {
            KeyKind::Job => "r/job/",
            KeyKind::JobEnd => "r/end/",
            KeyKind::Chunk => "r/run/",
        }
    }
}

/// A key in the key-value store, by the kind of its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreKey {
    /// An accepted job, as it was submitted.
    Job(JobId),
    /// The outcome of a job that has ended.
    JobEnd(JobId),
    /// A chunk: the state of up to 64 tasks of a job.
    Chunk {
        /// The job that the tasks belong to.
        job: JobId,
        /// The number of the chunk within the job, from 0.
        chunk: u32,
    },
    /// The contacts of a controller: machines whose heartbeats it receives but can't forward to the leader. The list is
    /// split into parts to fit into values.
    Contacts {
        /// The node name of the controller.
        node: String,
        /// The number of the part, from 0.
        part: usize,
    },
    /// A provisioning request, by its request name.
    Provisioning(String),
    /// The images that a machine has cached.
    Images(MachineId),
    /// The state of a controller as a candidate for rebuilding lost state, by the controller's node name.
    RebuildCandidate(String),
    /// A part of the archive in which a rebuild stores the ends of jobs that no longer have a job record.
    EndArchive {
        /// The number of the loss that was rebuilt.
        loss: u64,
        /// The number of the part, from 0.
        part: usize,
    },
    /// The current leader, attached to the leader lease.
    Leader,
    /// The last election, without a lease: the version of this key determines the highest fencing token issued.
    Term,
    /// The machine types that the cloud offers.
    MachineTypes,
    /// The last loss of stored state.
    Loss,
    /// A key that is never written; reading it returns the current revision.
    Absent,
}

/// The reason why a key does not name a record of this service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidKey {
    /// The key does not start with [`PREFIX`].
    #[error("key lacks the prefix r/")]
    MissingPrefix,
    /// The key contains an invalid job id.
    #[error("invalid job id")]
    JobId,
    /// The key has a chunk's prefix, but not a valid job id and chunk number.
    #[error("invalid chunk key")]
    Chunk,
    /// The key has the prefix, but is of no known kind.
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
            StoreKey::Absent => f.write_str(ABSENT),
        }
    }
}

impl StoreKey {
    /// Parses a stored key.
    ///
    /// The numbers of losses and parts in keys of contacts and archives only make the keys unique. An invalid number is
    /// parsed as 0, so that readers, which don't need the number, still get the value.
    ///
    /// # Errors
    ///
    /// Fails if the key does not have a format that a release of this service uses.
    pub fn parse(key: &str) -> Result<StoreKey, InvalidKey> {
        let rest = key.strip_prefix(PREFIX).ok_or(InvalidKey::MissingPrefix)?;
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

    /// Parses a key whose kind has a single key.
    fn parse_single(key: &str) -> Result<StoreKey, InvalidKey> {
        match key {
            LEADER => Ok(StoreKey::Leader),
            TERM => Ok(StoreKey::Term),
            MACHINE_TYPES => Ok(StoreKey::MachineTypes),
            LOSS => Ok(StoreKey::Loss),
            ABSENT => Ok(StoreKey::Absent),
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
