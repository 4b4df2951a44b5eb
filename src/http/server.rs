//! Serves one connection.

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

/// The largest request body that the protocol allows, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// The largest request head, in bytes, with room for the chunk encoding of the body.
const MAX_HEAD: usize = 32 * 1024;
/// How long a connection may take to send a request's head, and again its body.
const READ_TIMEOUT: Micros = Micros::secs(10);
/// How often an idle connection is checked against the idle limit, which may change meanwhile.
const IDLE_CHECK_INTERVAL: Micros = Micros::secs(10);
/// How long a peer may take to read a response.
const WRITE_TIMEOUT: Micros = Micros::secs(10);
/// Nobody waits longer for a response: a submission's user waits five seconds, all others less.
pub(super) const RESPONSE_TIMEOUT: Micros = Micros::secs(5);
/// Room for the head and a short body of a response, in bytes.
const RESPONSE_CAPACITY: usize = 512;

/// Serves one connection until it ends, idles for longer than `idle` returns at the moment, or breaks the protocol.
///
/// Guards against: heads without an end (`BoundedStream`), bodies over the limit (refused before they are read), heads
/// or bodies that trickle in (bounded time), readers that do not take their response (bounded time), responses from
/// before a pause of this process, which by then are out of date (not sent).
pub async fn serve<F, Fut>(stream: Stream, idle: impl Fn() -> Micros, handle: F)
where
    F: Fn(HttpRequest) -> Fut,
    Fut: Future<Output = HttpResponse>,
{
    while wait_readable(&stream, &idle).await {
        // On the heap, so that a connection takes this room only while it has a request: it is ten times what an idle one
        // needs, and a controller may hold the workers of a whole fleet.
        if !Box::pin(serve_request(&stream, &handle)).await {
            return;
        }
    }
}

/// Waits for a request. Returns false if the connection ended or was idle for too long.
async fn wait_readable(stream: &Stream, idle: &impl Fn() -> Micros) -> bool {
    let mut waited = Micros::ZERO;
    while waited < idle() {
        if let Some(readable) = timeout(IDLE_CHECK_INTERVAL, stream.wait_readable()).await {
            return readable.unwrap_or(false);
        }
        waited = waited + IDLE_CHECK_INTERVAL;
    }
    false
}

/// Reads one request and responds to it. Returns whether the connection can take another.
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
            let refusal = HttpResponse::error(400, "malformed request");
            send(stream, refusal, Method::Get).await;
            return false;
        }
        Some(Ok(None)) | None => return false,
    };
    let method = request.method();
    let is_last = ends_connection(request.header(CONNECTION));
    let response = respond(&mut request, handle).await;
    let close = response.close || is_last;
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
        // The rest of the body is not read, so the connection can't take another request.
        Err(refusal) => {
            return HttpResponse {
                close: true,
                ..refusal
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

/// Returns the body, or the response with which it is refused.
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

/// Sends a response to a request with this method. Returns whether all of it was written in time.
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
