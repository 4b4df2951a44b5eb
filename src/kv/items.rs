//! Reading keys: one by its name, or page by page those with a prefix.

use super::budget::Urgency;
use super::client::KvClient;
use super::error::KvError;
use super::wire;
use crate::revision::Revision;
use http_types::Method;
use serde::Deserialize;
use serde_json::Value;

/// Keys that one request lists.
const PAGE_SIZE: usize = 1_000;

/// A key with its value and version.
#[derive(Debug, Clone, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision at which it was last written.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// A page of keys.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// The keys, in order.
    pub items: Vec<Item>,
    /// Whether more follow.
    pub more: bool,
    /// The revision that the page describes.
    #[serde(rename = "epoch")]
    pub revision: Revision,
}

/// What is stored under a key.
#[derive(Debug, Clone)]
pub enum Lookup {
    /// The key exists.
    Found(Item),
    /// The key does not exist.
    Absent {
        /// The revision as of which it does not.
        revision: Revision,
    },
}

impl KvClient {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails where no usable response came in time; a key that does not exist is [`Lookup::Absent`].
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

    /// Returns a page of the keys with a prefix, in order, beginning after the key `from`; an empty `from` is the beginning.
    ///
    /// # Errors
    ///
    /// Fails where no usable response came in time.
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
