//! Controllers among themselves: `bitcode` frames over TCP, one request and one reply at a time on a connection.

use crate::cancellation::{Cancellation, ResidueCleared};
use crate::clock::Clock;
use crate::http::timeout;
use crate::net::Stream;
use crate::scheduler::{AgentCommand, Heartbeat, MAX_TASKS};
use crate::units::Micros;
use bitcode::{Decode, Encode};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Bytes that a machine's name takes in a frame, with room to spare.
const NAME_BYTES: usize = 32;
/// The largest frame: the cancellation of a job of as many tasks as the protocol allows, each on a machine of its own. A
/// report of 64 KiB stays well below.
const MAX_FRAME: usize = MAX_TASKS as usize * NAME_BYTES + 512 * 1024;
/// How long an idle connection is kept open by the side that answers.
const IDLE_TIMEOUT: Micros = Micros::secs(60);
/// How long the side that asks keeps one: well below the other's, so that it does not write into one that ends.
const MAX_IDLE_AGE: Micros = Micros::secs(20);
/// What a controller knows of who leads; every frame carries it.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct ClusterStatus {
    /// The highest token known.
    pub token: u64,
    /// Who holds it, if that is known and it is held.
    pub leader: Option<String>,
    /// Whether the sender reaches the state service.
    pub state_reachable: bool,
    /// Whether another controller does not answer the sender.
    pub peer_unreachable: bool,
    /// Drawn anew by every process.
    pub incarnation: u64,
    /// Whether the sender itself leads, with or without a lease.
    pub leads: bool,
}

/// A request to another controller.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerRequest {
    /// The knowledge, and what there is to tell of cancelled jobs.
    Ping {
        /// Those that the other was not told of yet.
        cancelled: Vec<Cancellation>,
        /// Cancelled jobs of which nothing is left on these machines.
        gone: Vec<ResidueCleared>,
    },
    /// A worker's heartbeat, to be answered by the leader.
    Heartbeat {
        /// Whether it may be passed on once more.
        relay: bool,
        /// The controller that the worker reported to.
        via: String,
        /// The heartbeat.
        report: Heartbeat,
    },
}

/// A reply to another controller.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerReply {
    /// Just the knowledge.
    Pong,
    /// The leader's answer to a heartbeat.
    Answer {
        /// Its token.
        token: u64,
        /// Its commands.
        commands: Vec<AgentCommand>,
    },
    /// The leader could not be asked.
    NoLeader,
}

/// A frame with what its sender knows.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Frame<T> {
    /// What the sender knows.
    pub cluster_status: ClusterStatus,
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

async fn read_frame<T: for<'a> Decode<'a>>(stream: &mut Stream) -> io::Result<Frame<T>> {
    let mut length = [0u8; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    // Room is taken as bytes come, not as they are announced.
    let mut bytes = Vec::new();
    let mut body = stream.take(length as u64);
    if body.read_to_end(&mut bytes).await? < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    bitcode::decode(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))
}

async fn write_frame<T: Encode>(stream: &mut Stream, frame: &Frame<T>) -> io::Result<()> {
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
    /// Idle connections and since when, the longest idle first.
    idle: RefCell<Vec<(Micros, Stream)>>,
    /// Idle connections that are kept at the most.
    max_idle: usize,
}

impl Peer {
    /// One without connections.
    pub fn new(node: String, addr: SocketAddr, max_idle: usize) -> Peer {
        Peer {
            node,
            addr,
            idle: RefCell::default(),
            max_idle,
        }
    }

    /// Sends a request and waits for the reply.
    ///
    /// Guards against taking the end of a kept connection for a controller that does not answer: the request goes out
    /// once more on a new one. It may be carried out twice, which for a heartbeat or a ping is harmless.
    pub async fn call(
        &self,
        cluster_status: ClusterStatus,
        message: PeerRequest,
        limit: Micros,
    ) -> Result<Frame<PeerReply>, PeerError> {
        let frame = Frame {
            cluster_status,
            message,
        };
        let work = async {
            if let Some(kept) = self.take_idle()
                && let Ok(reply) = self.exchange(kept, &frame).await
            {
                return Ok(reply);
            }
            let fresh = Stream::connect(self.addr).await?;
            Ok(self.exchange(fresh, &frame).await?)
        };
        let result = timeout(limit, work)
            .await
            .unwrap_or(Err(PeerError::TimedOut));
        if result.is_err() {
            self.idle.borrow_mut().clear();
        }
        result
    }

    fn take_idle(&self) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let now = Clock.now();
        idle.retain(|(since, _)| now.since(*since) < MAX_IDLE_AGE);
        idle.pop().map(|(_, stream)| stream)
    }

    async fn exchange(
        &self,
        mut stream: Stream,
        frame: &Frame<PeerRequest>,
    ) -> io::Result<Frame<PeerReply>> {
        write_frame(&mut stream, frame).await?;
        let reply = read_frame(&mut stream).await?;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.max_idle {
            idle.push((Clock.now(), stream));
        }
        Ok(reply)
    }
}

/// Serves one connection of another controller until it ends, idles too long or sends a broken frame.
pub async fn serve<F, Fut>(mut stream: Stream, handle: F)
where
    F: Fn(Frame<PeerRequest>) -> Fut,
    Fut: Future<Output = Frame<PeerReply>>,
{
    while let Some(Ok(frame)) = timeout(IDLE_TIMEOUT, read_frame(&mut stream)).await {
        let reply = handle(frame).await;
        if !matches!(
            timeout(IDLE_TIMEOUT, write_frame(&mut stream, &reply)).await,
            Some(Ok(()))
        ) {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
