//! Reads of a single key, and paged listings of the keys with a prefix.

use super::budget::Urgency;
use super::client::KvClient;
use super::error::KvError;
use super::wire;
use crate::revision::Revision;
use http_types::Method;
use serde::Deserialize;
use serde_json::Value;

/// Number of keys requested per page of a listing.
const PAGE_SIZE: usize = 1_000;

/// A stored key with its value and version.
#[derive(Debug, Clone, Deserialize)]
pub struct Item {
    /// The full key, including its prefix.
    #[serde(rename = "k")]
    pub key: String,
    /// The stored JSON value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision at which the key was last written.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// One page of a listing.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// The keys of this page in ascending order.
    pub items: Vec<Item>,
    /// Whether further keys follow after this page.
    #[serde(rename = "more")]
    pub has_more: bool,
    /// The store's revision when the page was read.
    #[serde(rename = "epoch")]
    pub revision: Revision,
}

/// The result of reading a key.
#[derive(Debug, Clone)]
pub enum Lookup {
    /// The key exists.
    Found(Item),
    /// The key does not exist.
    Absent {
        /// The store's revision when the key was read.
        revision: Revision,
    },
}

impl KvClient {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails if no valid response arrives in time. A key that does not exist is no error: it is [`Lookup::Absent`].
    pub async fn get(&self, urgency: Urgency, key: &str) -> Result<Lookup, KvError> {
        self.budget.pace(urgency, 0).await;
        let expected = self.loss_detector.expect();
        let path = format!("/keys/{key}");
        let response = self.call(Method::Get, &path, None).await?;
        match response.status {
            200 => Ok(Lookup::Found(response.parse()?)),
            404 => {
                let revision = response.parse::<wire::RevisionResponse>()?.revision;
                self.loss_detector.observe(expected, revision);
                Ok(Lookup::Absent { revision })
            }
            _ => Err(response.unexpected()),
        }
    }

    /// Lists one page of the keys with a prefix in ascending order, starting after the key `from`, or with the first
    /// key if `from` is empty.
    ///
    /// # Errors
    ///
    /// Fails if no valid response arrives in time.
    pub async fn list(&self, prefix: &str, from: &str) -> Result<Page, KvError> {
        self.budget.pace(Urgency::Paced, 0).await;
        let mut path = format!("/keys?prefix={prefix}&page={PAGE_SIZE}");
        if !from.is_empty() {
            path.push_str(&format!("&from={from}"));
        }
        let expected = self.loss_detector.expect();
        let response = self.call(Method::Get, &path, None).await?;
        match response.status {
            200 => {
                let page: Page = response.parse()?;
                self.loss_detector.observe(expected, page.revision);
                Ok(page)
            }
            _ => Err(response.unexpected()),
        }
    }
}
