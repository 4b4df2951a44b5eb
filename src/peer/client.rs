//! The connections of this controller to another one.

use super::frame::{read_frame, write_frame};
use super::messages::{ClusterStatus, Frame, PeerReply, PeerRequest};
use crate::clock::Clock;
use crate::http::timeout;
use crate::net::Stream;
use crate::units::Micros;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// How long the side that asks keeps an idle connection: well below the other's, so that it does not write into one that
/// ends.
const MAX_IDLE_AGE: Micros = Micros::secs(20);

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
