//! Bodies of the cloud's protocol under the names that it gives to their fields.

use crate::cloud::error::CloudError;
use crate::cloud_types::{Listed, ProvisioningRequest};
use crate::http::{FailureCause, MalformedResponse};
use crate::scheduler::{MachineId, MachineType};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// What an empty body reads as.
const EMPTY_BODY: &[u8] = b"null";
/// Text in the body of a 503 that says that there are no machines, as opposed to an outage.
const NO_CAPACITY: &str = "no capacity";

/// The response with the machine types.
#[derive(Deserialize)]
pub(super) struct MachineTypes {
    #[serde(rename = "rigs")]
    pub(super) machine_types: Vec<MachineType>,
}

/// A page of the machine list.
#[derive(Deserialize)]
pub(super) struct MachineList {
    #[serde(rename = "hosts")]
    pub(super) machines: Vec<Listed>,
    /// Whether another page follows.
    #[serde(default)]
    pub(super) more: bool,
}

/// The response to a provisioning request.
#[derive(Deserialize)]
pub(super) struct Provisioned {
    #[serde(rename = "hosts")]
    pub(super) machines: Vec<MachineId>,
}

/// A provisioning request. The fields stand in the alphabetical order of their wire names, as they always were sent.
#[derive(Serialize)]
pub(super) struct ProvisionBody<'a> {
    #[serde(rename = "charter")]
    request_name: &'a str,
    #[serde(rename = "howMany")]
    count: usize,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "rig")]
    machine_type: &'a str,
    #[serde(rename = "yard")]
    zone: &'a str,
}

impl<'a> From<&'a ProvisioningRequest> for ProvisionBody<'a> {
    fn from(request: &'a ProvisioningRequest) -> ProvisionBody<'a> {
        ProvisionBody {
            request_name: &request.request_name,
            count: request.count,
            spot: request.spot,
            machine_type: &request.machine_type,
            zone: &request.zone,
        }
    }
}

/// A termination.
#[derive(Serialize)]
pub(super) struct TerminateBody<'a> {
    #[serde(rename = "hosts")]
    pub(super) machines: &'a [MachineId],
}

/// Returns the body of a successful response, or the error that the status stands for.
pub(super) fn parse_response<T: DeserializeOwned>(
    status: u16,
    body: &[u8],
) -> Result<T, CloudError> {
    let text = || String::from_utf8_lossy(body);
    match status {
        200 => {
            // The response to a termination may have no body.
            let json = if body.is_empty() { EMPTY_BODY } else { body };
            Ok(serde_json::from_slice(json).map_err(MalformedResponse::Json)?)
        }
        503 if text().contains(NO_CAPACITY) => Err(CloudError::NoCapacity),
        429 | 503 => Err(CloudError::Refused(FailureCause::Status(status))),
        500..=599 => Err(CloudError::Unknown(FailureCause::Status(status))),
        _ => {
            let body = text().into_owned();
            Err(MalformedResponse::Status { status, body }.into())
        }
    }
}
