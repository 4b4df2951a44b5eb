//! The stored records, and the functions that serialize and parse all of them.
//!
//! The records of jobs, chunks and job ends are defined in `scheduler::records`.

use super::keys::{InvalidKey, StoreKey};
use crate::cloud_types::ProvisioningRequest;
use crate::fencing::FencingToken;
use crate::kv::{Change, Condition, LeaseId};
use crate::revision::Revision;
use crate::scheduler::{JobEnd, JobId, MachineId, Pool};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// The reason why a stored key or its value can't be parsed.
#[derive(Debug, Error)]
pub enum InvalidRecord {
    /// The key does not name a record of this service.
    #[error(transparent)]
    Key(#[from] InvalidKey),
    /// The value is not a valid record of the key's kind.
    #[error(transparent)]
    Value(#[from] serde_json::Error),
}

/// Serializes a record to its stored form.
///
/// # Panics
///
/// Panics if JSON can't represent the type, such as a map whose keys are not strings. No record type contains such a
/// map.
pub fn encode(record: &impl Serialize) -> Value {
    serde_json::to_value(record).expect("every record type serializes to JSON")
}

/// Parses a record from its stored form.
///
/// # Errors
///
/// Fails if the value is not a valid record of type `T`.
pub fn decode<T: for<'a> Deserialize<'a>>(value: Value) -> Result<T, InvalidRecord> {
    Ok(serde_json::from_value(value)?)
}

impl StoreKey {
    /// Returns the change that writes a record without a lease.
    pub fn put(&self, record: &impl Serialize) -> Change {
        Change::put(self.to_string(), encode(record))
    }

    /// Returns the change that writes a record attached to a lease.
    pub fn put_with_lease(&self, record: &impl Serialize, lease: LeaseId) -> Change {
        Change::Put {
            key: self.to_string(),
            value: encode(record),
            lease: Some(lease),
        }
    }

    /// Returns the change that removes the key.
    pub fn delete(&self) -> Change {
        let key = self.to_string();
        Change::Delete { key }
    }

    /// Returns the condition that the key does not exist.
    pub fn is_absent(&self) -> Condition {
        Condition::absent(self.to_string())
    }

    /// Returns the condition that the key was last written at `version`, or does not exist if `version` is 0.
    pub fn has_version(&self, version: Revision) -> Condition {
        let key = self.to_string();
        Condition { key, version }
    }
}

/// A loss of stored state and the progress of its rebuild.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LossRecord {
    /// The number of the loss, from 1.
    pub number: u64,
    /// Added to revisions to form fencing tokens, so that tokens stay above all those issued before the loss.
    pub base: u64,
    /// When the loss was found, in microseconds since the Unix epoch.
    pub at: u64,
    /// Whether all state known to the rebuilding leader has been written again.
    pub restored: bool,
    /// Whether every machine has confirmed which tasks run on it.
    pub confirmed: bool,
}

/// The state that a controller could rebuild from after a loss, published for the other controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// Number of losses already rebuilt in the controller's view; it has nothing further to contribute to their
    /// rebuilds.
    pub losses: u64,
    /// The revision of the controller's view, 0 if it has none.
    pub revision: Revision,
    /// The highest fencing token known to the controller.
    pub token: FencingToken,
    /// Whether the controller has evidence of a further loss and waits for its rebuild.
    pub lost: bool,
}

/// An entry of an archive of job ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ArchivedEnd {
    /// The job that has ended.
    pub job: JobId,
    /// Its outcome.
    pub end: JobEnd,
}

/// The record of the current leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node name of the leading controller.
    pub node: String,
    /// A random number drawn by each controller process, which distinguishes a restarted process from the one before.
    pub incarnation: u64,
    /// The leader lease that the key is attached to.
    pub lease: LeaseId,
}

/// A provisioning request, stored before it is sent to the cloud so that a new leader knows of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// The request as sent to the cloud.
    #[serde(rename = "rental")]
    pub request: ProvisioningRequest,
    /// The machines that the cloud provisioned; `None` until it has responded.
    pub machines: Option<Vec<MachineId>>,
    /// When the record was created, in microseconds since the Unix epoch.
    pub at: u64,
}

impl ProvisioningRecord {
    /// Returns the pool that the machines belong to.
    pub fn pool(&self) -> Pool {
        Pool {
            machine_type: self.request.machine_type.clone(),
            zone: self.request.zone.clone(),
            spot: self.request.spot,
        }
    }
}
