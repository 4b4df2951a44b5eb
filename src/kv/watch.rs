//! Watches: changes of the keys with a prefix, from a revision on.

use super::budget::Urgency;
use super::client::KvClient;
use super::error::KvError;
use super::response::Response;
use crate::revision::Revision;
use crate::units::Micros;
use http_types::Method;
use serde::Deserialize;
use serde_json::Value;

/// How much longer than it asked for a watch may take.
const WATCH_MARGIN: Micros = Micros::secs(2);

/// A change seen by a watch.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The value.
        #[serde(rename = "data")]
        value: Value,
        /// The revision of the write.
        #[serde(rename = "stamp")]
        version: Revision,
    },
    /// A key was removed.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
        /// The revision of the removal.
        #[serde(rename = "stamp")]
        version: Revision,
    },
}

/// What a watch answered.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which no change is left out.
    #[serde(rename = "epoch")]
    pub revision: Revision,
    /// The changes, in order.
    #[serde(rename = "news", default)]
    pub events: Vec<Event>,
}

impl KvClient {
    /// Waits for changes after the revision `from` of keys with a prefix, for at most `wait`; returns none if there were none.
    ///
    /// # Errors
    ///
    /// [`KvError::Compacted`] if the service no longer keeps the changes after `from`.
    pub async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Micros,
    ) -> Result<WatchResponse, KvError> {
        self.budget.pace(Urgency::Paced, 0).await;
        let path = format!(
            "/watch?prefix={prefix}&from={from}&waitMs={}",
            wait.as_millis()
        );
        let expected = self.loss_detector.expect();
        let limit = wait + WATCH_MARGIN;
        let result = self.watcher.call(Method::Get, &path, None, limit).await;
        let response = Response::classify(result)?;
        match response.status {
            200 => {
                let changes: WatchResponse = response.parse()?;
                self.loss_detector.observe(expected, changes.revision);
                Ok(changes)
            }
            410 => Err(KvError::Compacted),
            _ => Err(response.unexpected()),
        }
    }
}
