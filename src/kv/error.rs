//! Why a request to the state service failed, and whether it may have been executed all the same.

use crate::http::HttpError;
use std::fmt;
use thiserror::Error;

/// Why the state service did not do what was asked.
#[derive(Debug, Error)]
pub enum KvError {
    /// Certainly not executed: the service refused it (429 or 503), or no connection came about.
    #[error("refused: {0}")]
    Refused(#[source] FailureCause),
    /// May have been executed, or may still be: the service failed, or no response came in time.
    #[error("no answer: {0}")]
    Unknown(#[source] FailureCause),
    /// The lease does not exist: it expired or was revoked.
    #[error("no such lease")]
    NoLease,
    /// The watch began at a revision whose changes the service no longer keeps; the keys must be listed anew.
    #[error("watch too old")]
    TooOld,
    /// The response does not follow the protocol.
    #[error("malformed: {0}")]
    Malformed(#[source] MalformedResponse),
}

impl KvError {
    /// Sorts a failure of the transport by whether the request can have reached the service.
    pub(super) fn from_transport(error: HttpError) -> KvError {
        match error {
            HttpError::NotSent(_) => KvError::Refused(FailureCause::Transport(error)),
            HttpError::NoAnswer(_) => KvError::Unknown(FailureCause::Transport(error)),
        }
    }
}

impl From<serde_json::Error> for KvError {
    fn from(error: serde_json::Error) -> KvError {
        KvError::Malformed(MalformedResponse::Json(error))
    }
}

/// What a refusal or a missing response was caused by.
#[derive(Error)]
pub enum FailureCause {
    /// The service answered with this HTTP status.
    #[error("status {0}")]
    Status(u16),
    /// The connection failed.
    #[error("{}", transport_reason(.0))]
    Transport(#[source] HttpError),
}

/// The reason alone: whether the request was sent is said by the [`KvError`] around it.
fn transport_reason(error: &HttpError) -> &dyn fmt::Display {
    match error {
        HttpError::NotSent(reason) | HttpError::NoAnswer(reason) => reason,
    }
}

/// How a response breaks the protocol.
#[derive(Error)]
pub enum MalformedResponse {
    /// The body is not the JSON that was expected.
    #[error(transparent)]
    Json(serde_json::Error),
    /// The status is none that the request can have.
    #[error("status {status} {body}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// The beginning of the body.
        body: String,
    },
}

// Log lines print causes with `{:?}`, as one quoted string whatever stands behind it.

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

#[cfg(test)]
mod tests;
