//! Watches, which return the changes of the keys with a prefix after a given revision.

use super::budget::Urgency;
use super::client::KvClient;
use super::error::KvError;
use super::response::Response;
use crate::revision::Revision;
use crate::units::Micros;
use http_types::Method;
use serde::Deserialize;
use serde_json::Value;

/// Time added to a watch's requested wait to get its request timeout.
const WATCH_MARGIN: Micros = Micros::secs(2);

/// A change reported by a watch.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// The key that was written.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "data")]
        value: Value,
        /// The revision of the write.
        #[serde(rename = "stamp")]
        version: Revision,
    },
    /// A key was removed.
    Delete {
        /// The key that was removed.
        #[serde(rename = "delete")]
        key: String,
        /// The revision of the removal.
        #[serde(rename = "stamp")]
        version: Revision,
    },
}

/// The response to a watch.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which the response is complete; the next watch starts from it.
    #[serde(rename = "epoch")]
    pub revision: Revision,
    /// The changes in the order of their revisions; empty if there were none.
    #[serde(rename = "news", default)]
    pub events: Vec<Event>,
}

impl KvClient {
    /// Waits for changes of the keys with a prefix after the revision `from`. After `wait` without a change, returns a
    /// response without events.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::Compacted`] if the store no longer keeps the changes after `from`, and another error if no
    /// valid response arrives in time.
    pub async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Micros,
    ) -> Result<WatchResponse, KvError> {
        // A watch that waits for the debt of commits leaves the view behind, and no read barrier passes.
        self.budget.pace(Urgency::Now, 0).await;
        let path = format!(
            "/watch?prefix={prefix}&from={from}&waitMs={}",
            wait.as_millis()
        );
        let expected = self.loss_detector.expect();
        let request_timeout = wait + WATCH_MARGIN;
        let result = self
            .watcher
            .call(Method::Get, &path, None, request_timeout)
            .await;
        let response = Response::classify(result)?;
        match response.status {
            200 => {
                let watched: WatchResponse = response.parse()?;
                self.loss_detector.observe(expected, watched.revision);
                Ok(watched)
            }
            410 => Err(KvError::Compacted),
            _ => Err(response.unexpected()),
        }
    }
}
