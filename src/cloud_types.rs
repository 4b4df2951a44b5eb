//! What the cloud's client shares with the scheduler and the store: the machine list, provisioning requests, and limits of
//! the protocol. No I/O here, so that the scheduler need not import the client.

use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

/// The most machines that one provisioning request may ask for.
pub const MAX_MACHINES_PER_PROVISIONING: usize = 50;
/// The most machines that one termination may name.
pub const MAX_MACHINES_PER_TERMINATION: usize = 100;

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedStatus {
    /// Not up yet.
    Booting,
    /// Up, or dead for less than half a minute.
    Running,
    /// Stopped on its own; free of charge.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Deserialize)]
pub struct Listed {
    /// Its name.
    #[serde(rename = "nameId")]
    pub machine: MachineId,
    /// Its type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Its state.
    pub status: ListedStatus,
    /// Time since the provisioning request, in seconds.
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

/// What to provision, under a name that is never used for anything else.
///
/// This is the stored form; its field names differ from those that the cloud's protocol has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRequest {
    /// The name of the request: the cloud carries out a repeated one once.
    #[serde(rename = "charter")]
    pub request_name: String,
    /// The machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether spot machines are asked for.
    pub spot: bool,
    /// Number of machines.
    pub count: usize,
}
