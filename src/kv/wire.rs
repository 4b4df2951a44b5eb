//! Messages of the protocol that are nothing else to the client, under the protocol's field names.

use super::error::KvError;
use super::lease::LeaseId;
use super::transaction::{Change, Condition};
use crate::revision::Revision;
use crate::units::Micros;
use serde::{Deserialize, Serialize};

#[derive(Serialize)]
struct Transaction<'a> {
    when: &'a [Condition],
    writes: &'a [Change],
}

#[derive(Serialize)]
struct Grant {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

/// Returns the body of a transaction.
pub(super) fn transaction(when: &[Condition], writes: &[Change]) -> Result<Vec<u8>, KvError> {
    encode(&Transaction { when, writes })
}

/// Returns the body of a request for a lease.
pub(super) fn grant(ttl: Micros) -> Result<Vec<u8>, KvError> {
    let ttl_ms = ttl.as_millis();
    encode(&Grant { ttl_ms })
}

/// Encodes a body with the fields of each object in the order of their names, as earlier releases sent them.
fn encode(body: &impl Serialize) -> Result<Vec<u8>, KvError> {
    let sorted = serde_json::to_value(body)?;
    Ok(serde_json::to_vec(&sorted)?)
}

/// What tells only the revision as of which it was given.
#[derive(Deserialize)]
pub(super) struct RevisionResponse {
    #[serde(rename = "epoch")]
    pub revision: Revision,
}

/// A transaction whose conditions did not hold.
#[derive(Deserialize)]
pub(super) struct Failed {
    #[serde(default)]
    pub failed: Vec<String>,
    #[serde(rename = "epoch")]
    pub revision: Option<Revision>,
}

/// A lease that was granted.
#[derive(Deserialize)]
pub(super) struct Lease {
    #[serde(rename = "tenure")]
    pub id: LeaseId,
}

#[cfg(test)]
mod tests;
