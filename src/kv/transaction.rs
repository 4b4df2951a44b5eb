//! Transactions: changes that are applied together, or not at all where a condition does not hold.

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

/// Most bytes of the changes in a transaction of 64 KiB, which leaves room for its conditions.
pub const MAX_BATCH_BYTES: usize = 36 * 1024;

/// A condition of a transaction: the version that a key must have.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its version, 0 where it must not exist.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

impl Condition {
    /// The condition that the key does not exist.
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
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease with which the key ends, if any.
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Change {
    /// A write without a lease.
    pub fn put(key: String, value: Value) -> Change {
        Change::Put {
            key,
            value,
            lease: None,
        }
    }
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Applied at this revision.
    Applied(Revision),
    /// Not applied: these keys were at other versions.
    Conflict(Vec<String>),
}

impl KvClient {
    /// Applies a transaction if its conditions hold.
    ///
    /// # Errors
    ///
    /// After [`KvError::Refused`] it is certain that nothing was applied; after [`KvError::Unknown`] it may have been, or
    /// may be later.
    pub async fn txn(
        &self,
        urgency: Urgency,
        when: &[Condition],
        writes: &[Change],
    ) -> Result<Outcome, KvError> {
        self.budget.pace(urgency, writes.len()).await;
        let body = wire::transaction(when, writes)?;
        let expected = self.loss_detector.expect();
        let response = self.call(Method::Post, "/txn", Some(body)).await?;
        match response.status {
            200 => {
                let revision = response.parse::<wire::RevisionResponse>()?.revision;
                self.loss_detector.observe(expected, revision);
                Ok(Outcome::Applied(revision))
            }
            409 => {
                let conflict: wire::Failed = response.parse()?;
                if let Some(revision) = conflict.revision {
                    self.loss_detector.observe(expected, revision);
                }
                Ok(Outcome::Conflict(conflict.failed))
            }
            _ => Err(response.unexpected()),
        }
    }

    /// Applies a transaction like [`KvClient::txn`] with [`Urgency::Now`], and sends it a second time where the first stays
    /// without a response for longer than responses take of late. Returns the first outcome, and whether a copy was sent.
    ///
    /// Guards against a lost response that holds up a user, or a scheduling cycle, for as long as a request may take. Of two
    /// copies that both arrive the later one fails, if the conditions name a key that the first changed.
    pub async fn txn_with_retransmit(
        &self,
        when: &[Condition],
        writes: &[Change],
    ) -> (Result<Outcome, KvError>, bool) {
        let retransmitted = Cell::new(false);
        let first = Box::pin(self.txn(Urgency::Now, when, writes));
        let second = Box::pin(async {
            let wait = self.response_time.borrow().retransmit_after();
            sleep(wait).await;
            retransmitted.set(true);
            self.txn(Urgency::Now, when, writes).await
        });
        (first.or(second).await, retransmitted.get())
    }
}
