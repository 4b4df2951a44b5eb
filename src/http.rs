//! HTTP/1.1 on top of `async-h1`: a pooled client for one address, and a routine that serves one connection.

mod bounded;
mod client;
mod failure;
mod message;
mod server;

pub use client::{Client, HttpError, TransportError};
pub use failure::{FailureCause, MalformedResponse};
pub use message::{HttpRequest, HttpResponse};
pub use server::{MAX_BODY, serve};

use http_types::headers::HeaderValues;

/// Returns whether a `Connection` header ends the connection after this message.
fn ends_connection(header: Option<&HeaderValues>) -> bool {
    header.is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"))
}

#[cfg(test)]
mod tests;
