//! A connection with a limit on the number of bytes read from it.

use crate::net::Stream;
use futures_lite::{AsyncRead, AsyncWrite, io};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// A connection from which at most a given number of bytes can be read. Clones share the limit.
///
/// Prevents a request head of unlimited length from filling the memory: `async-h1` checks the length of a head only at
/// the end of each line and buffers the whole line until then.
#[derive(Clone)]
pub(super) struct BoundedStream {
    stream: Stream,
    remaining: Arc<AtomicUsize>,
}

impl BoundedStream {
    pub(super) fn new(stream: Stream, max_bytes: usize) -> BoundedStream {
        BoundedStream {
            stream,
            remaining: Arc::new(AtomicUsize::new(max_bytes)),
        }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let remaining = self.remaining.load(Ordering::Relaxed);
        if remaining == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "request too long");
            return Poll::Ready(Err(error));
        }
        let len = buf.len().min(remaining);
        let result = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..len]);
        if let Poll::Ready(Ok(n)) = result {
            self.remaining.fetch_sub(n, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncWrite for BoundedStream {
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
