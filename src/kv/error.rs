//! Errors of requests to the key-value store.

use crate::http::{FailureCause, HttpError, MalformedResponse};
use std::fmt;
use thiserror::Error;

/// The reason why a request to the key-value store failed.
#[derive(Error)]
pub enum KvError {
    /// The request was certainly not executed: the store refused it with 429 or 503, or no connection was established.
    #[error("refused: {0}")]
    Refused(#[source] FailureCause),
    /// The request may have been executed, or may still be executed later: the store returned another 5xx status, or no
    /// response arrived in time.
    #[error("no answer: {0}")]
    Unknown(#[source] FailureCause),
    /// The lease does not exist because it expired or was revoked.
    #[error("no such lease")]
    LeaseNotFound,
    /// The store no longer keeps the changes after the watch's start revision; the keys must be listed again.
    #[error("watch too old")]
    Compacted,
    /// The response violates the protocol.
    #[error("malformed: {0}")]
    Malformed(#[source] MalformedResponse),
}

impl KvError {
    /// Converts a transport error according to whether the request may have reached the store.
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

// Log lines print errors with `{:?}`. The variant names in this output are those that earlier releases logged.

impl fmt::Debug for KvError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KvError::Refused(cause) => f.debug_tuple("Refused").field(cause).finish(),
            KvError::Unknown(cause) => f.debug_tuple("Unknown").field(cause).finish(),
            KvError::LeaseNotFound => f.write_str("NoLease"),
            KvError::Compacted => f.write_str("TooOld"),
            KvError::Malformed(response) => f.debug_tuple("Malformed").field(response).finish(),
        }
    }
}

#[cfg(test)]
mod tests;
