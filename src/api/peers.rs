//! The API for other controllers: pings, and heartbeats that they relay.

use super::workers::WorkerApi;
use crate::cancellation::CancellationService;
use crate::membership::Membership;
use crate::peer::{Frame, PeerReply, PeerRequest};
use std::rc::Rc;

/// Handles requests from other controllers.
pub struct PeerApi {
    /// Reachability and cluster status of the other controllers.
    pub membership: Rc<Membership>,
    /// Cancellations that are known to this controller.
    pub cancellations: Rc<CancellationService>,
    /// Handles relayed heartbeats.
    pub workers: Rc<WorkerApi>,
}

impl PeerApi {
    /// Handles a request. Every request and reply also carries the sender's cluster status, so both sides learn which
    /// leader and fencing token the other knows.
    pub async fn answer(&self, frame: Frame<PeerRequest>) -> Frame<PeerReply> {
        self.membership.observe(&frame.cluster_status);
        let message = match frame.message {
            PeerRequest::Ping { cancelled, cleared } => {
                self.cancellations.record(&cancelled);
                self.cancellations.record_cleared(&cleared);
                PeerReply::Pong
            }
            PeerRequest::Heartbeat {
                relay,
                via,
                heartbeat,
            } => self.workers.answer_relayed(heartbeat, &via, relay).await,
        };
        Frame {
            cluster_status: self.membership.cluster_status(),
            message,
        }
    }
}
