//! HTTP client for one address.

use crate::futures::timeout;
use crate::http::ends_connection;
use crate::net::Stream;
use crate::units::Micros;
use http_types::headers::{CONNECTION, CONTENT_TYPE};
use http_types::{Method, Request, Url};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of idle connections that a client keeps. Further connections are closed after their response.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// The cause of a connection failure: an I/O error, an invalid HTTP message, or a text if there is no underlying error.
pub type TransportError = Box<dyn std::error::Error + Send + Sync>;

/// The reason why a request got no usable response.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection could be opened, so the request was not received.
    #[error("not sent: {0}")]
    NotSent(#[source] TransportError),
    /// The outcome is unknown: the request may have been carried out, or may still be.
    #[error("no answer: {0}")]
    NoAnswer(#[source] TransportError),
}

impl HttpError {
    /// Returns the reason without the prefix of this error, for enclosing errors that state themselves whether the
    /// request was sent.
    pub fn reason(&self) -> &dyn fmt::Display {
        match self {
            HttpError::NotSent(reason) | HttpError::NoAnswer(reason) => reason,
        }
    }
}

/// An HTTP client for one address that reuses its connections.
pub struct Client {
    addr: SocketAddr,
    idle: RefCell<Vec<Stream>>,
}

impl Client {
    /// Creates a client for `addr`. Connections are opened when needed.
    pub fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            idle: RefCell::new(Vec::new()),
        }
    }

    /// Sends one request and returns the status and the whole body of its response. `limit` is the time allowed for
    /// connecting, sending and reading together.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotSent`] if no connection could be opened, and [`HttpError::NoAnswer`] if the connection
    /// failed or `limit` was exceeded after that. A request on a reused idle connection counts as sent.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Micros,
    ) -> Result<(u16, Vec<u8>), HttpError> {
        let idle = self.idle.borrow_mut().pop();
        let is_connected = Cell::new(idle.is_some());
        let work = async {
            let stream = match idle {
                Some(stream) => stream,
                None => Stream::connect(self.addr)
                    .await
                    .map_err(|e| HttpError::NotSent(e.into()))?,
            };
            is_connected.set(true);
            self.exchange(stream, method, path, body).await
        };
        match timeout(limit, work).await {
            Some(result) => result,
            None if is_connected.get() => Err(HttpError::NoAnswer("timed out".into())),
            None => Err(HttpError::NotSent("connecting timed out".into())),
        }
    }

    async fn exchange(
        &self,
        stream: Stream,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), HttpError> {
        let no_answer = |e: http_types::Error| HttpError::NoAnswer(e.into());
        let url = Url::parse(&format!("http://{}{}", self.addr, path))
            .map_err(|e| HttpError::NotSent(e.into()))?;
        let mut request = Request::new(method, url);
        if let Some(body) = body {
            request.set_body(body);
            request.insert_header(CONTENT_TYPE, "application/json");
        }
        let mut response = async_h1::connect(stream.clone(), request)
            .await
            .map_err(no_answer)?;
        let bytes = response.body_bytes().await.map_err(no_answer)?;
        let mut idle = self.idle.borrow_mut();
        if !ends_connection(response.header(CONNECTION)) && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(stream);
        }
        Ok((response.status() as u16, bytes))
    }

    /// Closes the idle connections. Called after a failed request, as the idle connections have probably failed as
    /// well.
    pub fn close_idle_connections(&self) {
        self.idle.borrow_mut().clear();
    }
}
