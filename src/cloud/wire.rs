//! Request and response bodies of the cloud's API, serialized under the field names of that API.

use crate::cloud::error::CloudError;
use crate::cloud_types::{ListedMachine, ProvisioningRequest};
use crate::http::{FailureCause, MalformedResponse};
use crate::scheduler::{MachineId, MachineType};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// JSON that is parsed in place of an empty body.
const EMPTY_BODY_JSON: &[u8] = b"null";
/// Text in the body of a 503 response by which the cloud reports a lack of machines rather than an outage.
const NO_CAPACITY: &str = "no capacity";

/// Response to a request for the machine types.
#[derive(Deserialize)]
pub(super) struct MachineTypes {
    #[serde(rename = "rigs")]
    pub(super) machine_types: Vec<MachineType>,
}

/// One page of the machine list.
#[derive(Deserialize)]
pub(super) struct MachineList {
    #[serde(rename = "hosts")]
    pub(super) machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(default)]
    pub(super) more: bool,
}

/// Response to a provisioning request: the ids of the new machines.
#[derive(Deserialize)]
pub(super) struct Provisioned {
    #[serde(rename = "hosts")]
    pub(super) machines: Vec<MachineId>,
}

/// Body of a provisioning request. The fields are declared in the alphabetical order of their wire names, which keeps
/// the bytes of the request the same across versions.
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

/// Body of a termination request.
#[derive(Serialize)]
pub(super) struct TerminateBody<'a> {
    #[serde(rename = "hosts")]
    pub(super) machines: &'a [MachineId],
}

/// Parses the body of a successful response, or returns the error that corresponds to the status.
pub(super) fn parse_response<T: DeserializeOwned>(
    status: u16,
    body: &[u8],
) -> Result<T, CloudError> {
    let text = || String::from_utf8_lossy(body);
    match status {
        200 => {
            // The response to a successful termination may have an empty body.
            let json = if body.is_empty() {
                EMPTY_BODY_JSON
            } else {
                body
            };
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
