//! The glue to `async-h1`: a pooled client for one address, and a server routine for one connection.

use crate::clock::{Clock, sleep};
use crate::net::Stream;
use crate::units::Micros;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt, future, io};
use http_types::headers::{CONNECTION, CONTENT_TYPE};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::Serialize;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use thiserror::Error;

/// The largest request body that the protocol allows.
pub const MAX_BODY: usize = 64 * 1024;
/// The largest head of a request with room for the encoding of its body.
const MAX_HEAD: usize = 32 * 1024;
/// How long a connection may take to send a request's head, or its body.
const READ_TIMEOUT: Micros = Micros::secs(10);
/// How often an idle connection is asked whether it may stay so.
const IDLE_CHECK_INTERVAL: Micros = Micros::secs(10);
/// How long a peer may take to accept an answer.
const WRITE_TIMEOUT: Micros = Micros::secs(10);
/// Nobody waits for an answer for longer than this: a submission's user waits five seconds, all others less.
const RESPONSE_TIMEOUT: Micros = Micros::secs(5);
/// Idle connections that a client keeps.
const MAX_IDLE: usize = 8;

/// Why a request got no usable answer.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection came about, so the request was certainly not received.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have been carried out, or may still be.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// Runs `work`, but no longer than `limit`.
pub async fn timeout<T>(limit: Micros, work: impl Future<Output = T>) -> Option<T> {
    async { Some(work.await) }
        .or(async {
            sleep(limit).await;
            None
        })
        .await
}

/// Runs all of these side by side; what they bring, in their order.
pub async fn join_all<T>(work: Vec<impl Future<Output = T>>) -> Vec<T> {
    let mut open: Vec<_> = work.into_iter().map(|w| (Box::pin(w), None)).collect();
    future::poll_fn(|cx| {
        for (work, brought) in open.iter_mut().filter(|(_, brought)| brought.is_none()) {
            if let Poll::Ready(value) = work.as_mut().poll(cx) {
                *brought = Some(value);
            }
        }
        if open.iter().any(|(_, brought)| brought.is_none()) {
            return Poll::Pending;
        }
        Poll::Ready(
            open.iter_mut()
                .filter_map(|(_, brought)| brought.take())
                .collect(),
        )
    })
    .await
}

/// An HTTP client for one address; connections are kept and used again.
pub struct Client {
    addr: SocketAddr,
    idle: RefCell<Vec<Stream>>,
}

impl Client {
    /// A client without connections.
    pub fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            idle: RefCell::new(Vec::new()),
        }
    }

    /// Sends one request and reads the whole answer; `limit` covers everything.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Micros,
    ) -> Result<(u16, Vec<u8>), HttpError> {
        let kept = self.idle.borrow_mut().pop();
        let reused = kept.is_some();
        let sent = std::cell::Cell::new(reused);
        let work = async {
            let stream = match kept {
                Some(stream) => stream,
                None => Stream::connect(self.addr)
                    .await
                    .map_err(|e| HttpError::NotSent(e.to_string()))?,
            };
            sent.set(true);
            self.exchange(stream, method, path, body.clone()).await
        };
        match timeout(limit, work).await {
            Some(answer) => answer,
            None if sent.get() => Err(HttpError::NoAnswer("timed out".into())),
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
        let no_answer = |e: http_types::Error| HttpError::NoAnswer(e.to_string());
        let url = Url::parse(&format!("http://{}{}", self.addr, path))
            .map_err(|e| HttpError::NotSent(e.to_string()))?;
        let mut request = Request::new(method, url);
        if let Some(body) = body {
            request.set_body(body);
            request.insert_header(CONTENT_TYPE, "application/json");
        }
        let mut response = async_h1::connect(stream.clone(), request)
            .await
            .map_err(no_answer)?;
        let bytes = response.body_bytes().await.map_err(no_answer)?;
        let close = response
            .header(CONNECTION)
            .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
        let mut idle = self.idle.borrow_mut();
        if !close && idle.len() < MAX_IDLE {
            idle.push(stream);
        }
        Ok((response.status() as u16, bytes))
    }

    /// Drops the kept connections; after a failure they are likely dead as well.
    pub fn forget_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// A connection from which at most so many bytes are read.
///
/// Guards against a head without an end: `async-h1` looks at a head's length only at the end of each line, and the
/// whole of it would be kept in memory until then.
#[derive(Clone)]
struct Bounded {
    stream: Stream,
    left: Arc<AtomicUsize>,
}

impl AsyncRead for Bounded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.left.load(Ordering::Relaxed);
        if left == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "request too long");
            return Poll::Ready(Err(error));
        }
        let most = buf.len().min(left);
        let result = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..most]);
        if let Poll::Ready(Ok(n)) = result {
            self.left.fetch_sub(n, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncWrite for Bounded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// A request as the faces see it: whole, and with a bounded body.
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// What follows the path after a question mark, or nothing.
    pub query: String,
    /// The body.
    pub body: Vec<u8>,
}

/// An answer of one of the faces.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The body, JSON or empty.
    pub body: Vec<u8>,
    /// When to come back, in whole seconds.
    pub retry_after: Option<u64>,
    /// Whether the connection ends with this answer.
    pub close: bool,
}

