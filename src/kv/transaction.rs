//! Transactions, which apply all of their changes atomically if all of their conditions hold.

use super::budget::Urgency;
use super::client::KvClient;
use super::error::KvError;
use super::lease::LeaseId;
use super::wire;
use crate::clock::sleep;
use crate::revision::Revision;
use futures_lite::FutureExt;
use http_types::Method;
use serde::Serialize;
use serde_json::Value;
use std::cell::Cell;

/// Maximum total size of the changes in one transaction, in bytes. The store accepts transactions of up to 64 KiB; the
/// rest is for the conditions.
pub const MAX_BATCH_BYTES: usize = 36 * 1024;

/// A compare-and-set condition of a transaction: the version that a key must have.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Condition {
    /// The key whose version is compared.
    #[serde(rename = "k")]
    pub key: String,
    /// The required version, or 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

impl Condition {
    /// Returns the condition that the key does not exist.
    pub fn absent(key: String) -> Condition {
        Condition {
            key,
            version: Revision::NONE,
        }
    }
}

/// A change within a transaction.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Put {
        /// The key to write.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease that the key is attached to; `None` if the key does not expire.
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Removes a key.
    Delete {
        /// The key to remove.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Change {
    /// Returns a write without a lease.
    pub fn put(key: String, value: Value) -> Change {
        Change::Put {
            key,
            value,
            lease: None,
        }
    }
}

/// The outcome of a transaction that the store has processed.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The changes were applied at this revision.
    Applied(Revision),
    /// Nothing was applied, because the versions of these keys differ from those in the conditions.
    Conflict(Vec<String>),
}

impl KvClient {
    /// Applies the changes if all conditions hold.
    ///
    /// # Errors
    ///
    /// After [`KvError::Refused`], nothing was applied. After [`KvError::Unknown`], the changes may have been applied,
    /// or may still be applied later.
    pub async fn txn(
        &self,
        urgency: Urgency,
        conditions: &[Condition],
        changes: &[Change],
    ) -> Result<Outcome, KvError> {
        self.budget.pace(urgency, changes.len()).await;
        let body = wire::transaction(conditions, changes)?;
        let expected = self.loss_detector.expect();
        let response = self.call(Method::Post, "/txn", Some(body)).await?;
        match response.status {
            200 => {
                let revision = response.parse::<wire::RevisionResponse>()?.revision;
                self.loss_detector.observe(expected, revision);
                Ok(Outcome::Applied(revision))
            }
            409 => {
                let conflict: wire::ConflictResponse = response.parse()?;
                if let Some(revision) = conflict.revision {
                    self.loss_detector.observe(expected, revision);
                }
                Ok(Outcome::Conflict(conflict.conflicting_keys))
            }
            _ => Err(response.unexpected()),
        }
    }

    /// Applies a transaction like [`KvClient::txn`] with [`Urgency::Now`], and sends it a second time if no response
    /// arrives within the retransmission timeout. Returns the result that arrives first, and whether the transaction
    /// was sent twice.
    ///
    /// Without the retransmission, a lost response would delay a user's request or a scheduling cycle by the full
    /// request timeout. If both copies reach the store, the later one fails with a conflict, provided that a condition
    /// names a key that the transaction changes.
    pub async fn txn_with_retransmit(
        &self,
        conditions: &[Condition],
        changes: &[Change],
    ) -> (Result<Outcome, KvError>, bool) {
        let retransmitted = Cell::new(false);
        let first = Box::pin(self.txn(Urgency::Now, conditions, changes));
        let second = Box::pin(async {
            let wait = self.retransmit_timer.borrow().retransmit_after();
            sleep(wait).await;
            retransmitted.set(true);
            self.txn(Urgency::Now, conditions, changes).await
        });
        (first.or(second).await, retransmitted.get())
    }
}
