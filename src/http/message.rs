//! Requests and responses as handlers see them.

use http_types::headers::{CONNECTION, CONTENT_TYPE};
use http_types::{Method, Response, StatusCode};
use serde::Serialize;

/// A request with its whole body.
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// What follows the path after a question mark; empty where there is none.
    pub query: String,
    /// The body, at most [`MAX_BODY`](crate::http::MAX_BODY) bytes.
    pub body: Vec<u8>,
}

/// A response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The body: JSON or empty.
    pub body: Vec<u8>,
    /// The value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// Whether the connection ends with this response.
    pub close: bool,
}

/// The body of an error.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl HttpResponse {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, value: &impl Serialize) -> HttpResponse {
        HttpResponse {
            status,
            body: serde_json::to_vec(value).unwrap_or_default(),
            retry_after: None,
            close: false,
        }
    }

    /// Creates an error whose body is `{"error": reason}`.
    pub fn error(status: u16, reason: &str) -> HttpResponse {
        HttpResponse::json(status, &ErrorBody { error: reason })
    }

    /// Creates an error that asks the client to come back after so many seconds.
    pub fn retry_later(status: u16, reason: &str, seconds: u64) -> HttpResponse {
        HttpResponse {
            retry_after: Some(seconds),
            ..HttpResponse::error(status, reason)
        }
    }

    pub(super) fn into_response(self) -> Response {
        let code = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(code);
        response.set_body(self.body);
        response.insert_header(CONTENT_TYPE, "application/json");
        if let Some(seconds) = self.retry_after {
            response.insert_header("Retry-After", seconds.to_string());
        }
        if self.close {
            response.insert_header(CONNECTION, "close");
        }
        response
    }
}
