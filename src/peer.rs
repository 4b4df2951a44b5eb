//! Controllers among themselves: `bitcode` frames over TCP, one request and one reply at a time on a connection.

use crate::http::within;
use crate::scheduler::{Order, Report};
use crate::units::Micros;
use async_net::TcpStream;
use bitcode::{Decode, Encode};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The largest frame; a report of 64 KiB stays well below.
const MAX_FRAME: usize = 256 * 1024;
/// How long an idle connection is kept open by the side that answers.
const IDLE_WITHIN: Micros = Micros::secs(60);
/// Idle connections that are kept to each controller.
const MAX_IDLE: usize = 8;

/// What a controller knows of who leads; every frame carries it.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct Knowledge {
    /// The highest token known.
    pub token: u64,
    /// Who holds it, if that is known and it is held.
    pub leader: Option<String>,
    /// Whether the sender reaches the state service.
    pub state_reachable: bool,
}

/// A request to another controller.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Request {
    /// Just the knowledge.
    Ping,
    /// A worker's report, to be answered by the leader.
    Report {
        /// Whether it may be passed on once more.
        relay: bool,
        /// The controller that the worker reported to.
        via: String,
        /// The report.
        report: Report,
    },
}

/// A reply to another controller.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Reply {
    /// Just the knowledge.
    Pong,
    /// The leader's answer to a report.
    Answer {
        /// Its token.
        token: u64,
        /// Its orders.
        orders: Vec<Order>,
    },
    /// The leader could not be asked.
    NoLeader,
}

/// A frame with what its sender knows.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Frame<T> {
    /// What the sender knows.
    pub known: Knowledge,
    /// The message.
    pub message: T,
}

/// Why another controller gave no reply.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The time ran out.
    #[error("timed out")]
    TimedOut,
}

async fn read_frame<T: for<'a> Decode<'a>>(stream: &mut TcpStream) -> io::Result<Frame<T>> {
    let mut length = [0u8; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    bitcode::decode(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))
}

async fn write_frame<T: Encode>(stream: &mut TcpStream, frame: &Frame<T>) -> io::Result<()> {
    let body = bitcode::encode(frame);
    let mut bytes = Vec::with_capacity(4 + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await
}

/// Another controller.
pub struct Peer {
    /// Its name.
    pub node: String,
    addr: SocketAddr,
    idle: RefCell<Vec<TcpStream>>,
}

impl Peer {
    /// One without connections.
    pub fn new(node: String, addr: SocketAddr) -> Peer {
        Peer {
            node,
            addr,
            idle: RefCell::default(),
        }
    }

    /// Sends a request and waits for the reply.
    pub async fn call(
        &self,
        known: Knowledge,
        message: Request,
        limit: Micros,
    ) -> Result<Frame<Reply>, PeerError> {
        let kept = self.idle.borrow_mut().pop();
        let work = async {
            let mut stream = match kept {
                Some(stream) => stream,
                None => TcpStream::connect(self.addr).await?,
            };
            let _ = stream.set_nodelay(true);
            write_frame(&mut stream, &Frame { known, message }).await?;
            let reply = read_frame(&mut stream).await?;
            let mut idle = self.idle.borrow_mut();
            if idle.len() < MAX_IDLE {
                idle.push(stream);
            }
            Ok(reply)
        };
        let result = within(limit, work)
            .await
            .unwrap_or(Err(PeerError::TimedOut));
        if result.is_err() {
            self.idle.borrow_mut().clear();
        }
        result
    }
}

/// Serves one connection of another controller until it ends, idles too long or sends a broken frame.
pub async fn serve<F, Fut>(mut stream: TcpStream, handle: F)
where
    F: Fn(Frame<Request>) -> Fut,
    Fut: Future<Output = Frame<Reply>>,
{
    let _ = stream.set_nodelay(true);
    while let Some(Ok(frame)) = within(IDLE_WITHIN, read_frame(&mut stream)).await {
        let reply = handle(frame).await;
        if !matches!(
            within(IDLE_WITHIN, write_frame(&mut stream, &reply)).await,
            Some(Ok(()))
        ) {
            return;
        }
    }
}
