//! What a failed exchange with an outside service was caused by; the services' own errors say what it means for them.

use super::client::HttpError;
use std::fmt;
use thiserror::Error;

/// What a refusal or a missing response was caused by.
#[derive(Error)]
pub enum FailureCause {
    /// The service answered with this HTTP status.
    #[error("status {0}")]
    Status(u16),
    /// The connection failed. Whether the request was sent is said by the error around it.
    #[error("{}", .0.reason())]
    Transport(#[source] HttpError),
}

/// How a response breaks the protocol.
#[derive(Error)]
pub enum MalformedResponse {
    /// The body is not the JSON that was expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The status is none that the request can have.
    #[error("status {status} {body}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// The body, or the beginning of it, with replacement characters for what is not UTF-8.
        body: String,
    },
}

// Log lines print causes with `{:?}`: as one quoted string.

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
