//! Why a request to the cloud failed, and whether it may have been carried out all the same.

use crate::http::{FailureCause, HttpError, MalformedResponse};
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
