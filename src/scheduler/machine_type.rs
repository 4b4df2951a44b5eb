//! Machine types as the cloud offers them.

use crate::units::{Micros, Resources};
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// Processors.
    pub cores: f64,
    /// Accelerators.
    #[serde(rename = "cards")]
    pub accelerators: f64,
    /// Memory in GB.
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    /// Room for cached images in GB.
    #[serde(rename = "localGb")]
    pub cache_gb: f64,
    /// Image fetch rate.
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Spot price an hour.
    #[serde(rename = "lowPrice")]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "bootS")]
    pub boot_s: f64,
    /// Zones where it can be had.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// What a machine of this type has.
    pub fn resources(&self) -> Resources {
        Resources::new(self.cores, self.accelerators, self.ram_gb)
    }

    /// Usual boot time.
    pub fn boot(&self) -> Micros {
        Micros::from_secs_f64(self.boot_s)
    }
}
