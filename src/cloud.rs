//! The cloud's client: machine types, machine list, provisioning and termination.

mod error;
mod wire;

pub use crate::cloud_types::{
    Listed, ListedStatus, MAX_MACHINES_PER_PROVISIONING, MAX_MACHINES_PER_TERMINATION,
    ProvisioningRequest,
};
pub use error::CloudError;

use crate::clock::sleep;
use crate::http::{Client, MalformedResponse};
use crate::scheduler::{MachineId, MachineType};
use crate::units::Micros;
use http_types::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use wire::{MachineList, MachineTypes, ProvisionBody, Provisioned, TerminateBody, parse_response};

/// How long a request may take.
const CALL_TIMEOUT: Micros = Micros::secs(4);
/// Machines in one page of the machine list.
const PAGE_SIZE: usize = 500;
/// How often a page is requested while the cloud refuses it.
const MAX_PAGE_ATTEMPTS: usize = 4;
/// Share of the request rate, as a divisor, that reading the machine list may take: the rest is left to provisioning and
/// termination.
const LIST_RATE_DIVISOR: f64 = 2.0;

/// The cloud as one controller sees it.
pub struct Cloud {
    client: Client,
    /// Pause between two pages of the machine list, so that listing a large fleet leaves half of the requests to
    /// provisioning and termination.
    page_pause: Micros,
}

impl Cloud {
    /// Creates a client without connections for a cloud that takes `rps` requests a second.
    pub fn new(addr: SocketAddr, rps: f64) -> Cloud {
        Cloud {
            client: Client::new(addr),
            page_pause: Micros::from_secs_f64(LIST_RATE_DIVISOR / rps),
        }
    }

    /// Returns the machine types with their current prices.
    ///
    /// # Errors
    ///
    /// Fails as every request to the cloud does; see [`CloudError`].
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let response: MachineTypes = self.get("/flavors").await?;
        Ok(response.machine_types)
    }

    /// Returns all machines, as the lagging list has them, read page by page.
    ///
    /// Guards against a fleet of many pages whose list is never read to its end: one request too many, and all pages read
    /// so far would be read again.
    ///
    /// # Errors
    ///
    /// Fails where a page fails, or is refused at every attempt.
    pub async fn list(&self) -> Result<Vec<Listed>, CloudError> {
        let mut machines: Vec<Listed> = Vec::new();
        loop {
            let page = self.page_after(machines.last().map(|l| &l.machine)).await?;
            let is_last = !page.more || page.machines.is_empty();
            machines.extend(page.machines);
            if is_last {
                return Ok(machines);
            }
            sleep(self.page_pause).await;
        }
    }

    /// Returns the page of the machine list that follows a machine, or the first one.
    async fn page_after(&self, last: Option<&MachineId>) -> Result<MachineList, CloudError> {
        let path = match last {
            Some(last) => format!("/hosts?from={last}&page={PAGE_SIZE}"),
            None => format!("/hosts?page={PAGE_SIZE}"),
        };
        for _ in 1..MAX_PAGE_ATTEMPTS {
            match self.get(&path).await {
                Err(CloudError::Refused(_)) => sleep(self.page_pause).await,
                result => return result,
            }
        }
        self.get(&path).await
    }

    /// Provisions machines and returns their names. The request may be repeated and is carried out once.
    ///
    /// # Errors
    ///
    /// Fails with [`CloudError::NoCapacity`] where there are no machines of this type, zone and kind, otherwise as every
    /// request does. After [`CloudError::Unknown`] the machines may exist.
    pub async fn provision(
        &self,
        request: &ProvisioningRequest,
    ) -> Result<Vec<MachineId>, CloudError> {
        let body = ProvisionBody::from(request);
        let response: Provisioned = self.post("/hosts", &body).await?;
        Ok(response.machines)
    }

    /// Terminates machines. Once this succeeds they are gone with everything on them.
    ///
    /// # Errors
    ///
    /// Fails as every request to the cloud does. After [`CloudError::Unknown`] the machines may be gone.
    pub async fn terminate(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let _: Value = self
            .post("/hosts/return", &TerminateBody { machines })
            .await?;
        Ok(())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CloudError> {
        self.call(Method::Get, path, None).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CloudError> {
        let body = serde_json::to_vec(body).map_err(MalformedResponse::Json)?;
        self.call(Method::Post, path, Some(body)).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<T, CloudError> {
        let result = self.client.call(method, path, body, CALL_TIMEOUT).await;
        let (status, bytes) = result.map_err(|e| {
            self.client.forget_idle();
            CloudError::from_transport(e)
        })?;
        parse_response(status, &bytes)
    }
}

#[cfg(test)]
mod tests;
