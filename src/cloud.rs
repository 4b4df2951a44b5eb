//! Client for the cloud's API: machine types, the machine list, provisioning and termination.

mod error;
mod wire;

pub use crate::cloud_types::{
    ListedMachine, ListedStatus, MAX_MACHINES_PER_PROVISIONING, MAX_MACHINES_PER_TERMINATION,
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

/// Timeout of one request, connecting included.
const CALL_TIMEOUT: Micros = Micros::secs(4);
/// Number of machines requested per page of the machine list.
const PAGE_SIZE: usize = 500;
/// Maximum number of attempts to read a page that the cloud refuses.
const MAX_PAGE_ATTEMPTS: usize = 4;
/// Divisor of the cloud's request rate that gives the rate at which the machine list may be read. The remaining
/// requests are for provisioning and termination.
const LIST_RATE_DIVISOR: f64 = 2.0;

/// A client for the cloud, used by one controller.
pub struct Cloud {
    client: Client,
    /// Pause between two pages of the machine list, so that listing a large fleet leaves half of the request rate for
    /// provisioning and termination.
    page_pause: Micros,
}

impl Cloud {
    /// Creates a client for a cloud that accepts `rps` requests per second. Connections are opened when needed.
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
    /// Returns the [`CloudError`] of the request.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let response: MachineTypes = self.get("/flavors").await?;
        Ok(response.machine_types)
    }

    /// Returns all machines, read page by page. The cloud's list lags behind the actual state.
    ///
    /// If a page is refused, only that page is retried. Otherwise a single request above the rate limit would discard
    /// the pages already read, and the list of a fleet of many pages might never be complete.
    ///
    /// # Errors
    ///
    /// Returns an error if a page fails, or if the cloud refuses it at every attempt.
    pub async fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut machines: Vec<ListedMachine> = Vec::new();
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

    /// Returns the page of the machine list that starts after machine `last`, or the first page if that is `None`.
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

    /// Provisions machines and returns their ids. The request is idempotent: repeated under the same request name, it
    /// is carried out once.
    ///
    /// # Errors
    ///
    /// Returns [`CloudError::NoCapacity`] if the cloud has no machines of this type in this zone, spot or on-demand as
    /// requested, and otherwise the error of the request. After [`CloudError::Unknown`] the machines may exist.
    pub async fn provision(
        &self,
        request: &ProvisioningRequest,
    ) -> Result<Vec<MachineId>, CloudError> {
        let body = ProvisionBody::from(request);
        let response: Provisioned = self.post("/hosts", &body).await?;
        Ok(response.machines)
    }

    /// Terminates machines. On success the machines, their tasks and their local data no longer exist.
    ///
    /// # Errors
    ///
    /// Returns the [`CloudError`] of the request. After [`CloudError::Unknown`] the machines may have been terminated.
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
            self.client.close_idle_connections();
            CloudError::from_transport(e)
        })?;
        parse_response(status, &bytes)
    }
}

#[cfg(test)]
mod tests;
