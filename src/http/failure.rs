//! Causes of failed requests to external services. The error types of the services define what a cause means for them.

use super::client::HttpError;
use std::fmt;
use thiserror::Error;

/// The cause of a refused request or a missing response.
#[derive(Error)]
pub enum FailureCause {
    /// The service responded with this HTTP status.
    #[error("status {0}")]
    Status(u16),
    /// The connection failed. The enclosing error states whether the request was sent.
    #[error("{}", .0.reason())]
    Transport(#[source] HttpError),
}

/// The reason why a response is invalid.
#[derive(Error)]
pub enum MalformedResponse {
    /// The body is not JSON, or not of the expected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The status is not one that this request can have.
    #[error("status {status} {body}")]
    Status {
        /// HTTP status of the response.
        status: u16,
        /// The body or its beginning. Invalid UTF-8 is replaced by replacement characters.
        body: String,
    },
}

// `Debug` prints one quoted string, because log lines print causes with `{:?}`.

impl fmt::Debug for FailureCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.to_string(), f)
    }
}

impl fmt::Debug for MalformedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.to_string(), f)
    }
}
