//! The records that stand under the keys, and the one place where they are serialized and parsed.
//!
//! Records of jobs, their chunks and their ends are the scheduler's own; see `scheduler::records`.

use super::keys::{InvalidKey, StoreKey};
use crate::cloud_types::ProvisioningRequest;
use crate::fencing::FencingToken;
use crate::kv::{Change, Condition, LeaseId};
use crate::revision::Revision;
use crate::scheduler::{JobEnd, JobId, MachineId, Pool};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// Why something that is stored can't be read.
#[derive(Debug, Error)]
pub enum InvalidRecord {
    /// The key is none of this service's.
    #[error(transparent)]
    Key(#[from] InvalidKey),
    /// The value is not what the key stands for.
    #[error(transparent)]
    Value(#[from] serde_json::Error),
}

/// Serializes a record as it is stored.
///
/// # Panics
///
/// Panics for types that JSON can't hold, such as maps whose keys are not strings; no record is one.
pub fn encode(record: &impl Serialize) -> Value {
    serde_json::to_value(record).expect("records are JSON")
}

/// Parses a record as it is stored.
///
/// # Errors
///
/// Fails if the value is no such record.
pub fn decode<T: for<'a> Deserialize<'a>>(value: Value) -> Result<T, InvalidRecord> {
    Ok(serde_json::from_value(value)?)
}

impl StoreKey {
    /// The change that writes a record, without a lease.
    pub fn put(&self, record: &impl Serialize) -> Change {
        Change::put(self.to_string(), encode(record))
    }

    /// The change that writes a record which ends with a lease.
    pub fn put_with_lease(&self, record: &impl Serialize, lease: LeaseId) -> Change {
        Change::Put {
            key: self.to_string(),
            value: encode(record),
            lease: Some(lease),
        }
    }

    /// The change that removes the key.
    pub fn delete(&self) -> Change {
        let key = self.to_string();
        Change::Delete { key }
    }

    /// The condition that the key does not exist.
    pub fn is_absent(&self) -> Condition {
        Condition::absent(self.to_string())
    }

    /// The condition that the key was last written at this revision, or does not exist where it is 0.
    pub fn has_version(&self, version: Revision) -> Condition {
        let key = self.to_string();
        Condition { key, version }
    }
}

/// A loss of stored state, and how far its rebuild is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LossRecord {
    /// The number of the loss, from 1.
    pub number: u64,
    /// What is added to revisions to make tokens, so that they stay above all that were given before.
    pub base: u64,
    /// When it was found, by the time of day in microseconds.
    pub at: u64,
    /// Whether everything that was known is there again.
    pub restored: bool,
    /// Whether every machine has confirmed what runs on it.
    pub confirmed: bool,
}

/// What a controller can rebuild from, as it publishes it to the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// The losses that were rebuilt before its view: of these it has nothing more to add.
    pub losses: u64,
    /// The revision of its view, 0 where it has none.
    pub revision: Revision,
    /// The highest token that it knows.
    pub token: FencingToken,
    /// Whether it has evidence of a loss after those, and waits for the rebuild.
    pub lost: bool,
}

/// A job's end in an archive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ArchivedEnd {
    /// The job.
    pub job: JobId,
    /// How it ended.
    pub end: JobEnd,
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller.
    pub node: String,
    /// Drawn anew by every process, so that a restarted one is not taken for its former self.
    pub incarnation: u64,
    /// The lease that the key hangs on.
    pub lease: LeaseId,
}

/// A provisioning request that was sent or answered, as a new leader must know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// The request.
    #[serde(rename = "rental")]
    pub request: ProvisioningRequest,
    /// The machines, once known.
    pub machines: Option<Vec<MachineId>>,
    /// When, by the time of day in microseconds.
    pub at: u64,
}

impl ProvisioningRecord {
    /// The pool that the machines belong to.
    pub fn pool(&self) -> Pool {
        Pool {
            machine_type: self.request.machine_type.clone(),
            zone: self.request.zone.clone(),
            spot: self.request.spot,
        }
    }
}
