//! HTTP server for one connection.

use crate::clock::Clock;
use crate::futures::timeout;
use crate::http::bounded::BoundedStream;
use crate::http::ends_connection;
use crate::http::message::{HttpRequest, HttpResponse};
use crate::net::Stream;
use crate::units::Micros;
use async_h1::server::Encoder;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::headers::CONNECTION;
use http_types::{Method, Request};
use std::future::Future;

/// Maximum size of a request body that the protocol allows, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Maximum size of a request head, in bytes, including the overhead of a chunked transfer encoding of the body.
const MAX_HEAD: usize = 32 * 1024;
/// Timeout for reading the head of a request, and separately for reading its body.
const READ_TIMEOUT: Micros = Micros::secs(10);
/// Interval at which an idle connection is checked against the idle limit, which may change in the meantime.
const IDLE_CHECK_INTERVAL: Micros = Micros::secs(10);
/// Timeout for writing a response, which limits how slowly a client may read it.
const WRITE_TIMEOUT: Micros = Micros::secs(10);
/// Time after the start of a request beyond which its response is not sent. No client waits longer: the user who
/// submits a job waits 5 s, all other clients less.
pub(super) const RESPONSE_TIMEOUT: Micros = Micros::secs(5);
/// Initial capacity of the response buffer, in bytes: enough for the head and a short body.
const RESPONSE_CAPACITY: usize = 512;

/// Serves one connection until it is closed, is idle for longer than `idle_limit` returns at that time, or violates the
/// protocol.
///
/// The server protects itself against:
///
/// - request heads of unlimited length: `BoundedStream` limits the bytes read;
/// - bodies above the limit: they are rejected, before they are read if their length is declared;
/// - clients that send a head or body slowly, or don't read their response: reading and writing have timeouts;
/// - responses that were computed before a pause of this process and are out of date afterwards: they are not sent.
pub async fn serve<F, Fut>(stream: Stream, idle_limit: impl Fn() -> Micros, handle: F)
where
    F: Fn(HttpRequest) -> Fut,
    Fut: Future<Output = HttpResponse>,
{
    while wait_readable(&stream, &idle_limit).await {
        // Boxed, so that a connection uses this memory only during a request. It is ten times the memory of an idle
        // connection, and a controller may have connections to the workers of a whole fleet.
        if !Box::pin(serve_request(&stream, &handle)).await {
            return;
        }
    }
}

/// Waits for a request. Returns `false` if the connection was closed or exceeded the idle limit.
async fn wait_readable(stream: &Stream, idle_limit: &impl Fn() -> Micros) -> bool {
    let mut waited = Micros::ZERO;
    while waited < idle_limit() {
        if let Some(readable) = timeout(IDLE_CHECK_INTERVAL, stream.wait_readable()).await {
            return readable.unwrap_or(false);
        }
        waited = waited + IDLE_CHECK_INTERVAL;
    }
    false
}

/// Reads one request and responds to it. Returns whether the connection can be used for another request.
async fn serve_request<F, Fut>(stream: &Stream, handle: &F) -> bool
where
    F: Fn(HttpRequest) -> Fut,
    Fut: Future<Output = HttpResponse>,
{
    let started_at = Clock.now();
    let bounded = BoundedStream::new(stream.clone(), MAX_HEAD + MAX_BODY);
    let decoded = timeout(READ_TIMEOUT, async_h1::server::decode(bounded)).await;
    let mut request = match decoded {
        Some(Ok(Some((request, _)))) => request,
        Some(Err(_)) => {
            let error_response = HttpResponse::error(400, "malformed request");
            send(stream, error_response, Method::Get).await;
            return false;
        }
        Some(Ok(None)) | None => return false,
    };
    let method = request.method();
    let is_last_request = ends_connection(request.header(CONNECTION));
    let response = respond(&mut request, handle).await;
    let close = response.close || is_last_request;
    let is_late = Clock.now().since(started_at) > RESPONSE_TIMEOUT;
    !is_late && send(stream, HttpResponse { close, ..response }, method).await && !close
}

async fn respond<F, Fut>(request: &mut Request, handle: &F) -> HttpResponse
where
    F: Fn(HttpRequest) -> Fut,
    Fut: Future<Output = HttpResponse>,
{
    let body = match read_body(request).await {
        Ok(body) => body,
        // The rest of the body is left unread, so the connection can't be used for another request.
        Err(error_response) => {
            return HttpResponse {
                close: true,
                ..error_response
            };
        }
    };
    let url = request.url();
    handle(HttpRequest {
        method: request.method(),
        path: url.path().to_owned(),
        query: url.query().unwrap_or_default().to_owned(),
        body,
    })
    .await
}

/// Reads the body of a request. Returns the error response if the body is rejected.
async fn read_body(request: &mut Request) -> Result<Vec<u8>, HttpResponse> {
    if request.len().is_some_and(|len| len > MAX_BODY) {
        return Err(HttpResponse::error(413, "body over 64 KiB"));
    }
    let mut body = Vec::new();
    let mut reader = request.take_body().take(MAX_BODY as u64 + 1);
    match timeout(READ_TIMEOUT, reader.read_to_end(&mut body)).await {
        Some(Ok(_)) if body.len() > MAX_BODY => Err(HttpResponse::error(413, "body over 64 KiB")),
        Some(Ok(_)) => Ok(body),
        Some(Err(_)) => Err(HttpResponse::error(400, "malformed body")),
        None => Err(HttpResponse::error(408, "body too slow")),
    }
}

/// Sends the response to a request with this method. Returns whether it was written completely before the timeout.
async fn send(stream: &Stream, response: HttpResponse, method: Method) -> bool {
    let mut encoder = Encoder::new(response.into_response(), method);
    let mut stream = stream.clone();
    let work = async {
        let mut bytes = Vec::with_capacity(RESPONSE_CAPACITY);
        encoder.read_to_end(&mut bytes).await?;
        stream.write_all(&bytes).await?;
        stream.flush().await
    };
    matches!(timeout(WRITE_TIMEOUT, work).await, Some(Ok(())))
}
