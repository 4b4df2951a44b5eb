//! The cloud's client: machine types, machine list, provisioning requests and returns.

use crate::clock::sleep;
use crate::http::{Client, HttpError};
use crate::scheduler::{MachineId, MachineType};
use crate::units::Micros;
use http_types::Method;
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use thiserror::Error;

const CALL_TIMEOUT: Micros = Micros::secs(4);
const PAGE: usize = 500;
/// How often a page that was refused is asked for.
const PAGE_TRIES: usize = 4;
/// The most machines one provisioning request may ask for.
pub const MAX_MACHINES_PER_PROVISIONING: usize = 50;
/// The most machines one return may name.
pub const MAX_MACHINES_PER_TERMINATION: usize = 100;

/// Why the cloud did not do what was asked.
#[derive(Debug, Error)]
pub enum CloudError {
    /// None to be had of this type, zone and kind.
    #[error("no capacity")]
    NoCapacity,
    /// Certainly not executed: too many requests, an outage, or no connection.
    #[error("refused: {0}")]
    Refused(String),
    /// May have been executed, or may be later.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The cloud finds the request, or we find the answer, senseless.
    #[error("malformed: {0}")]
    Malformed(String),
}

/// A machine's state in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedStatus {
    /// Not up yet.
    Booting,
    /// Up, or dead for less than half a minute.
    Running,
    /// Stopped on its own; free of charge.
    Failed,
    /// Something this version does not know.
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
    /// Whether the cloud may take it back.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Its state.
    pub status: ListedStatus,
    /// Time since the provisioning request.
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

#[derive(Deserialize)]
struct MachineTypes {
    #[serde(rename = "rigs")]
    machine_types: Vec<MachineType>,
}

#[derive(Deserialize)]
struct Listing {
    hosts: Vec<Listed>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct Rented {
    hosts: Vec<MachineId>,
}

/// What to provision, under a name that is never used for anything else. It is stored with the names that it is sent with.
#[derive(Debug, Clone, PartialEq, serde::Serialize, Deserialize)]
pub struct ProvisioningRequest {
    /// The name of the request.
    #[serde(rename = "charter")]
    pub request_name: String,
    /// The machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether spot.
    pub spot: bool,
    /// How many.
    pub count: usize,
}

/// The cloud as one controller sees it.
pub struct Cloud {
    client: Client,
    /// Time between two pages of the machine list, so that listing a large fleet leaves half of the requests to provisioning requests
    /// and returns.
    between_pages: Micros,
}

impl Cloud {
    /// A client without connections.
    pub fn new(addr: SocketAddr, rps: f64) -> Cloud {
        Cloud {
            client: Client::new(addr),
            between_pages: Micros::from_secs_f64(2.0 / rps),
        }
    }

    async fn call<T: for<'a> Deserialize<'a>>(
        &self,
        method: Method,
        path: &str,
        body: Option<serde_json::Value>,
    ) -> Result<T, CloudError> {
        let body = body.map(|b| b.to_string().into_bytes());
        let answer = self.client.call(method, path, body, CALL_TIMEOUT).await;
        let (status, bytes) = answer.map_err(|e| {
            self.client.forget_idle();
            match e {
                HttpError::NotSent(e) => CloudError::Refused(e),
                HttpError::NoAnswer(e) => CloudError::Unknown(e),
            }
        })?;
        let text = String::from_utf8_lossy(&bytes);
        match status {
            // An empty body, as a return may have, reads as null.
            200 if bytes.is_empty() => serde_json::from_str("null"),
            200 => serde_json::from_slice(&bytes),
            503 if text.contains("no capacity") => return Err(CloudError::NoCapacity),
            429 | 503 => return Err(CloudError::Refused(format!("status {status}"))),
            500..=599 => return Err(CloudError::Unknown(format!("status {status}"))),
            _ => return Err(CloudError::Malformed(format!("status {status} {text}"))),
        }
        .map_err(|e| CloudError::Malformed(e.to_string()))
    }

    /// The machine types and their current prices.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let machine_types: MachineTypes = self.call(Method::Get, "/flavors", None).await?;
        Ok(machine_types.machine_types)
    }

    /// All machines, as the lagging list has them, read page by page.
    ///
    /// Guards against a fleet of many pages whose list is never read to its end: one request too many, and all pages read
    /// so far would be read again.
    pub async fn list(&self) -> Result<Vec<Listed>, CloudError> {
        let mut all: Vec<Listed> = Vec::new();
        loop {
            let page = self.page(all.last().map(|l| &l.machine)).await?;
            let end = !page.more || page.hosts.is_empty();
            all.extend(page.hosts);
            if end {
                return Ok(all);
            }
            sleep(self.between_pages).await;
        }
    }

    /// A page of the machine list; one that is refused is asked for again.
    async fn page(&self, from: Option<&MachineId>) -> Result<Listing, CloudError> {
        let path = match from {
            Some(last) => format!("/hosts?from={last}&page={PAGE}"),
            None => format!("/hosts?page={PAGE}"),
        };
        let mut tries = PAGE_TRIES;
        loop {
            tries -= 1;
            match self.call(Method::Get, &path, None).await {
                Err(CloudError::Refused(_)) if tries > 0 => sleep(self.between_pages).await,
                answer => return answer,
            }
        }
    }

    /// Provisions machines; the same request may be repeated and rents once.
    pub async fn provision(&self, r: &ProvisioningRequest) -> Result<Vec<MachineId>, CloudError> {
        let body = json!({"charter": r.request_name, "rig": r.machine_type, "yard": r.zone,
            "loaners": r.spot, "howMany": r.count});
        let rented: Rented = self.call(Method::Post, "/hosts", Some(body)).await?;
        Ok(rented.hosts)
    }

    /// Terminates machines; once this succeeds they are gone with everything on them.
    pub async fn terminate(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let body = json!({ "hosts": machines });
        let _: serde_json::Value = self.call(Method::Post, "/hosts/return", Some(body)).await?;
        Ok(())
    }
}
