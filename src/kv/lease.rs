//! Leases: keys that hang on one end with it.

use super::budget::Urgency;
use super::client::KvClient;
use super::error::KvError;
use super::response::Response;
use super::wire;
use crate::units::Micros;
use http_types::Method;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The id of a lease, given by the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl KvClient {
    /// Grants a lease that ends unless it is extended within `ttl`; returns its id.
    ///
    /// # Errors
    ///
    /// Fails where no usable response came in time; a lease that was granted all the same ends by itself.
    pub async fn grant(&self, ttl: Micros) -> Result<LeaseId, KvError> {
        self.budget.pace(Urgency::Now, 0).await;
        let body = wire::grant(ttl)?;
        let response = self.call(Method::Post, "/holds", Some(body)).await?;
        match response.status {
            200 => Ok(response.parse::<wire::Lease>()?.id),
            _ => Err(response.unexpected()),
        }
    }

    /// Extends a lease by its time to live, from now.
    ///
    /// # Errors
    ///
    /// [`KvError::LeaseNotFound`] if the lease has ended. After any other error it may have been extended or not.
    pub async fn extend(&self, lease: LeaseId) -> Result<(), KvError> {
        self.budget.pace(Urgency::Now, 0).await;
        let path = format!("/holds/{lease}/extend");
        let response = self.call(Method::Post, &path, None).await?;
        match response.status {
            200 => Ok(()),
            404 => Err(KvError::LeaseNotFound),
            _ => Err(response.unexpected()),
        }
    }

    /// Ends a lease at once, with the keys that hang on it; one that has ended already is no error.
    ///
    /// # Errors
    ///
    /// Fails where no usable response came in time; the lease then ends when its time to live is over.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), KvError> {
        self.budget.pace(Urgency::Now, 0).await;
        let path = format!("/holds/{lease}");
        let Response { status, .. } = self.call(Method::Delete, &path, None).await?;
        match status {
            200..=299 | 404 => Ok(()),
            _ => {
                let body = Vec::new();
                Err(Response { status, body }.unexpected())
            }
        }
    }
}
