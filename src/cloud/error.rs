//! Errors of requests to the cloud, by whether the request may have been carried out.

use crate::http::{FailureCause, HttpError, MalformedResponse};
use thiserror::Error;

/// The reason why a request to the cloud failed.
#[derive(Debug, Error)]
pub enum CloudError {
    /// The cloud has no machines of this type in this zone, spot or on-demand as requested.
    #[error("no capacity")]
    NoCapacity,
    /// The request was not carried out: the rate limit was exceeded, the cloud is unavailable, or no connection could
    /// be opened.
    #[error("refused: {0}")]
    Refused(#[source] FailureCause),
    /// The outcome is unknown: the request may have been carried out, or may still be.
    #[error("no answer: {0}")]
    Unknown(#[source] FailureCause),
    /// The cloud rejected the request as invalid, or its response can't be parsed.
    #[error("malformed: {0}")]
    Malformed(#[from] MalformedResponse),
}

impl CloudError {
    /// Converts a transport error according to whether the request may have reached the cloud.
    pub(super) fn from_transport(error: HttpError) -> CloudError {
        match error {
            HttpError::NotSent(_) => CloudError::Refused(FailureCause::Transport(error)),
            HttpError::NoAnswer(_) => CloudError::Unknown(FailureCause::Transport(error)),
        }
    }
}
