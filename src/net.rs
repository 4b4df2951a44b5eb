//! Connections: all of them are made and accepted through here, so that tests can carry them in memory.

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncRead, AsyncWrite, future};
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

/// One end of a connection that is not the machine's own.
pub trait Duplex: Send + Sync {
    /// Reads, without taking what was read if only a look is wanted.
    fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
        look: bool,
    ) -> Poll<io::Result<usize>>;
    /// Writes.
    fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>>;
    /// Ends the way out.
    fn close(&self);
}

/// Where connections to an address of a network come in.
pub trait Accept {
    /// The next one.
    fn accept(&self) -> Pin<Box<dyn Future<Output = io::Result<Stream>> + '_>>;
}

/// A network other than the machine's own.
pub trait Network {
    /// Connects.
    fn connect(&self, to: SocketAddr) -> Pin<Box<dyn Future<Output = io::Result<Stream>>>>;
    /// Listens.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Accept>>;
}

thread_local! {
    static OTHER: RefCell<Option<Rc<dyn Network>>> = const { RefCell::new(None) };
}

/// Lets this thread use another network.
pub fn use_network(network: Option<Rc<dyn Network>>) {
    OTHER.set(network);
}

fn other() -> Option<Rc<dyn Network>> {
    OTHER.with_borrow(Clone::clone)
}

/// A connection.
#[derive(Clone)]
pub enum Stream {
    /// Over TCP.
    Tcp(TcpStream),
    /// Over another network.
    Other(Arc<dyn Duplex>),
}

impl Stream {
    /// Connects.
    pub async fn connect(to: SocketAddr) -> io::Result<Stream> {
        if let Some(network) = other() {
            return network.connect(to).await;
        }
        let stream = TcpStream::connect(to).await?;
        let _ = stream.set_nodelay(true);
        Ok(Stream::Tcp(stream))
    }

    /// Whether something can be read: waits for it without taking it; false at the end.
    pub async fn wait_readable(&self) -> io::Result<bool> {
        let mut byte = [0u8; 1];
        let read = match self {
            Stream::Tcp(tcp) => tcp.peek(&mut byte).await,
            Stream::Other(other) => {
                future::poll_fn(|cx| other.poll_read(cx, &mut byte, true)).await
            }
        };
        Ok(read? > 0)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Tcp(tcp) => Pin::new(tcp).poll_read(cx, buf),
            Stream::Other(other) => other.poll_read(cx, buf, false),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Tcp(tcp) => Pin::new(tcp).poll_write(cx, buf),
            Stream::Other(other) => other.poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(tcp) => Pin::new(tcp).poll_flush(cx),
            Stream::Other(_) => Poll::Ready(Ok(())),
        }
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(tcp) => Pin::new(tcp).poll_close(cx),
            Stream::Other(other) => {
                other.close();
                Poll::Ready(Ok(()))
            }
        }
    }
}

/// Where connections come in.
pub enum Listener {
    /// Over TCP.
    Tcp(TcpListener),
    /// Over another network.
    Other(Box<dyn Accept>),
}

impl Listener {
    /// Listens.
    pub async fn bind(at: SocketAddr) -> io::Result<Listener> {
        match other() {
            Some(network) => Ok(Listener::Other(network.listen(at)?)),
            None => Ok(Listener::Tcp(TcpListener::bind(at).await?)),
        }
    }

    /// The address, where it is the machine's own network.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Listener::Tcp(tcp) => tcp.local_addr(),
            Listener::Other(_) => Err(io::ErrorKind::Unsupported.into()),
        }
    }

    /// The next connection.
    pub async fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(tcp) => {
                let (stream, _) = tcp.accept().await?;
                let _ = stream.set_nodelay(true);
                Ok(Stream::Tcp(stream))
            }
            Listener::Other(other) => other.accept().await,
        }
    }
}
