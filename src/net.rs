//! Connections: all of them are made and accepted through here, so that a test can carry them in memory.
//!
//! Outside tests they are TCP connections. A test puts a [`Transport`] of its own in place of TCP with
//! [`use_transport`], for its thread only.

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

/// What a read does with the bytes that it returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadMode {
    /// Takes them off the connection.
    Consume,
    /// Leaves them for the next read.
    Peek,
}

/// One end of a connection that is not TCP.
pub trait Duplex: Send + Sync {
    /// Reads into `buf` and returns how many bytes; 0 at the end of the stream.
    fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
        mode: ReadMode,
    ) -> Poll<io::Result<usize>>;
    /// Writes from `buf` and returns how many bytes.
    fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>>;
    /// Closes the direction of writing.
    fn close(&self);
}

/// A listening socket that is not TCP.
pub trait Acceptor {
    /// Waits for the next connection.
    fn accept(&self) -> Pin<Box<dyn Future<Output = io::Result<Stream>> + '_>>;
}

/// A network other than TCP: the seam by which tests carry, delay and cut connections themselves.
pub trait Transport {
    /// Connects to an address.
    fn connect(&self, to: SocketAddr) -> Pin<Box<dyn Future<Output = io::Result<Stream>>>>;
    /// Listens at an address.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Acceptor>>;
}

thread_local! {
    /// What this thread uses in place of TCP.
    static TRANSPORT: RefCell<Option<Rc<dyn Transport>>> = const { RefCell::new(None) };
}

/// Makes this thread use another network; `None` is TCP.
pub fn use_transport(transport: Option<Rc<dyn Transport>>) {
    TRANSPORT.set(transport);
}

fn substitute() -> Option<Rc<dyn Transport>> {
    TRANSPORT.with_borrow(Clone::clone)
}

/// A connection. Clones share it.
#[derive(Clone)]
pub enum Stream {
    /// Over TCP.
    Tcp(TcpStream),
    /// Over a [`Transport`] of a test.
    Substitute(Arc<dyn Duplex>),
}

impl Stream {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails where nobody listens there or the address can't be reached.
    pub async fn connect(to: SocketAddr) -> io::Result<Stream> {
        if let Some(transport) = substitute() {
            return transport.connect(to).await;
        }
        Ok(Stream::tcp(TcpStream::connect(to).await?))
    }

    /// Requests and responses are short: waiting until a packet is full would only delay them.
    fn tcp(stream: TcpStream) -> Stream {
        let _ = stream.set_nodelay(true);
        Stream::Tcp(stream)
    }

    /// Waits until something can be read, without taking it. Returns false at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails where the connection is broken.
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
    /// Over TCP.
    Tcp(TcpListener),
    /// Over a [`Transport`] of a test.
    Substitute(Box<dyn Acceptor>),
}

impl Listener {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// Fails where the address is taken or is not this machine's.
    pub async fn bind(at: SocketAddr) -> io::Result<Listener> {
        match substitute() {
            Some(transport) => Ok(Listener::Substitute(transport.listen(at)?)),
            None => Ok(Listener::Tcp(TcpListener::bind(at).await?)),
        }
    }

    /// Returns the address, with the port that was chosen where 0 was asked for.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::Unsupported`] where this is not a TCP socket.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Listener::Tcp(tcp) => tcp.local_addr(),
            Listener::Substitute(_) => Err(io::ErrorKind::Unsupported.into()),
        }
    }

    /// Waits for the next connection.
    ///
    /// # Errors
    ///
    /// Fails where the process is out of sockets, or the connection ended before it was accepted.
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
