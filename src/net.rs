//! Network connections. All code connects and listens through this module, so that tests can use a network in memory.
//!
//! Outside tests the connections are TCP connections. A test installs its own [`Transport`] for the current thread with
//! [`use_transport`].

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

/// Whether a read removes the bytes that it returns from the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadMode {
    /// Removes the bytes from the connection.
    Consume,
    /// Leaves the bytes for the next read.
    Peek,
}

/// One end of a connection of a [`Transport`].
pub trait Duplex: Send + Sync {
    /// Reads into `buf` and returns the number of bytes read; 0 at the end of the stream.
    fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
        mode: ReadMode,
    ) -> Poll<io::Result<usize>>;
    /// Writes from `buf` and returns the number of bytes written.
    fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>>;
    /// Closes the write direction of the connection.
    fn close(&self);
}

/// A listening socket of a [`Transport`].
pub trait Acceptor {
    /// Waits for the next incoming connection.
    fn accept(&self) -> Pin<Box<dyn Future<Output = io::Result<Stream>> + '_>>;
}

/// A replacement for TCP, with which tests carry, delay and interrupt connections.
pub trait Transport {
    /// Opens a connection to an address.
    fn connect(&self, to: SocketAddr) -> Pin<Box<dyn Future<Output = io::Result<Stream>>>>;
    /// Listens on an address.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Acceptor>>;
}

thread_local! {
    /// Transport of this thread; `None` is TCP.
    static TRANSPORT: RefCell<Option<Rc<dyn Transport>>> = const { RefCell::new(None) };
}

/// Sets the transport of this thread; `None` restores TCP.
pub fn use_transport(transport: Option<Rc<dyn Transport>>) {
    TRANSPORT.set(transport);
}

fn transport() -> Option<Rc<dyn Transport>> {
    TRANSPORT.with_borrow(Clone::clone)
}

/// A connection. Clones refer to the same connection.
#[derive(Clone)]
pub enum Stream {
    /// A TCP socket.
    Tcp(TcpStream),
    /// A socket of a [`Transport`] that a test has installed.
    Substitute(Arc<dyn Duplex>),
}

impl Stream {
    /// Opens a connection to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing listens on the address or it can't be reached.
    pub async fn connect(to: SocketAddr) -> io::Result<Stream> {
        if let Some(transport) = transport() {
            return transport.connect(to).await;
        }
        Ok(Stream::tcp(TcpStream::connect(to).await?))
    }

    /// Wraps a TCP connection and sets `TCP_NODELAY`: requests and responses are short, and waiting for a full packet
    /// would only delay them.
    fn tcp(stream: TcpStream) -> Stream {
        let _ = stream.set_nodelay(true);
        Stream::Tcp(stream)
    }

    /// Waits until there is data to read, without consuming it. Returns `false` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has failed.
    pub async fn wait_readable(&self) -> io::Result<bool> {
        let mut byte = [0u8; 1];
        let len = match self {
            Stream::Tcp(tcp) => tcp.peek(&mut byte).await?,
            Stream::Substitute(duplex) => {
                future::poll_fn(|cx| duplex.poll_read(cx, &mut byte, ReadMode::Peek)).await?
            }
        };
        Ok(len > 0)
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
            Stream::Substitute(duplex) => duplex.poll_read(cx, buf, ReadMode::Consume),
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
            Stream::Substitute(duplex) => duplex.poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(tcp) => Pin::new(tcp).poll_flush(cx),
            Stream::Substitute(_) => Poll::Ready(Ok(())),
        }
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(tcp) => Pin::new(tcp).poll_close(cx),
            Stream::Substitute(duplex) => {
                duplex.close();
                Poll::Ready(Ok(()))
            }
        }
    }
}

/// A listening socket.
pub enum Listener {
    /// A TCP socket.
    Tcp(TcpListener),
    /// A socket of a [`Transport`] that a test has installed.
    Substitute(Box<dyn Acceptor>),
}

impl Listener {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use or does not belong to this host.
    pub async fn bind(at: SocketAddr) -> io::Result<Listener> {
        match transport() {
            Some(transport) => Ok(Listener::Substitute(transport.listen(at)?)),
            None => Ok(Listener::Tcp(TcpListener::bind(at).await?)),
        }
    }

    /// Returns the local address. Its port is the assigned one if the listener was bound to port 0.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::Unsupported`] if this is not a TCP socket.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Listener::Tcp(tcp) => tcp.local_addr(),
            Listener::Substitute(_) => Err(io::ErrorKind::Unsupported.into()),
        }
    }

    /// Waits for the next incoming connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has no free sockets, or the connection was closed before it was accepted.
    pub async fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(tcp) => {
                let (stream, _) = tcp.accept().await?;
                Ok(Stream::tcp(stream))
            }
            Listener::Substitute(acceptor) => acceptor.accept().await,
        }
    }
}
