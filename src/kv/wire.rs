//! Messages that are used only to encode requests to the key-value store and to decode its responses.

use super::error::KvError;
use super::lease::LeaseId;
use super::transaction::{Change, Condition};
use crate::revision::Revision;
use crate::units::Micros;
use serde::{Deserialize, Serialize};

#[derive(Serialize)]
struct TransactionRequest<'a> {
    #[serde(rename = "when")]
    conditions: &'a [Condition],
    #[serde(rename = "writes")]
    changes: &'a [Change],
}

#[derive(Serialize)]
struct GrantRequest {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

/// Returns the body of a request that applies a transaction.
pub(super) fn transaction(
    conditions: &[Condition],
    changes: &[Change],
) -> Result<Vec<u8>, KvError> {
    encode(&TransactionRequest {
        conditions,
        changes,
    })
}

/// Returns the body of a request that grants a lease.
pub(super) fn grant(ttl: Micros) -> Result<Vec<u8>, KvError> {
    let ttl_ms = ttl.as_millis();
    encode(&GrantRequest { ttl_ms })
}

/// Encodes a body with the fields of each object sorted by name, which gives the same bytes as in earlier releases.
fn encode(body: &impl Serialize) -> Result<Vec<u8>, KvError> {
    let sorted = serde_json::to_value(body)?;
    Ok(serde_json::to_vec(&sorted)?)
}

/// The revision in a response that carries nothing else of use to the client.
#[derive(Deserialize)]
pub(super) struct RevisionResponse {
    #[serde(rename = "epoch")]
    pub revision: Revision,
}

/// The response to a transaction whose conditions do not all hold.
#[derive(Deserialize)]
pub(super) struct ConflictResponse {
    #[serde(rename = "failed", default)]
    pub conflicting_keys: Vec<String>,
    #[serde(rename = "epoch")]
    pub revision: Option<Revision>,
}

/// The response to a granted lease.
#[derive(Deserialize)]
pub(super) struct LeaseResponse {
    #[serde(rename = "tenure")]
    pub id: LeaseId,
}

#[cfg(test)]
mod tests;