impl HttpResponse {
    /// An answer with a JSON body.
    pub fn json(status: u16, value: &impl Serialize) -> HttpResponse {
        HttpResponse {
            status,
            body: serde_json::to_vec(value).unwrap_or_default(),
            retry_after: None,
            close: false,
        }
    }

    /// An error with a reason in words.
    pub fn error(status: u16, reason: &str) -> HttpResponse {
        HttpResponse::json(status, &serde_json::json!({ "error": reason }))
    }

    /// A refusal that says when to come back.
    pub fn retry_later(status: u16, reason: &str, seconds: u64) -> HttpResponse {
        HttpResponse {
            retry_after: Some(seconds),
            ..HttpResponse::error(status, reason)
        }
    }

    fn into_response(self) -> Response {
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

/// Serves one connection until it ends, idles for longer than `idle` says at the moment, or breaks the protocol.
///
/// Guards against: heads without an end ([`Bounded`]), bodies over the limit (refused before they are read), heads or bodies that trickle in (bounded
/// time), readers that do not take their answer (bounded time), answers from before a pause of this process, which
/// by then are out of date (not sent).
pub async fn serve<F, Fut>(stream: Stream, idle: impl Fn() -> Micros, handle: F)
where
    F: Fn(HttpRequest) -> Fut,
    Fut: Future<Output = HttpResponse>,
{
    while wait_readable(&stream, &idle).await {
        // On the heap, so that a connection takes this room only while it has a request: it is ten times what an idle one
        // needs, and a controller may hold the workers of a whole fleet.
        if !Box::pin(answer_one(&stream, &handle)).await {
            return;
        }
    }
}

/// Reads one request and answers it; false if the connection has ended.
async fn answer_one<F, Fut>(stream: &Stream, handle: &F) -> bool
where
    F: Fn(HttpRequest) -> Fut,
    Fut: Future<Output = HttpResponse>,
{
    let began = Clock.now();
    let bounded = Bounded {
        stream: stream.clone(),
        left: Arc::new(AtomicUsize::new(MAX_HEAD + MAX_BODY)),
    };
    let decoded = timeout(READ_TIMEOUT, async_h1::server::decode(bounded)).await;
    let mut request = match decoded {
        Some(Ok(Some((request, _)))) => request,
        Some(Err(_)) => {
            let refusal = HttpResponse::error(400, "malformed request");
            send(stream, refusal, Method::Get).await;
            return false;
        }
        _ => return false,
    };
    let method = request.method();
    let asked_close = request
        .header(CONNECTION)
        .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
    let reply = match read_body(&mut request).await {
        Ok(body) => {
            let call = HttpRequest {
                method,
                path: request.url().path().to_owned(),
                query: request.url().query().unwrap_or_default().to_owned(),
                body,
            };
            let reply = handle(call).await;
            let close = reply.close || asked_close;
            HttpResponse { close, ..reply }
        }
        // The rest of the body is not read, so the connection can't go on.
        Err(refusal) => HttpResponse {
            close: true,
            ..refusal
        },
    };
    let close = reply.close;
    let is_late = Clock.now().since(began) > RESPONSE_TIMEOUT;
    !is_late && send(stream, reply, method).await && !close
}

/// Waits for a request; false if the connection ended or stood idle for too long.
async fn wait_readable(stream: &Stream, idle: &impl Fn() -> Micros) -> bool {
    let mut waited = Micros::ZERO;
    while waited < idle() {
        if let Some(first) = timeout(IDLE_CHECK_INTERVAL, stream.wait_readable()).await {
            return first.unwrap_or(false);
        }
        waited = waited + IDLE_CHECK_INTERVAL;
    }
    false
}

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

async fn send(stream: &Stream, reply: HttpResponse, method: Method) -> bool {
    let mut encoder = async_h1::server::Encoder::new(reply.into_response(), method);
    let mut stream = stream.clone();
    let work = async {
        let mut bytes = Vec::with_capacity(512);
        encoder.read_to_end(&mut bytes).await?;
        stream.write_all(&bytes).await?;
        stream.flush().await
    };
    matches!(timeout(WRITE_TIMEOUT, work).await, Some(Ok(())))
}

#[cfg(test)]
mod tests;
