//! HTTP/1.1 based on `async-h1`: a client with a connection pool for one address, and a server for one connection.

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

/// Returns whether the `Connection` header says that the connection closes after this message.
fn ends_connection(header: Option<&HeaderValues>) -> bool {
    header.is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"))
}

#[cfg(test)]
mod tests;
