//! Machine types offered by the cloud.

use crate::units::{Micros, Resources};
use serde::{Deserialize, Serialize};

/// A machine type, with its resources, prices and zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name by which the cloud and job specifications refer to it.
    #[serde(rename = "label")]
    pub name: String,
    /// Number of processor cores.
    pub cores: f64,
    /// Number of accelerators.
    #[serde(rename = "cards")]
    pub accelerators: f64,
    /// Memory in GB.
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    /// Capacity of the local image cache in GB.
    #[serde(rename = "localGb")]
    pub cache_gb: f64,
    /// Image fetch rate in GB per second.
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Spot price per hour.
    #[serde(rename = "lowPrice")]
    pub spot_price: f64,
    /// Usual provisioning time in seconds.
    #[serde(rename = "bootS")]
    pub provisioning_time_s: f64,
    /// Zones in which it is available.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Returns the total resources of a machine of this type.
    pub fn resources(&self) -> Resources {
        Resources::new(self.cores, self.accelerators, self.ram_gb)
    }

    /// Returns the usual time from provisioning a machine until its worker reports.
    pub fn provisioning_time(&self) -> Micros {
        Micros::from_secs_f64(self.provisioning_time_s)
    }
}
