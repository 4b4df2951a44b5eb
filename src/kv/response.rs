//! Responses of the state service, sorted into usable ones and errors that every request can have.

use super::error::KvError;
use crate::http::{FailureCause, HttpError, MalformedResponse};
use serde::Deserialize;

/// How much of an unexpected body an error quotes, in characters.
const MAX_QUOTED_BODY: usize = 200;

/// A response whose status is left to the request to interpret.
pub(super) struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    /// Takes the transport's result, and turns statuses that mean the same for every request into errors.
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

    /// Parses the body.
    pub fn parse<T: for<'a> Deserialize<'a>>(&self) -> Result<T, KvError> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// The error for a status that the request does not know.
    pub fn unexpected(&self) -> KvError {
        let text = String::from_utf8_lossy(&self.body);
        KvError::Malformed(MalformedResponse::Status {
            status: self.status,
            body: text.chars().take(MAX_QUOTED_BODY).collect(),
        })
    }
}
