//! Why a request to the state service failed, and whether it may have been executed all the same.

use crate::http::{FailureCause, HttpError, MalformedResponse};
use std::fmt;
use thiserror::Error;

/// Why the state service did not do what was asked.
#[derive(Error)]
pub enum KvError {
    /// Certainly not executed: the service refused it (429 or 503), or no connection came about.
    #[error("refused: {0}")]
    Refused(#[source] FailureCause),
    /// May have been executed, or may still be: the service failed, or no response came in time.
    #[error("no answer: {0}")]
    Unknown(#[source] FailureCause),
    /// The lease does not exist: it expired or was revoked.
    #[error("no such lease")]
    LeaseNotFound,
    /// The watch began at a revision whose changes the service no longer keeps; the keys must be listed anew.
    #[error("watch too old")]
    Compacted,
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

// Log lines print errors with `{:?}`, in the words that earlier releases logged.

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
