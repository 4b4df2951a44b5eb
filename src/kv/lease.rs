//! Leases. When a lease expires or is revoked, the store deletes the keys attached to it.

use super::budget::Urgency;
use super::client::KvClient;
use super::error::KvError;
use super::response::Response;
use super::wire;
use crate::units::Micros;
use http_types::Method;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The id of a lease, assigned by the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl KvClient {
    /// Requests a lease that expires unless it is extended within `ttl`, and returns its id.
    ///
    /// # Errors
    ///
    /// Fails if no valid response arrives in time. The store may have granted a lease in that case, which then expires.
    pub async fn grant(&self, ttl: Micros) -> Result<LeaseId, KvError> {
        self.budget.pace(Urgency::Now, 0).await;
        let body = wire::grant(ttl)?;
        let response = self.call(Method::Post, "/holds", Some(body)).await?;
        match response.status {
            200 => Ok(response.parse::<wire::LeaseResponse>()?.id),
            _ => Err(response.unexpected()),
        }
    }

    /// Restarts the lease's time to live.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::LeaseNotFound`] if the lease has expired or was revoked. After any other error, the lease may
    /// or may not have been extended.
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

    /// Revokes a lease, which deletes the keys attached to it. Succeeds if the lease no longer exists.
    ///
    /// # Errors
    ///
    /// Fails if no valid response arrives in time. The lease then expires after its time to live at the latest.
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
