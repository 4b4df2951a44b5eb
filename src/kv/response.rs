//! Responses of the key-value store, and the errors that are common to all requests.

use super::error::KvError;
use crate::http::{FailureCause, HttpError, MalformedResponse};
use serde::Deserialize;

/// Maximum length of the body quoted in an error, in characters.
const MAX_QUOTED_BODY: usize = 200;

/// A response whose status has a meaning specific to its request.
pub(super) struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    /// Converts transport errors, and statuses that have the same meaning for every request, into a [`KvError`].
    pub fn classify(result: Result<(u16, Vec<u8>), HttpError>) -> Result<Response, KvError> {
        let (status, body) = result.map_err(KvError::from_transport)?;
        match status {
            429 | 503 => Err(KvError::Refused(FailureCause::Status(status))),
            400 if String::from_utf8_lossy(&body).contains("no such lease") => {
                Err(KvError::LeaseNotFound)
            }
            500..=599 => Err(KvError::Unknown(FailureCause::Status(status))),
            _ => Ok(Response { status, body }),
        }
    }

    /// Parses the body as JSON.
    pub fn parse<T: for<'a> Deserialize<'a>>(&self) -> Result<T, KvError> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns the error for a status that the request does not expect.
    pub fn unexpected(&self) -> KvError {
        let text = String::from_utf8_lossy(&self.body);
        KvError::Malformed(MalformedResponse::Status {
            status: self.status,
            body: text.chars().take(MAX_QUOTED_BODY).collect(),
        })
    }
}
