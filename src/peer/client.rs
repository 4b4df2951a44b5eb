//! The client side of the protocol between controllers, with a pool of idle connections per peer.

use super::frame::{read_frame, write_frame};
use super::messages::{ClusterStatus, Frame, PeerReply, PeerRequest};
use crate::clock::Clock;
use crate::futures::timeout;
use crate::net::Stream;
use crate::units::Micros;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// How long the client keeps an idle connection: well below the server's idle timeout, so that it does not send a
/// request on a connection that the server is closing.
const MAX_IDLE_AGE: Micros = Micros::secs(20);

/// The reason why a peer gave no reply.
#[derive(Debug, Error)]
pub enum PeerError {
    /// Connecting failed, the connection broke, or the reply could not be decoded.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// No reply came within the time limit of the call.
    #[error("timed out")]
    TimedOut,
}

/// A client for one other controller.
pub struct Peer {
    /// The name of the controller, as in the deployment's member list.
    pub node: String,
    addr: SocketAddr,
    /// Idle connections, each with the time at which it became idle, oldest first.
    idle: RefCell<Vec<(Micros, Stream)>>,
    /// Maximum number of idle connections that are kept.
    max_idle: usize,
}

impl Peer {
    /// Creates a client without connections; the first call opens one.
    pub fn new(node: String, addr: SocketAddr, max_idle: usize) -> Peer {
        Peer {
            node,
            addr,
            idle: RefCell::default(),
            max_idle,
        }
    }

    /// Sends a request and waits up to `time_limit` for the reply.
    ///
    /// If the exchange on an idle connection fails, the request is sent again on a new connection, because the reason
    /// may only be that the peer has closed the idle one. The peer may then process the request twice, which is
    /// harmless for heartbeats and pings.
    pub async fn call(
        &self,
        cluster_status: ClusterStatus,
        message: PeerRequest,
        time_limit: Micros,
    ) -> Result<Frame<PeerReply>, PeerError> {
        let frame = Frame {
            cluster_status,
            message,
        };
        let attempts = async {
            if let Some(idle_stream) = self.take_idle()
                && let Ok(reply) = self.exchange(idle_stream, &frame).await
            {
                return Ok(reply);
            }
            let new_stream = Stream::connect(self.addr).await?;
            Ok(self.exchange(new_stream, &frame).await?)
        };
        let result = timeout(time_limit, attempts)
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
