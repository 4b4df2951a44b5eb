//! Why a request to the cloud failed, and whether it may have been carried out all the same.

use crate::http::HttpError;
use thiserror::Error;

/// Why the cloud did not do what was asked.
#[derive(Debug, Error)]
pub enum CloudError {
    /// There are no machines of this type, zone and kind.
    #[error("no capacity")]
    NoCapacity,
    /// Certainly not carried out: too many requests, an outage, or no connection.
    #[error("refused: {0}")]
    Refused(#[source] FailureCause),
    /// May have been carried out, or may still be.
    #[error("no answer: {0}")]
    Unknown(#[source] FailureCause),
    /// The cloud does not understand the request, or the client its response.
    #[error("malformed: {0}")]
    Malformed(#[from] MalformedResponse),
}

impl CloudError {
    /// Sorts a failure of the transport by whether the request can have reached the cloud.
    pub(super) fn from_transport(error: HttpError) -> CloudError {
        match error {
            HttpError::NotSent(_) => CloudError::Refused(FailureCause::Transport(error)),
            HttpError::NoAnswer(_) => CloudError::Unknown(FailureCause::Transport(error)),
        }
    }
}

/// The cause of a refusal or of a missing response.
#[derive(Debug, Error)]
pub enum FailureCause {
    /// The cloud answered with this status.
    #[error("status {0}")]
    Status(u16),
    /// The connection failed. Whether the request was sent is said by the [`CloudError`] around it.
    #[error("{}", .0.reason())]
    Transport(#[source] HttpError),
}

/// How a message breaks the protocol.
#[derive(Debug, Error)]
pub enum MalformedResponse {
    /// The body is not the JSON that was expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A status that the request can't have.
    #[error("status {status} {body}")]
    Status {
        /// The status.
        status: u16,
        /// The body, with replacement characters for what is not UTF-8.
        body: String,
    },
}
