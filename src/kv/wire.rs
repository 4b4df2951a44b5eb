//! The protocol's messages under its own field names, mapped to the client's types here and nowhere else.

use super::error::KvError;
use super::lease::LeaseId;
use super::{items, transaction, watch};
use crate::revision::Revision;
use crate::units::Micros;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::Value;

#[derive(Serialize)]
struct Transaction<'a> {
    when: &'a [transaction::Condition],
    writes: &'a [transaction::Change],
}

#[derive(Serialize)]
struct Condition<'a> {
    #[serde(rename = "k")]
    key: &'a str,
    #[serde(rename = "stamp")]
    version: Revision,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Change<'a> {
    Put {
        #[serde(rename = "write")]
        key: &'a str,
        #[serde(rename = "data")]
        value: &'a Value,
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: &'a str,
    },
}

#[derive(Serialize)]
struct Grant {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

/// Returns the body of a transaction.
pub(super) fn transaction(
    when: &[transaction::Condition],
    writes: &[transaction::Change],
) -> Result<Vec<u8>, KvError> {
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

impl Serialize for transaction::Condition {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let condition = Condition {
            key: &self.key,
            version: self.version,
        };
        condition.serialize(serializer)
    }
}

impl Serialize for transaction::Change {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let change = match self {
            transaction::Change::Put { key, value, lease } => Change::Put {
                key,
                value,
                lease: *lease,
            },
            transaction::Change::Delete { key } => Change::Delete { key },
        };
        change.serialize(serializer)
    }
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

#[derive(Deserialize)]
pub(super) struct Item {
    #[serde(rename = "k")]
    key: String,
    #[serde(rename = "data")]
    value: Value,
    #[serde(rename = "stamp")]
    version: Revision,
}

#[derive(Deserialize)]
pub(super) struct Page {
    items: Vec<Item>,
    more: bool,
    #[serde(rename = "epoch")]
    revision: Revision,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Event {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "stamp")]
        version: Revision,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
        #[serde(rename = "stamp")]
        version: Revision,
    },
}

#[derive(Deserialize)]
pub(super) struct WatchResponse {
    #[serde(rename = "epoch")]
    revision: Revision,
    #[serde(rename = "news", default)]
    events: Vec<Event>,
}

impl From<Item> for items::Item {
    fn from(item: Item) -> items::Item {
        items::Item {
            key: item.key,
            value: item.value,
            version: item.version,
        }
    }
}

impl From<Page> for items::Page {
    fn from(page: Page) -> items::Page {
        items::Page {
            items: page.items.into_iter().map(items::Item::from).collect(),
            more: page.more,
            revision: page.revision,
        }
    }
}

impl From<Event> for watch::Event {
    fn from(event: Event) -> watch::Event {
        match event {
            Event::Put {
                key,
                value,
                version,
            } => watch::Event::Put {
                key,
                value,
                version,
            },
            Event::Delete { key, version } => watch::Event::Delete { key, version },
        }
    }
}

impl From<WatchResponse> for watch::WatchResponse {
    fn from(response: WatchResponse) -> watch::WatchResponse {
        let events = response.events.into_iter();
        watch::WatchResponse {
            revision: response.revision,
            events: events.map(watch::Event::from).collect(),
        }
    }
}

#[cfg(test)]
mod tests;
