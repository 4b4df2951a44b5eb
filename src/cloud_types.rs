//! Types that the cloud's client shares with the scheduler and the store: the machine list, provisioning requests, and
//! limits of the cloud's API. The module does no I/O, so that the scheduler does not depend on the client.

use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

/// Maximum number of machines in one provisioning request.
pub const MAX_MACHINES_PER_PROVISIONING: usize = 50;
/// Maximum number of machines in one termination request.
pub const MAX_MACHINES_PER_TERMINATION: usize = 100;

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedStatus {
    /// Being provisioned, not running yet.
    Booting,
    /// Running, or failed less than 30 seconds ago.
    Running,
    /// Stopped without a termination request. It incurs no charge.
    Failed,
    /// A state that this version of ravenhead does not know.
    #[serde(other)]
    Unknown,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// Id of the machine, chosen by the cloud.
    #[serde(rename = "nameId")]
    pub machine: MachineId,
    /// Name of its machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone in which it was provisioned.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State of the machine when the list was compiled.
    pub status: ListedStatus,
    /// Time since the provisioning request, in seconds.
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

/// A request for machines, under a name that is never used for another request.
///
/// This is the form in which it is stored; some of its field names differ from those of the cloud's API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRequest {
    /// Name of the request, by which the cloud recognizes a repetition and carries it out only once.
    #[serde(rename = "charter")]
    pub request_name: String,
    /// Name of the machine type to provision.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone in which to provision.
    pub zone: String,
    /// Whether to provision spot machines; otherwise they are on-demand.
    pub spot: bool,
    /// Number of machines to provision.
    pub count: usize,
}
