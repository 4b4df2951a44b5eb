//! HTTP requests and responses as the handlers of the server receive and return them.

use http_types::headers::{CONNECTION, CONTENT_TYPE};
use http_types::{Method, Response, StatusCode};
use serde::Serialize;

/// An HTTP request with its complete body.
pub struct HttpRequest {
    /// Request method.
    pub method: Method,
    /// Path of the URL, without the query.
    pub path: String,
    /// Query of the URL, without the question mark. Empty if there is none.
    pub query: String,
    /// Body, at most [`MAX_BODY`](crate::http::MAX_BODY) bytes.
    pub body: Vec<u8>,
}

/// An HTTP response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status code. An invalid one is sent as 500.
    pub status: u16,
    /// Body, either JSON or empty.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header, in seconds. `None` omits the header.
    pub retry_after: Option<u64>,
    /// Whether the server closes the connection after this response.
    pub close: bool,
}

/// JSON body of an error response.
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

    /// Creates an error response with the body `{"error": reason}`.
    pub fn error(status: u16, reason: &str) -> HttpResponse {
        HttpResponse::json(status, &ErrorBody { error: reason })
    }

    /// Creates an error response that asks the client to retry after `seconds`.
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
